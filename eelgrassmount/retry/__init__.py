"""Bounds on retries."""
