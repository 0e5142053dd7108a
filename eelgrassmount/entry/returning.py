"""Recognizes the returning clients of a node and gives refused ones appointments."""

from __future__ import annotations

import math
from collections import Counter, deque
from enum import StrEnum
from typing import TYPE_CHECKING

from attrs import define, field

from eelgrassmount.policy.returns import (
    FURTHER_WEIGHT,
    MIN_ELAPSED_S,
    ReturnLimits,
    StatedTime,
    adjust_favored_share,
    choose_return_delay_s,
    classify_visit,
    compute_elapsed_s,
    draw_client,
    find_bucket,
)
from eelgrassmount.policy.waiting import Visit

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from eelgrassmount.entry.path_times import PathTimes
    from eelgrassmount.entry.waiting_room import CallBudget
    from eelgrassmount.policy.shedding import RequestClass
    from eelgrassmount.relay.routes import Route
    from eelgrassmount.relay.sender import PendingRequest
    from eelgrassmount.relay.shared_state import SharedState

# Decay factor of the weights of stated times per step.
STATED_DECAY_FACTOR = 0.99
MIN_STATED_WEIGHT = 0.05
# Increase of the favored share of returning clients per step.
FAVORED_RECOVERY = 0.01
# Limits of the memory of a node.
MAX_STATED_BUCKETS = 128
MAX_APPOINTMENTS = 64
MAX_REPEATS = 1024
# Requests of one client have the same deadline up to this error in seconds.
DEADLINE_RESOLUTION_S = 0.01


class AppointmentKind(StrEnum):
    """What the Retry-After of a refused request is based on."""

    FORESEEN = "foreseen"
    LATEST = "latest"
    LATE = "late"


@define(eq=False)
class StatedTimes:
    """The times that the clients of one route stated, by bucket.

    ``favored_share`` is the share of its returning clients that may precede new ones.
    """

    stated: dict[int, StatedTime] = field(factory=dict)
    favored_share: float = 1.0

    def record(self, seconds: float, weight: float) -> None:
        """Add a stated time; only the heaviest buckets are kept."""
        bucket = find_bucket(seconds)
        known = self.stated.get(bucket)
        if known is not None:
            self.stated[bucket] = known.add(seconds, weight)
            return
        if len(self.stated) >= MAX_STATED_BUCKETS:
            del self.stated[min(self.stated, key=lambda one: self.stated[one].weight)]
        self.stated[bucket] = StatedTime(seconds, weight)

    def decay(self) -> None:
        """Reduce the weight of earlier requests and refusals."""
        self.stated = {
            bucket: StatedTime(one.seconds, one.weight * STATED_DECAY_FACTOR)
            for bucket, one in self.stated.items()
            if one.weight * STATED_DECAY_FACTOR >= MIN_STATED_WEIGHT
        }
        self.favored_share = min(1.0, self.favored_share + FAVORED_RECOVERY)


@define(eq=False)
class RepeatTable:
    """Clients whose further attempts are recognized, by target and deadline.

    All attempts of a client have the same deadline. The times of first attempts are
    stored in seconds. The oldest entries are dropped beyond `MAX_REPEATS`::

        clients = RepeatTable()
        clients.add("/list/1", deadline_s=105.0, first_s=100.0)
        clients.find("/list/1", 105.001)  # 100.0
    """

    _clients: dict[tuple[int, int], tuple[float, float]] = field(factory=dict)

    def add(self, target: str, deadline_s: float, first_s: float = 0.0) -> None:
        """Record a client."""
        if len(self._clients) >= MAX_REPEATS:
            del self._clients[next(iter(self._clients))]
        key = hash(target), _round_deadline(deadline_s)
        self._clients[key] = (deadline_s, first_s)

    def find(self, target: str, deadline_s: float) -> float | None:
        """Return when a client made its first attempt, ``None`` if not recorded."""
        found = hash(target)
        tick = _round_deadline(deadline_s)
        for key in ((found, one) for one in range(tick - 1, tick + 2)):
            if key in self._clients:
                return self._clients[key][1]
        return None

    def has(self, target: str, deadline_s: float) -> bool:
        """Return whether a client is recorded."""
        return self.find(target, deadline_s) is not None

    def expire(self, now_s: float) -> None:
        """Remove the clients whose deadline has passed."""
        self._clients = {
            key: one for key, one in self._clients.items() if one[0] > now_s
        }


def _round_deadline(deadline_s: float) -> int:
    return round(deadline_s / DEADLINE_RESOLUTION_S)


@define(eq=False)
class ReturnTracker:
    """Recognizes returning clients and chooses the Retry-After of refused requests.

    No client is identified. A request with the content and the deadline of one that
    this node has refused is a further attempt of its client. Besides, a request states
    how long its client will wait, and one that states clearly less than nearly all
    others of its route has tried before, at this node or another one.

    ``list_waiting`` returns the classes of the requests that wait at this node.
    ``wall_clock`` returns the Unix time in seconds.
    """

    budget: CallBudget
    clock: Callable[[], float]
    wall_clock: Callable[[], float]
    rng: random.Random
    list_waiting: Callable[[], list[RequestClass]] = list
    count_visit: Callable[[Visit], None] = lambda visit: None
    count_appointment: Callable[[AppointmentKind], None] = lambda kind: None
    visits: Counter[Visit] = field(factory=Counter)
    _routes: dict[str, StatedTimes] = field(factory=dict)
    _refused: RepeatTable = field(factory=RepeatTable)
    _repeats: RepeatTable = field(factory=RepeatTable)
    _appointments: deque[tuple[float, RequestClass]] = field(
        factory=lambda: deque(maxlen=MAX_APPOINTMENTS)
    )

    def record_request(
        self,
        route: Route,
        target: str,
        path_s: float,
        arrived_s: float,
        remaining_s: float,
    ) -> tuple[Visit, float]:
        """Return the kind of a request and the seconds since the first attempt.

        ``target`` may be anything that is the same for all attempts of a client.
        ``path_s`` is what requests of the route usually take.
        """
        known = self._routes.setdefault(route.name, StatedTimes())
        elapsed_s = compute_elapsed_s(known.stated, remaining_s)
        deadline_s = arrived_s + remaining_s
        first_s = self._refused.find(target, deadline_s)
        if first_s is not None:
            elapsed_s = max(MIN_ELAPSED_S, arrived_s - first_s)
        repeated = elapsed_s > 0 and self._repeats.has(target, deadline_s)
        if not repeated:
            # repeats must not outweigh the first attempts
            known.record(remaining_s, FURTHER_WEIGHT if elapsed_s > 0 else 1.0)
        full_s = remaining_s + elapsed_s
        limits = ReturnLimits(route.objective_s, 0.0, path_s, full_s)
        deadline_unix_s = deadline_s + self.wall_clock() - self.clock()
        is_favored = draw_client(target, deadline_unix_s) < known.favored_share
        visit = classify_visit(limits, elapsed_s, repeated, is_favored)
        if visit is Visit.EARLY:
            self._repeats.add(target, deadline_s)
        self.visits[visit] += 1
        self.count_visit(visit)
        return visit, elapsed_s

    def record_outcome(self, route_name: str, succeeded: bool) -> None:
        """Record whether a returning client was admitted."""
        known = self._routes.setdefault(route_name, StatedTimes())
        known.favored_share = adjust_favored_share(known.favored_share, succeeded)

    def record_refusal(self, target: str, deadline_s: float, first_s: float) -> None:
        """Record the first attempt of a client that is told to return."""
        if math.isfinite(deadline_s):
            self._refused.add(target, deadline_s, first_s)

    def choose_delay_s(
        self, request_class: RequestClass, limits: ReturnLimits, is_early: bool
    ) -> float:
        """Return the Retry-After of a refused request in seconds.

        Clients that repeat too early (``is_early``) get no further appointment.
        """
        now_s = self.clock()
        foreseen_s = self._foresee(request_class, now_s)
        delay_s = choose_return_delay_s(limits, foreseen_s, self.rng.random())
        if not is_early:
            self._appointments.append((now_s + delay_s, request_class))
            self.count_appointment(_find_kind(limits, foreseen_s))
        return delay_s

    def count_appointments(self) -> int:
        """Return the number of refused clients that are expected back."""
        return len(self.list_expected())

    def list_expected(self) -> list[RequestClass]:
        """Return the classes of the refused clients that are expected back."""
        now_s = self.clock()
        return [one for due_s, one in self._appointments if due_s > now_s]

    def step(self) -> None:
        """Forget old statements; to be called once a second."""
        for known in self._routes.values():
            known.decay()
        self._refused.expire(self.clock())
        self._repeats.expire(self.clock())

    def keep_routes(self, knows_route: Callable[[str], bool]) -> None:
        """Remove what is known of all other routes."""
        self._routes = {
            name: one for name, one in self._routes.items() if knows_route(name)
        }

    def _foresee(self, request_class: RequestClass, now_s: float) -> float:
        """Return the seconds until tokens are foreseen for a client that returns.

        Those that wait and those with appointments come first. Infinite if the budget
        does not limit the class: something else has refused the request.
        """
        before = [*self.list_waiting(), *self.list_expected()]
        wait_s = self.budget.estimate_wait_s(request_class, now_s, before)
        return wait_s if wait_s > 0 else math.inf


def _find_kind(limits: ReturnLimits, foreseen_s: float) -> AppointmentKind:
    longest_s = limits.find_longest_delay_s()
    if longest_s <= 0:
        return AppointmentKind.LATE
    return (
        AppointmentKind.FORESEEN if foreseen_s <= longest_s else AppointmentKind.LATEST
    )


def make_delay_chooser(
    state: SharedState, returns: ReturnTracker, path_times: PathTimes
) -> Callable[[PendingRequest], float | None]:
    """Return the function that chooses the Retry-After of requests.

    It returns ``None`` where clients are not expected to return in time.
    """

    def choose(pending: PendingRequest) -> float | None:
        call = pending.call
        if call.origin.downstream or not state.table.features.expects_returns:
            return None
        now_s = state.clock()
        limits = ReturnLimits(
            call.route.objective_s,
            pending.elapsed_s + now_s - call.arrived_s,
            path_times.find(call.route),
            pending.client_deadline_s - now_s,
        )
        first_s = call.arrived_s - pending.elapsed_s
        returns.record_refusal(call.find_content(), pending.client_deadline_s, first_s)
        is_early = pending.visit is Visit.EARLY
        return returns.choose_delay_s(call.request_class, limits, is_early)

    return choose
