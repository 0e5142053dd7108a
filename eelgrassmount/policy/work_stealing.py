"""Decides when a server with free slots takes over calls that wait for another one.

The load: all servers of a service are nearly full, differ in speed, and their load
reports are older than their queues. Senders then choose the same server, and its queue
grows while slots of the others are free.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import frozen

if TYPE_CHECKING:
    from collections.abc import Iterable

# Part of the slots that must be free before they are offered.
MIN_FREE_SHARE = 0.05
# Time in which a call gets from one queue to another. Calls that start sooner where
# they are stay there.
MOVE_S = 0.004
# Factor by which calls must wait longer in another failure domain than in the own one.
REMOTE_WAIT_FACTOR = 2.0


@frozen
class QueueState:
    """The queue of calls to a server as last reported, and its wait in seconds."""

    node: str
    wait_s: float
    is_local: bool


def estimate_wait_s(queued: int, slots: float, run_s: float) -> float:
    """Return the seconds until the last of the queued calls starts.

    >>> estimate_wait_s(queued=30, slots=10, run_s=0.02)
    0.06
    """
    return queued * run_s / slots if slots else 0.0


def count_offered_slots(in_flight: int, queued: int, limit: int) -> int:
    """Return how many free slots a server offers to the nodes of other servers.

    >>> count_offered_slots(in_flight=30, queued=0, limit=40)
    10
    >>> count_offered_slots(in_flight=39, queued=0, limit=40)
    0
    """
    free = limit - in_flight - queued
    return free if free >= max(1.0, MIN_FREE_SHARE * limit) else 0


def choose_longest_queue(queues: Iterable[QueueState]) -> str | None:
    """Return the node whose queued calls wait longest, ``None`` if none is worth it.

    Queues in other failure domains count less, so that only what the own failure
    domain can't run crosses its border.
    """

    def weigh(queue: QueueState) -> float:
        return queue.wait_s if queue.is_local else queue.wait_s / REMOTE_WAIT_FACTOR

    longest = max(queues, key=weigh, default=None)
    if longest is None or weigh(longest) < MOVE_S:
        return None
    return longest.node


def count_kept_calls(limit: int, run_s: float) -> int:
    """Return how many queued calls start sooner where they are than after a move.

    >>> count_kept_calls(limit=10, run_s=0.02)
    2
    """
    return math.ceil(limit * MOVE_S / run_s) if run_s > 0.0 else limit
