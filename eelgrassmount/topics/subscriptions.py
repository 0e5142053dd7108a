"""What a node hears from the readers of the log, and who listens to it."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

from attrs import define, field

from eelgrassmount.relay.tallies import Tally, add_tallies

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from eelgrassmount.relay.frames import FrameKind

# what another node has said is believed for so long
MAX_NEWS_AGE_S = 2.5


@define(eq=False)
class Subscription:
    """What a node hears from one reader.

    ``waiting_s`` is since when an answer is missing; the last question went out at
    ``sent_s``, and the last with counts at ``counted_s``. The reader ``reads`` the log
    itself or ``hears`` from another that does.
    """

    unanswered_since_s: float = math.inf
    sent_s: float = -math.inf
    counts_sent_s: float = -math.inf
    received_s: float = -math.inf
    reads: bool = False
    hears: bool = False
    tally: Tally = field(factory=Tally)

    def is_fresh(self, now_s: float) -> bool:
        """Tell whether the reader was heard lately."""
        return now_s - self.received_s <= MAX_NEWS_AGE_S


@define(eq=False)
class Subscriber:
    """A node that listens to this one; ``send`` takes a frame for it."""

    send: Callable[[FrameKind, Any], None]
    is_local: bool
    received_s: float
    next_offset: int
    tally: Tally


@define
class CountSums:
    """Counts added up: those of the own failure domain, and all that are heard of.

    They hold what nodes say of themselves or of their own failure domain. What a reader
    has added up of others is never added again, as it would go round among them.
    """

    local: Tally = field(factory=Tally)
    total: Tally = field(factory=Tally)

    def update(self, local: Tally, remote: Iterable[Tally]) -> None:
        """Take up the sum of the own failure domain, and those of others."""
        self.local = local
        self.total = add_tallies([local, *remote])
