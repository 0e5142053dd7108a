"""Stores learned calls on the log for nodes that start."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

from eelgrassmount.gen import ttypes
from eelgrassmount.relay.frames import decode_struct, encode_struct
from eelgrassmount.relay.rows import read_rows, write_rows

if TYPE_CHECKING:
    from collections.abc import Callable

    from eelgrassmount.relay.shared_state import SharedState

RECORD_CHECK_INTERVAL_S = 1.0
# Learned calls are written once they have not changed for this time.
SETTLING_TIME_S = 5.0
# Counts that differ by no more than this share are treated as equal.
COUNT_TOLERANCE_SHARE = 0.3

# Bounds the routes that records may add.
MAX_ROUTES = 10_000


@define(eq=False, repr=False)
class LearnedCalls:
    """Decides when to write the learned calls of routes, and applies written ones.

    After a restart of the whole deployment no node has learned calls: requests would be
    admitted and routed as if no route made downstream calls. Each of the nodes counted
    by ``count_writers`` writes with a probability that gives one record per second
    among all of them.
    """

    state: SharedState
    count_writers: Callable[[], int]
    _stored: dict[str, dict[str, float]] = field(factory=dict)
    _latest: dict[str, dict[str, float]] = field(factory=dict)
    _unchanged_since_s: float = 0.0

    def apply(self, value: bytes) -> None:
        """Add the calls of routes that this node has not learned itself.

        Raises `BadFrameError` for an invalid record, which changes nothing.
        """
        record = decode_struct(ttypes.LearnedRecord, value)
        self._stored = read_rows(record.calls)
        graph = self.state.graph
        for name, calls in self._stored.items():
            has_room = len(graph.calls_per_run) < MAX_ROUTES
            is_new = name not in graph.calls_per_run
            if is_new and has_room and self.state.knows_route(name):
                graph.set_calls(name, calls)

    def forget_stored(self) -> None:
        """Assume that no record is stored, until one is read."""
        self._stored = {}

    def build_due_record(self) -> bytes | None:
        """Return the record to write now, ``None`` if none is due."""
        state = self.state
        now_s = state.clock()
        calls_by_route = {
            name: calls for name, calls in state.graph.calls_per_run.items() if calls
        }
        if not is_similar(calls_by_route, self._latest):
            self._latest = calls_by_route
            self._unchanged_since_s = now_s
        settled = now_s - self._unchanged_since_s >= SETTLING_TIME_S
        if (
            not calls_by_route
            or not settled
            or is_similar(calls_by_route, self._stored)
        ):
            return None
        if state.rng.random() * self.count_writers() > 1.0:
            return None
        return encode_struct(ttypes.LearnedRecord(write_rows(calls_by_route)))


def is_similar(
    calls_by_route: dict[str, dict[str, float]], others: dict[str, dict[str, float]]
) -> bool:
    """Return whether the same routes make about as many of the same calls."""
    if calls_by_route.keys() != others.keys():
        return False
    for name, calls in calls_by_route.items():
        other_calls = others[name]
        if calls.keys() != other_calls.keys():
            return False
        for called, count in calls.items():
            if abs(count - other_calls[called]) > COUNT_TOLERANCE_SHARE * max(
                count, other_calls[called]
            ):
                return False
    return True
