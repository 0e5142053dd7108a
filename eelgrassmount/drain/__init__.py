"""Graceful shutdown of a node."""
