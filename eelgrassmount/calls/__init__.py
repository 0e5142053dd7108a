"""Processing of calls on a node."""
