"""A waiting room with a budget of tokens, on a clock that the test moves."""

from __future__ import annotations

import math
import random
from types import SimpleNamespace

from attrs import define, field

from eelgrassmount.entry.waiting_room import WaitingRoom
from eelgrassmount.policy.waiting import RequestTimes, Visit
from eelgrassmount.relay.messages import Origin
from eelgrassmount.relay.sender import PendingRequest
from eelgrassmount.timers import ManualClock, TimerService
from tests.relay.samples import make_call, make_route

PATH_S = 0.4
ROUTE = make_route(objective_s=1.5, timeout_s=5.0)


@define(eq=False)
class FakeBudget:
    """A token bucket from which each request takes one token.

    Requests of the routes in ``unlimited`` take none.
    """

    rate: float = 10.0
    tokens: float = 1.0
    updated_s: float = 1000.0
    unlimited: set[str] = field(factory=set)

    def refill(self, now_s):
        self.tokens = min(1.0, self.tokens + (now_s - self.updated_s) * self.rate)
        self.updated_s = now_s

    def try_take(self, request_class, now_s):
        self.refill(now_s)
        if request_class.route_name in self.unlimited:
            return True
        # a refill up to the estimated time may be a rounding error short
        if self.tokens < 1.0 - 1e-9:
            return False
        self.tokens -= 1.0
        return True

    def estimate_wait_s(self, request_class, now_s, waiting_before):
        self.refill(now_s)
        before = [one for one in waiting_before if one.route_name not in self.unlimited]
        missing = len(before) + 1.0 - self.tokens
        if missing <= 1e-9 or request_class.route_name in self.unlimited:
            return 0.0
        return missing / self.rate if self.rate else math.inf


@define(eq=False)
class EntryScenario:
    """Requests at one node; ``started`` and ``refused`` hold their times of decision.

    Clients that leave are recorded in ``left``.
    """

    budget: FakeBudget = field(factory=FakeBudget)
    started: dict[str, float] = field(factory=dict)
    refused: dict[str, tuple[float, str]] = field(factory=dict)
    left: list[str] = field(factory=list)
    stopping: bool = False
    timers: TimerService = field(
        factory=lambda: TimerService(ManualClock(), random.Random(1))
    )
    room: WaitingRoom = field(init=False)

    def __attrs_post_init__(self):
        self.room = WaitingRoom(
            self.budget,
            self.timers.read,
            self.timers.schedule,
            lambda pending: self.started.update({_name(pending): self.timers.read()}),
            lambda pending, reason: self.refused.update(
                {_name(pending): (self.timers.read(), str(reason))}
            ),
            lambda pending: self.left.append(_name(pending)),
            lambda: self.stopping,
        )

    def make_pending(self, name, rank=1, body=b"", route=ROUTE):
        call = make_call(
            route, self.timers.read(), request_id=name, body=body, origin=Origin(rank)
        )
        return PendingRequest(SimpleNamespace(on_abandon=None), call)

    def arrive(self, name, rank=1, visit=Visit.NEW, elapsed_s=0.0, **changes):
        pending = self.make_pending(name, rank, **changes)
        pending.visit = visit
        self.room.handle(pending, find_times(pending, elapsed_s))
        return pending


def find_times(pending, elapsed_s=0.0):
    call = pending.call
    objective_s = call.route.objective_s
    return RequestTimes(call.arrived_s, elapsed_s, call.deadline_s, objective_s, PATH_S)


def _name(pending):
    return pending.call.request_id
