"""What all nodes have learned, kept on the log for nodes that start."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

from eelgrassmount.gen import ttypes
from eelgrassmount.relay.frames import decode_struct, encode_struct
from eelgrassmount.relay.rows import read_rows, write_rows

if TYPE_CHECKING:
    from collections.abc import Callable

    from eelgrassmount.relay.shared_state import SharedState

# what is kept is looked at so often
RECORD_CHECK_INTERVAL_S = 1.0
# calls that were learned have to stay the same for so long before they are kept
SETTLING_TIME_S = 5.0
# a count that differs by less than this part is the same
COUNT_TOLERANCE_SHARE = 0.3

# routes that records may add; an installation has some hundred
MAX_ROUTES = 10_000


@define(eq=False)
class LearnedCalls:
    """Decides when the calls of routes are written, and takes up what was.

    After a restart of everything, no node has runs to learn from, and nobody to ask:
    requests would be admitted and routed as if none led to others. Any of the nodes
    that ``count_writers`` counts may write, by a chance that makes it one a second
    among all.
    """

    state: SharedState
    count_writers: Callable[[], int]
    _stored: dict[str, dict[str, float]] = field(factory=dict)
    _latest: dict[str, dict[str, float]] = field(factory=dict)
    _unchanged_since_s: float = 0.0

    def apply(self, value: bytes) -> None:
        """Take up a record; what was learned since goes first.

        Raises `BadFrameError` for one that can't be used, which changes nothing.
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
        """Suppose that nothing is kept, until a record is found."""
        self._stored = {}

    def build_due_record(self) -> bytes | None:
        """Return the record to write now, ``None`` if there is nothing to say."""
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
    """Tell whether the same routes make about as many of the same calls."""
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
