"""HTTP/1.1 on callbacks, for the paths where each call counts."""
