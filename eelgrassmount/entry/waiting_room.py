"""Client requests that wait at their node for calls that they may cause."""

from __future__ import annotations

import bisect
import functools
import itertools
import math
from collections import Counter
from enum import StrEnum
from typing import TYPE_CHECKING, Protocol

from attrs import define, field
from loguru import logger

from eelgrassmount.policy.waiting import Visit, choose_displaced, choose_place
from eelgrassmount.verdict import Reason

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

    from eelgrassmount.policy.shedding import RequestClass
    from eelgrassmount.policy.waiting import RequestTimes
    from eelgrassmount.relay.routes import Route
    from eelgrassmount.relay.sender import PendingRequest

# Shortest time until the next check for tokens, and longest time between two checks, as
# the budget may change without a notice.
MIN_CHECK_S = 0.005
MAX_CHECK_S = 0.05
# A request is refused before its wait ends if its tokens come later by more than this.
ESTIMATE_TOLERANCE_S = 0.02
# Further requests of its class for which a budget must suffice for it not to limit the
# class.
RESERVED_REQUESTS = 16


class CallBudget(Protocol):
    """The calls that the requests of a node may cause at overloaded services."""

    def try_take(self, request_class: RequestClass, now_s: float) -> bool:
        """Take the tokens of a request; return whether they suffice."""

    def estimate_wait_s(
        self,
        request_class: RequestClass,
        now_s: float,
        waiting_before: Sequence[RequestClass],
    ) -> float:
        """Return the seconds until the tokens suffice behind some other requests.

        0 if the class is not limited, infinite if no tokens are in sight.
        """


class UnlimitedBudget:
    """A budget that limits nothing."""

    def try_take(self, request_class: RequestClass, now_s: float) -> bool:
        """Return whether the tokens of a request suffice."""
        return True

    def estimate_wait_s(
        self,
        request_class: RequestClass,
        now_s: float,
        waiting_before: Sequence[RequestClass],
    ) -> float:
        """Return the seconds until the tokens of a request suffice."""
        return 0.0


class WaitOutcome(StrEnum):
    """How a wait ended."""

    STARTED = "started"
    EXPIRED = "expired"
    LEFT = "left"
    DISPLACED = "displaced"
    STOPPED = "stopped"
    UNROUTED = "unrouted"


class Handle(Protocol):
    """A scheduled call."""

    def cancel(self) -> None:
        """Cancel the call."""


@define(eq=False)
class WaitingEntry:
    """A request that waits, until ``ends_s`` at the latest.

    While its class is limited, it does not start before ``begins_s``. Entries are
    sorted by ``key``: rank, place within the rank, latest start, number.
    """

    pending: PendingRequest
    times: RequestTimes
    key: tuple[int, int, float, int]
    begins_s: float
    ends_s: float
    ended: bool = False

    @property
    def request_class(self) -> RequestClass:
        """Return the class by which the request takes tokens."""
        return self.pending.call.request_class

    @property
    def size(self) -> int:
        """Return the bytes of the request's body."""
        return len(self.pending.call.body)


@define(eq=False)
class WaitingRoom:
    """Holds the requests that wait for tokens, in the order in which they may start.

    ``start`` and ``refuse`` are called when a wait ends, ``leave`` if the client has
    disconnected before. ``is_stopping`` returns whether the node stops; no request
    waits from then on. ``list_expected`` returns the classes of the refused clients
    that were told to return. ``count`` records each outcome with the seconds waited.
    There is one timer for all requests, and none while no request waits.
    """

    budget: CallBudget
    clock: Callable[[], float]
    call_later: Callable[[float, Callable[[], None]], Handle]
    start: Callable[[PendingRequest], None]
    refuse: Callable[[PendingRequest, Reason], None]
    leave: Callable[[PendingRequest], None]
    is_stopping: Callable[[], bool] = lambda: False
    list_expected: Callable[[], list[RequestClass]] = list
    count: Callable[[WaitOutcome, float], None] = lambda outcome, seconds: None
    outcomes: Counter[WaitOutcome] = field(factory=Counter)
    waiting_bytes: int = 0
    _entries: list[WaitingEntry] = field(factory=list)
    _numbers: itertools.count[int] = field(factory=itertools.count)
    _timer: Handle | None = None
    _reported: Counter[WaitOutcome] = field(factory=Counter)
    _is_reported_used: bool = False

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._entries)

    def list_classes(self) -> list[RequestClass]:
        """Return the classes of the waiting requests in their order."""
        return [entry.request_class for entry in self._entries]

    def handle(self, pending: PendingRequest, times: RequestTimes) -> None:
        """Start a request, let it wait or refuse it."""
        if pending.visit in (Visit.EARLY, Visit.LATE):
            self._handle_untimely(pending)
            return
        now_s = self.clock()
        key = (
            pending.call.origin.priority,
            choose_place(pending.visit, times),
            times.find_latest_start_s(),
            next(self._numbers),
        )
        begins_s = times.find_return_start_s() if pending.visit.is_timely else now_s
        ends_s = times.find_wait_end_s(pending.visit)
        entry = WaitingEntry(pending, times, key, begins_s, ends_s)
        position = bisect.bisect(self._entries, key, key=lambda one: one.key)
        wait_s = self._estimate(entry, position, now_s)
        request_class = entry.request_class
        may_start = now_s >= begins_s or not self._is_limited(request_class, now_s)
        if may_start and wait_s <= 0 and self.budget.try_take(request_class, now_s):
            self.start(pending)
        elif not self._may_wait(entry, wait_s, now_s):
            self.refuse(pending, Reason.OVERLOAD)
        elif self._make_room(entry, position):
            self._insert(entry, now_s)
        else:
            self._count(WaitOutcome.DISPLACED, 0.0)
            self.refuse(pending, Reason.OVERLOAD)

    def _handle_untimely(self, pending: PendingRequest) -> None:
        """Start a request whose client returns too early or too late, or refuse it.

        It gets no tokens while its class is limited. Otherwise a client that repeats
        its request at several nodes would find the one with tokens to spare.
        """
        now_s = self.clock()
        request_class = pending.call.request_class
        is_limited = self._is_limited(request_class, now_s)
        if not is_limited and self.budget.try_take(request_class, now_s):
            self.start(pending)
        else:
            self.refuse(pending, Reason.OVERLOAD)

    def check(self) -> None:
        """Refuse the requests whose wait has ended and start those with tokens."""
        now_s = self.clock()
        if self.is_stopping():
            self._end_all(now_s)
        self._expire(now_s)
        self._release(now_s)
        self._schedule(now_s)

    def reconsider(self) -> None:
        """Check all requests after a change of the budget."""
        self._refuse_hopeless(0, self.clock())
        self.check()

    def apply_routes(
        self,
        routes: Mapping[str, Route],
        adapt: Callable[[PendingRequest, Route], RequestTimes],
    ) -> None:
        """Refuse the requests whose route is gone and reconsider the others.

        ``adapt`` changes a request to the new version of its route.
        """
        for entry in list(self._entries):
            # the answer to one request may let another one of its connection begin
            if entry.ended:
                continue
            route = routes.get(entry.pending.call.route.name)
            if route is None:
                self._refuse(entry, WaitOutcome.UNROUTED, Reason.NO_ROUTE)
            elif route != entry.pending.call.route:
                entry.times = adapt(entry.pending, route)
                entry.ends_s = entry.times.find_wait_end_s(entry.pending.visit)
                if entry.pending.visit.is_timely:
                    entry.begins_s = entry.times.find_return_start_s()
                self._sort_again(entry)
        self.reconsider()

    def start_all(self) -> None:
        """Start all requests in order; no budget limits them any more."""
        for entry in list(self._entries):
            if not entry.ended:
                self._end(entry, WaitOutcome.STARTED)
                self.start(entry.pending)
        self._schedule(self.clock())

    def report(self) -> None:
        """Log when requests begin to wait and when none has waited for a while."""
        is_used = bool(self._entries) or self.outcomes != self._reported
        if is_used != self._is_reported_used:
            message = "requests wait for calls" if is_used else "no requests wait"
            totals = {str(name): count for name, count in self.outcomes.items()}
            logger.info(message, waiting=len(self._entries), totals=totals)
        self._is_reported_used = is_used
        self._reported = Counter(self.outcomes)

    def _estimate(self, entry: WaitingEntry, position: int, now_s: float) -> float:
        """Return the seconds until the request at a position has its tokens."""
        before = [one.request_class for one in self._entries[:position]]
        return self.budget.estimate_wait_s(entry.request_class, now_s, before)

    def _may_wait(self, entry: WaitingEntry, wait_s: float, now_s: float) -> bool:
        if self.is_stopping() or entry.ends_s <= now_s:
            return False
        return entry.pending.visit.is_timely or now_s + wait_s <= entry.ends_s

    def _is_limited(self, request_class: RequestClass, now_s: float) -> bool:
        """Return whether tokens are scarce for a class.

        They are unless they suffice for those who wait, the refused clients that are
        expected back, and some further requests.
        """
        further = [request_class] * RESERVED_REQUESTS
        before = [*self.list_classes(), *self.list_expected(), *further]
        return self.budget.estimate_wait_s(request_class, now_s, before) > 0

    def _make_room(self, entry: WaitingEntry, position: int) -> bool:
        """Refuse the least urgent requests for a new one; return whether it fits."""
        displaced = choose_displaced(
            [one.size for one in reversed(self._entries)],
            self.waiting_bytes,
            entry.size,
            len(self._entries) - position,
        )
        if displaced is None:
            return False
        for other in self._entries[len(self._entries) - displaced :]:
            self._refuse(other, WaitOutcome.DISPLACED, Reason.OVERLOAD)
        return True

    def _insert(self, entry: WaitingEntry, now_s: float) -> None:
        position = bisect.bisect(self._entries, entry.key, key=lambda one: one.key)
        self._entries.insert(position, entry)
        self.waiting_bytes += entry.size
        entry.pending.exchange.on_abandon = lambda: self._abandon(entry)
        self._refuse_hopeless(position + 1, now_s)
        self._schedule(now_s)

    def _sort_again(self, entry: WaitingEntry) -> None:
        rank, place, _, number = entry.key
        entry.key = (rank, place, entry.times.find_latest_start_s(), number)
        self._entries.sort(key=lambda one: one.key)

    def _abandon(self, entry: WaitingEntry) -> None:
        if not entry.ended:
            self._end(entry, WaitOutcome.LEFT)
            self.leave(entry.pending)
            self._schedule(self.clock())

    def _expire(self, now_s: float) -> None:
        for entry in [one for one in self._entries if one.ends_s <= now_s]:
            self._refuse(entry, WaitOutcome.EXPIRED, Reason.OVERLOAD)

    def _refuse_hopeless(self, position: int, now_s: float) -> None:
        """Refuse the requests from a position on whose tokens come too late.

        Returning clients keep their places: if they were refused before their wait
        ends, those that repeat their requests would get another place at another node.
        """
        while position < len(self._entries):
            entry = self._entries[position]
            ready_s = now_s + self._estimate(entry, position, now_s)
            is_hopeless = ready_s > entry.ends_s + ESTIMATE_TOLERANCE_S
            if is_hopeless and not entry.pending.visit.is_timely:
                self._refuse(entry, WaitOutcome.EXPIRED, Reason.OVERLOAD)
            else:
                position += 1

    def _release(self, now_s: float) -> None:
        """Start the requests that have their tokens, in order.

        A class that has to wait for tokens holds back those behind it that need the
        same ones, but no others.
        """
        # computed once for each class, as many of its requests may wait
        is_limited = functools.cache(lambda one: self._is_limited(one, now_s))
        blocked: list[RequestClass] = []
        blocked_classes: set[RequestClass] = set()
        for entry in list(self._entries):
            if entry.ended:
                continue
            request_class = entry.request_class
            if now_s < entry.begins_s and is_limited(request_class):
                continue
            if request_class not in blocked_classes and self._try_take(
                request_class, now_s, blocked
            ):
                self._end(entry, WaitOutcome.STARTED)
                self.start(entry.pending)
            else:
                blocked.append(request_class)
                blocked_classes.add(request_class)

    def _try_take(
        self, request_class: RequestClass, now_s: float, before: list[RequestClass]
    ) -> bool:
        budget = self.budget
        if budget.estimate_wait_s(request_class, now_s, before) > 0:
            return False
        return budget.try_take(request_class, now_s)

    def _end_all(self, now_s: float) -> None:
        """Start the requests that have their tokens and refuse the others."""
        self._release(now_s)
        for entry in list(self._entries):
            self._refuse(entry, WaitOutcome.STOPPED, Reason.DRAINING)

    def _refuse(
        self, entry: WaitingEntry, outcome: WaitOutcome, reason: Reason
    ) -> None:
        if not entry.ended:
            self._end(entry, outcome)
            self.refuse(entry.pending, reason)

    def _end(self, entry: WaitingEntry, outcome: WaitOutcome) -> None:
        entry.ended = True
        self._entries.remove(entry)
        self.waiting_bytes -= entry.size
        entry.pending.exchange.on_abandon = None
        self._count(outcome, self.clock() - entry.times.arrived_s)

    def _count(self, outcome: WaitOutcome, seconds: float) -> None:
        self.outcomes[outcome] += 1
        self.count(outcome, seconds)

    def _schedule(self, now_s: float) -> None:
        """Set the timer to the next time at which a request may start or expire."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._entries:
            next_end_s = min(entry.ends_s for entry in self._entries)
            token_wait_s = max(MIN_CHECK_S, self._estimate_first_wait(now_s))
            delay_s = min(MAX_CHECK_S, token_wait_s, max(0.0, next_end_s - now_s))
            self._timer = self.call_later(delay_s, self._run_timer)

    def _run_timer(self) -> None:
        self._timer = None
        self.check()

    def _estimate_first_wait(self, now_s: float) -> float:
        """Return the seconds until a request may have its tokens."""
        wait_s = math.inf
        seen: set[RequestClass] = set()
        for position, entry in enumerate(self._entries):
            if entry.begins_s > now_s:
                wait_s = min(wait_s, entry.begins_s - now_s)
            # the others of a class come later
            elif entry.request_class not in seen:
                seen.add(entry.request_class)
                wait_s = min(wait_s, self._estimate(entry, position, now_s))
        return wait_s
