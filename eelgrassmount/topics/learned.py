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
PERIOD_S = 1.0
# calls that were learned have to stay the same for so long before they are kept
SETTLED_S = 5.0
# a count that differs by less than this part is the same
SAME_SHARE = 0.3

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

    beliefs: SharedState
    count_writers: Callable[[], int]
    _kept: dict[str, dict[str, float]] = field(factory=dict)
    _seen: dict[str, dict[str, float]] = field(factory=dict)
    _since_s: float = 0.0

    def take(self, value: bytes) -> None:
        """Take up a record; what was learned since goes first.

        Raises `BadFrameError` for one that can't be used, which changes nothing.
        """
        record = decode_struct(ttypes.LearnedRecord, value)
        self._kept = read_rows(record.calls)
        graph = self.beliefs.graph
        for name, calls in self._kept.items():
            room = len(graph.calls_per_run) < MAX_ROUTES
            new = name not in graph.calls_per_run
            if new and room and self.beliefs.knows_route(name):
                graph.set_calls(name, calls)

    def forget_kept(self) -> None:
        """Suppose that nothing is kept, until a record is found."""
        self._kept = {}

    def find_record(self) -> bytes | None:
        """Return the record to write now, ``None`` if there is nothing to say."""
        beliefs = self.beliefs
        now_s = beliefs.clock()
        vectors = {
            name: calls for name, calls in beliefs.graph.calls_per_run.items() if calls
        }
        if not is_same(vectors, self._seen):
            self._seen = vectors
            self._since_s = now_s
        settled = now_s - self._since_s >= SETTLED_S
        if not vectors or not settled or is_same(vectors, self._kept):
            return None
        if beliefs.rng.random() * self.count_writers() > 1.0:
            return None
        return encode_struct(ttypes.LearnedRecord(write_rows(vectors)))


def is_same(
    vectors: dict[str, dict[str, float]], others: dict[str, dict[str, float]]
) -> bool:
    """Tell whether the same routes make about as many of the same calls."""
    if vectors.keys() != others.keys():
        return False
    for name, calls in vectors.items():
        known = others[name]
        if calls.keys() != known.keys():
            return False
        for called, count in calls.items():
            if abs(count - known[called]) > SAME_SHARE * max(count, known[called]):
                return False
    return True
