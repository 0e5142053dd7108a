"""HTTP towards callers and backend servers."""
