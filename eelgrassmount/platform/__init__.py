"""Formats and protocols of the platform that the nodes run on."""
