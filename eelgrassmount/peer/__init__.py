"""Messages between nodes."""
