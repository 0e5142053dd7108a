"""Concurrency limits, queues, admission control and routing."""
