"""Where things stand on the platform's log."""

from __future__ import annotations

# written by the operator only: one record with the whole configuration
CONFIGURATION_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"
# the nodes of this system, one record each
NODES_TOPIC = "keyed.nodes"
# beside them, what all have learned; no machine has such a name
LEARNED_KEY = "learned/calls"
