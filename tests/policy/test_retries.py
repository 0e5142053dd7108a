"""Reservation of scarce retries while servers reject calls."""

from __future__ import annotations

import heapq
import itertools
import random

import pytest
from attrs import define, field

from eelgrassmount.policy.retries import compute_reserved_share, is_retry_futile
from eelgrassmount.relay.budget import RetryBudget
from eelgrassmount.relay.messages import Origin

ACCEPTED = 0.45
URGENT_CALLS = 8
OTHER_CALLS = 4
CALL_S = 0.075
MAX_ATTEMPTS = 8


@define(eq=False)
class RejectionSimulation:
    """Simulates servers that reject 55 % of all calls, and requests with many calls.

    ``reserves`` says whether retries are reserved by priority and remaining runs.
    """

    rng: random.Random
    reserves: bool
    now_s: float = 1000.0
    finished: dict[int, int] = field(factory=lambda: {0: 0, 2: 0})
    budget: RetryBudget = field(init=False)
    _events: list = field(factory=list)
    _numbers: itertools.count = field(factory=itertools.count)

    def __attrs_post_init__(self) -> None:
        self.budget = RetryBudget(lambda: self.now_s, 0.2, 10.0, 49.0, lambda: 3)

    def add(self, rate: float, priority: int, calls: int, seconds: float) -> None:
        at_s = 1010.0
        while at_s < 1010.0 + seconds:
            at_s += self.rng.expovariate(rate)
            self._push(at_s, priority, calls)

    def _push(self, at_s: float, priority: int, remaining_runs: int) -> None:
        heapq.heappush(
            self._events, (at_s, next(self._numbers), priority, remaining_runs)
        )

    def run(self) -> None:
        for _ in range(7000):
            self.now_s += 10.0 / 7000
            self.budget.count_request("part")
        while self._events:
            self.now_s, _, priority, remaining_runs = heapq.heappop(self._events)
            self.budget.count_request("part")
            if self._call(priority, remaining_runs):
                if remaining_runs == 1:
                    self.finished[priority] += 1
                else:
                    self._push(self.now_s + CALL_S, priority, remaining_runs - 1)

    def _call(self, priority: int, remaining_runs: int) -> bool:
        origin = Origin(
            priority if self.reserves else 0,
            remaining_runs=remaining_runs if self.reserves else 1,
        )
        for _ in range(MAX_ATTEMPTS):
            if self.rng.random() < ACCEPTED:
                return True
            if not self.budget.take("part", origin, True):
                return False
        return False


def simulate(seed: int, reserves: bool) -> dict[int, int]:
    simulation = RejectionSimulation(random.Random(seed), reserves)
    simulation.add(47.0, 0, URGENT_CALLS, 8.0)
    simulation.add(79.0, 2, OTHER_CALLS, 8.0)
    simulation.run()
    return simulation.finished


@pytest.mark.parametrize("seed", range(5))
def test_retries_finish_urgent_requests_while_servers_reject(seed):
    """Without retries, hardly any urgent request finishes."""
    finished = simulate(seed, reserves=True)
    assert finished[0] > 0.06 * 47 * 8
    assert 3 * finished[0] > finished[2]


def test_reservation_finishes_more_urgent_requests():
    reserved = sum(simulate(seed, True)[0] for seed in range(8))
    unreserved = sum(simulate(seed, False)[0] for seed in range(8))
    assert reserved > 1.1 * unreserved


def test_reserved_share_grows_with_remaining_runs_and_lower_urgency():
    assert compute_reserved_share(1, 0) == 0.0
    assert compute_reserved_share(2, 0) < compute_reserved_share(9, 0) < 1.0
    assert compute_reserved_share(3, 0) < compute_reserved_share(3, 2)
    assert compute_reserved_share(10_000, 5) < 1.0


def test_retries_are_futile_only_if_all_servers_fail():
    assert is_retry_futile([0.5, 0.3])
    assert not is_retry_futile([0.5, 0.01])
    assert not is_retry_futile([])
