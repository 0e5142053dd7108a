"""Overload control decisions as pure functions, without input or output."""
