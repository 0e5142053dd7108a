"""Balancing of queued calls between the backend servers of a service."""
