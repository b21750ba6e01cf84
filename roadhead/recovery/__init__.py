"""Failover: successors take over the jobs of controllers that have ended."""
