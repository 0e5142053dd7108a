"""The path of a call through a node."""
