"""Fault matrix: inject every fault at every step of a request."""
