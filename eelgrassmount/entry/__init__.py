"""Admission of client requests at the node that they arrive at."""
