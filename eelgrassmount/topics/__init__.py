"""Topics of the platform's log: read by a few nodes and passed on to all."""
