"""Helpers that several packages share."""
