"""Intervals and bounds of the membership."""

from __future__ import annotations

import math

from attrs import frozen

# Members, summaries, and addresses of one summary, in a message.
MAX_UPDATES = 32
MAX_URGENT = 32
MAX_JOIN_MEMBERS = 128
MAX_JOIN_SUMMARIES = 128
MAX_CROSS_SUMMARIES = 32
MAX_ADDRESSES = 8

# Addresses stored of each failure domain.
MAX_CONTACTS = 8

# Members that a node exchanges gossip with; bounds its connections.
MAX_PARTNERS = 12

# Times that each node that receives an update passes it on.
STATE_TRANSMISSIONS = 4
DOMAIN_TRANSMISSIONS = 3
LOAD_TRANSMISSIONS = 2

DELEGATES_PER_DOMAIN = 3


@frozen
class Timing:
    """Intervals and timeouts in seconds, and fan-outs.

    A member announces its load at most once in ``load_interval_per_member_s``
    times the number of members, so that each node receives announcements of load
    at a rate that does not grow with the failure domain. A gap of more than
    ``pause_threshold_s`` between two sweeps means that the process was paused.
    """

    round_interval_s: float = 0.5
    round_jitter: float = 0.3
    sweep_interval_s: float = 0.2
    min_probe_timeout_s: float = 0.2
    max_probe_timeout_s: float = 1.0
    indirect_probes: int = 3
    suspicion_timeout_s: float = 2.0
    dead_probe_interval_s: float = 10.0
    pause_threshold_s: float = 0.75
    fan_out: int = 3
    flush_delay_s: float = 0.02
    min_load_interval_s: float = 1.0
    load_interval_per_member_s: float = 0.2
    cross_domain_interval_s: float = 1.0
    domain_heartbeat_interval_s: float = 4.0
    domain_timeout_s: float = 20.0
    delegate_stagger_s: float = 0.7
    tombstone_lifetime_s: float = 120.0
    min_pull_interval_s: float = 0.5
    min_discovery_interval_s: float = 0.5
    max_discovery_interval_s: float = 10.0
    announcement_interval_s: float = 120.0
    request_timeout_s: float = 1.0


def compute_suspicion_timeout_s(timing: Timing, members: int) -> float:
    """Return the time after which a suspect is declared dead.

    It grows with the logarithm of the number of members, as does the time in
    which a suspicion and its refutation spread.
    """
    return timing.suspicion_timeout_s * max(1.0, math.log10(max(1, members)))


def compute_load_interval_s(timing: Timing, members: int) -> float:
    """Return the minimum time between two announcements of a node's load."""
    return max(timing.min_load_interval_s, timing.load_interval_per_member_s * members)
