"""Names of topics and keys on the platform's log."""

from __future__ import annotations

# written only by the operator; one record holds the whole configuration
CONFIGURATION_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"
# one record for each node
NODES_TOPIC = "keyed.nodes"
# the learned call graph, on the same topic; no node has a name with a slash
LEARNED_KEY = "learned/calls"
