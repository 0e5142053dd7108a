"""HTTP interfaces to callers and backend servers."""
