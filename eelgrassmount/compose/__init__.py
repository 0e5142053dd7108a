"""The composition root: the only package that wires the parts of a node."""
