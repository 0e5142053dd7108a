"""Intervals and bounds of the membership."""

from __future__ import annotations

import math

from attrs import frozen

# bounds per message
MAX_UPDATES = 32
MAX_URGENT = 32
MAX_JOIN_MEMBERS = 128
MAX_JOIN_SUMMARIES = 128
MAX_CROSS_SUMMARIES = 32
MAX_ADDRESSES = 8
MAX_CONTACTS = 8

# members that a node exchanges news with, so that its connections stay few
PARTNERS = 12

# how often one update is passed on by each node that learns of it
SENDS_OF_STATE = 4
SENDS_OF_DOMAIN = 3
SENDS_OF_LOAD = 2

DELEGATES_PER_DOMAIN = 3


@frozen
class Timing:
    """Intervals in seconds, and fan-outs.

    ``load_share_s`` times the number of members is the least time between two
    announcements of a member's own load, so that load costs each node the same
    number of messages however large the failure domain is.
    """

    round_s: float = 0.5
    round_jitter: float = 0.3
    sweep_s: float = 0.2
    probe_least_s: float = 0.2
    probe_most_s: float = 1.0
    indirect_probes: int = 3
    dead_s: float = 2.0
    dead_probe_s: float = 10.0
    frozen_s: float = 0.75
    fan_out: int = 3
    flush_s: float = 0.02
    load_least_s: float = 1.0
    load_share_s: float = 0.2
    cross_s: float = 1.0
    domain_heartbeat_s: float = 4.0
    domain_stale_s: float = 20.0
    delegate_stagger_s: float = 0.7
    tombstone_s: float = 120.0
    pull_s: float = 0.5
    look_least_s: float = 0.5
    look_most_s: float = 10.0
    announce_s: float = 120.0
    ask_s: float = 1.0


def compute_dead_s(timing: Timing, members: int) -> float:
    """Return how long a suspicion may stand before it becomes a verdict.

    It grows with the logarithm of the number of members, as does the time that
    a suspicion and its refutation take to spread.
    """
    return timing.dead_s * max(1.0, math.log10(max(1, members)))


def compute_load_interval_s(timing: Timing, members: int) -> float:
    """Return the least time between two announcements of a node's own load."""
    return max(timing.load_least_s, timing.load_share_s * members)
