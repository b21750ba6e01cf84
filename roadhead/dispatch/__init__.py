"""Queues, the idle list and placement (JIQ-DIO's dispatcher)."""
