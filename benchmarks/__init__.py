"""Measurements."""
