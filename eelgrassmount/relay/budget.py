"""The retry budget of a service, which its gates share."""

from __future__ import annotations

import math
import random
from collections import deque
from typing import TYPE_CHECKING

from attrs import define, field

from eelgrassmount.policy.retries import (
    compute_reserved_share,
    compute_retry_allowance,
    refill_tokens,
    round_randomly,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from eelgrassmount.policy.retries import RetryAllowance
    from eelgrassmount.relay.messages import Origin

# sendings are counted in so many spans of a window
SPANS = 20
# a window is compared with requests of this many windows back, in steps of a half one
WINDOWS = 2
# part of the requests of an earlier window that a node counts: the windows with most
# differ from node to node, so that the sum over all nodes may be above that of any
EARLIER_WEIGHT = 0.7


@define
class SpanCounts:
    """How many events came in each of the latest spans of time, the last one open."""

    span_s: float
    length: int
    _counts: deque[int] = field(factory=deque)
    _number: int = 0

    def add(self, now_s: float) -> None:
        """Count an event."""
        self._move(now_s)
        self._counts[-1] += 1

    def count(self, now_s: float, newest: int, spans: int) -> int:
        """Return the events in spans, of which ``newest`` is the latest: 0 is open."""
        self._move(now_s)
        end = len(self._counts) - newest
        return sum(list(self._counts)[max(0, end - spans) : max(0, end)])

    def _move(self, now_s: float) -> None:
        number = int(now_s / self.span_s)
        missing = min(self.length, number - self._number)
        self._counts.extend([0] * missing)
        self._number = max(self._number, number)
        while len(self._counts) > self.length:
            self._counts.popleft()


@define
class ServiceBudget:
    """Requests and repeats of one service in the latest spans.

    ``tokens`` are the repeats that may be sent now, and ``drawn`` is the number from 0
    to 1 that was drawn by chance in the window ``drawn_window``.
    """

    window_s: float
    tokens: float = math.inf
    refilled_s: float = 0.0
    drawn: float = 1.0
    drawn_window: int = -1
    requests: SpanCounts = field(init=False)
    repeats: SpanCounts = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Begin to count."""
        span_s = self.window_s / SPANS
        self.requests = SpanCounts(span_s, WINDOWS * SPANS + 1)
        self.repeats = SpanCounts(span_s, SPANS + 1)

    def count_requests(self, now_s: float) -> float:
        """Return the requests of this window, or of the one before or half before.

        A repeat is allowed against whichever had most: when a shortage sends callers
        away, those that were begun before it still need their repeats.
        """
        earlier = max(
            self.requests.count(now_s, newest, SPANS) for newest in (SPANS // 2, SPANS)
        )
        return max(self.requests.count(now_s, 0, SPANS), EARLIER_WEIGHT * earlier)

    def refill(self, allowed: RetryAllowance, now_s: float) -> None:
        """Add the tokens of the time since the last call."""
        windows = (now_s - self.refilled_s) / self.window_s
        self.tokens = refill_tokens(self.tokens, allowed, windows)
        self.refilled_s = now_s

    def spend(self, now_s: float) -> None:
        """Count a repeat."""
        self.repeats.add(now_s)
        self.tokens -= 1.0

    def count_repeats(self, now_s: float) -> int:
        """Return the repeats of this window, counted generously."""
        return self.repeats.count(now_s, 0, SPANS + 1)


@define(eq=False)
class RetryBudget:
    """Allows second sendings so that the sum over all nodes stays in bounds.

    Each gate counts the requests that come to it and takes repeats of a part of them,
    plus its share of the slack. ``count_nodes`` tells among how many gates the slack is
    divided.
    """

    clock: Callable[[], float]
    ratio: float
    window_s: float
    slack: float
    count_nodes: Callable[[], int]
    rng: random.Random = field(factory=random.Random)
    _services: dict[str, ServiceBudget] = field(factory=dict)

    def note_request(self, service: str) -> None:
        """Count a first sending."""
        self._find(service).requests.add(self.clock())

    def note_inherited(self, service: str) -> None:
        """Count a call of a run that was a repeat, which counts as one itself."""
        self._find(service).spend(self.clock())

    def take(self, service: str, origin: Origin, ends_chain: bool) -> bool:
        """Take one repeat of a call; ``False`` when there is none left for it.

        ``ends_chain`` says that a run makes no calls of its own.
        """
        budget = self._find(service)
        now_s = self.clock()
        allowed = compute_retry_allowance(
            budget.count_requests(now_s),
            self.ratio,
            self.slack,
            self.count_nodes(),
            ends_chain,
        )
        if budget.count_repeats(now_s) + 1 > self._round(budget, allowed.total, now_s):
            return False
        budget.refill(allowed, now_s)
        kept = allowed.burst * compute_reserved_share(origin.left, origin.priority)
        # what may be sent at once is less than one on a node with few requests
        if budget.tokens < max(kept, min(1.0, allowed.burst)):
            return False
        budget.spend(now_s)
        return True

    def _round(self, budget: ServiceBudget, total: float, now_s: float) -> float:
        """Return the repeats of a window, where a share below one is one by chance.

        A new draw is made in each window, so that of many gates with a fifth of a
        repeat each, every fifth takes one.
        """
        window = int(now_s / self.window_s)
        if window != budget.drawn_window:
            budget.drawn_window = window
            budget.drawn = self.rng.random()
        return round_randomly(total, budget.drawn)

    def list_services(self) -> list[tuple[str, int, int]]:
        """Return each service with its requests and repeats in the window now."""
        now_s = self.clock()
        return [
            (name, budget.requests.count(now_s, 0, SPANS), budget.count_repeats(now_s))
            for name, budget in sorted(self._services.items())
        ]

    def _find(self, service: str) -> ServiceBudget:
        budget = self._services.get(service)
        if budget is None or budget.window_s != self.window_s:
            budget = self._services[service] = ServiceBudget(self.window_s)
        return budget
