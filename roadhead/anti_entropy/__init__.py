"""Compares what job owners and shard leaders believe of each other, and asks about lasting differences.

Each decision of one controller that another has to carry out is told once, by a frame. Anti-entropy is the
second way: it finds a difference whatever caused it (docs/design.md, "Anti-entropy"). It decides nothing.
"""
