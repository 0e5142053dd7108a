"""Limits, queues, admission and routing."""
