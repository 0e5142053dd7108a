"""Subscriptions among nodes to the records that readers of the log pass on."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

from attrs import define, field

from eelgrassmount.relay.tallies import Tally, add_tallies

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from eelgrassmount.relay.frames import FrameKind

# Reports of other nodes are used for this time.
MAX_NEWS_AGE_S = 2.5


@define(eq=False, repr=False)
class Subscription:
    """A subscription of this node to a reader.

    ``unanswered_since_s`` is the time of the first request without an answer. The last
    request was sent at ``sent_s``, the last one with counts at ``counts_sent_s``, and
    the last answer arrived at ``received_s``. The reader ``reads`` the log itself, or
    ``hears`` from another reader.
    """

    unanswered_since_s: float = math.inf
    sent_s: float = -math.inf
    counts_sent_s: float = -math.inf
    received_s: float = -math.inf
    reads: bool = False
    hears: bool = False
    tally: Tally = field(factory=Tally)

    def is_fresh(self, now_s: float) -> bool:
        """Return whether the reader has answered recently."""
        return now_s - self.received_s <= MAX_NEWS_AGE_S


@define(eq=False, repr=False)
class Subscriber:
    """A node that subscribes to this one; ``send`` sends it a frame.

    ``request_ms`` is the time of its latest request, by its own clock.
    """

    send: Callable[[FrameKind, Any], None]
    is_local: bool
    received_s: float
    next_offset: int
    tally: Tally
    request_ms: int | None = None


@define
class CountSums:
    """Sums of counts over the local failure domain and over all nodes.

    They add what nodes report of themselves or of their local failure domain. Sums that
    a reader has received are never added again; otherwise counts would circulate among
    readers.
    """

    local: Tally = field(factory=Tally)
    total: Tally = field(factory=Tally)

    def update(self, local: Tally, remote: Iterable[Tally]) -> None:
        """Store the sum of the local failure domain, and add those of the others."""
        self.local = local
        self.total = add_tallies([local, *remote])
