"""The path of a call on a node that runs beside its backend server."""
