"""Time for which a node waits for readers that can't read the log."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import define

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Sequence

# The log may be unreachable for all nodes. To limit calls in an outage, a few nodes
# of a failure domain read soon, one after the other, and the rest after random times.
# The first wait leaves time for another read by the readers.
EARLY_NODES = 6
FIRST_EARLY_WAIT_S = 0.2
EARLY_WAIT_STEP_S = 0.1
OUTAGE_WAIT_RANGE_S = (3.0, 6.0)


def compute_outage_wait_s(
    name: str, others: Sequence[str], rng: random.Random
) -> float:
    """Return how many seconds a node waits for readers that can't read.

    ``others`` are the nodes of its failure domain that are not preferred as readers,
    in order of rank::

        compute_outage_wait_s("node-4", ["node-3", "node-4"], rng)  # 0.3
    """
    if name in others[EARLY_NODES:]:
        return rng.uniform(*OUTAGE_WAIT_RANGE_S)
    rank = others.index(name) if name in others else 0
    return FIRST_EARLY_WAIT_S + rank * EARLY_WAIT_STEP_S


@define(eq=False, repr=False)
class ReaderOutage:
    """Tracks since when no reader that a node hears from knows the log.

    ``compute_wait_s`` returns how long the node waits before it reads by itself.
    """

    compute_wait_s: Callable[[], float]
    _since_s: float = math.inf
    _wait_s: float = 0.0

    def update(self, is_served: bool, now_s: float) -> None:
        """Record whether a reader knows the log."""
        if is_served:
            self._since_s = math.inf
        elif math.isinf(self._since_s):
            self._since_s = now_s
            self._wait_s = self.compute_wait_s()

    def has_lasted(self, now_s: float) -> bool:
        """Return whether the node has waited long enough."""
        return now_s - self._since_s > self._wait_s
