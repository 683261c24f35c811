"""Scheduler for latency-critical services and batch work on the same instances."""
