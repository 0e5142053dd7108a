"""Topics of the platform's log, read by a few nodes and relayed to all others."""
