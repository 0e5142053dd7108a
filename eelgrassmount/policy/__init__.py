"""Decisions under overload, as functions of what is known, without input or output."""
