"""Which calls may be repeated when repeats are scarce, with a load of rejections."""

from __future__ import annotations

import heapq
import itertools
import random

import pytest
from attrs import define, field

from eelgrassmount.policy.repeats import find_kept, is_in_vain
from eelgrassmount.relay.budget import RetryBudget
from eelgrassmount.relay.messages import Origin

ACCEPTED = 0.45
URGENT_CALLS = 8
OTHER_CALLS = 4
CALL_S = 0.075
MAX_SENDINGS = 8


@define(eq=False)
class Rejecting:
    """Servers that reject 55 in 100 calls for some seconds, and their requests.

    Urgent requests make eight calls one after the other, 47 a second come, others make
    four, and 79 a second come. ``keeps`` is whether repeats are kept for requests that
    need fewer of them.
    """

    rng: random.Random
    keeps: bool
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

    def _push(self, at_s: float, priority: int, left: int) -> None:
        heapq.heappush(self._events, (at_s, next(self._numbers), priority, left))

    def run(self) -> None:
        for _ in range(7000):
            self.now_s += 10.0 / 7000
            self.budget.count_request("part")
        while self._events:
            self.now_s, _, priority, left = heapq.heappop(self._events)
            self.budget.count_request("part")
            if self._call(priority, left):
                if left == 1:
                    self.finished[priority] += 1
                else:
                    self._push(self.now_s + CALL_S, priority, left - 1)

    def _call(self, priority: int, left: int) -> bool:
        origin = Origin(
            priority if self.keeps else 0, remaining_runs=left if self.keeps else 1
        )
        for _ in range(MAX_SENDINGS):
            if self.rng.random() < ACCEPTED:
                return True
            if not self.budget.take("part", origin, True):
                return False
        return False


def play(seed: int, keeps: bool) -> dict[int, int]:
    world = Rejecting(random.Random(seed), keeps)
    world.add(47.0, 0, URGENT_CALLS, 8.0)
    world.add(79.0, 2, OTHER_CALLS, 8.0)
    world.run()
    return world.finished


@pytest.mark.parametrize("seed", range(5))
def test_repeats_finish_urgent_requests_while_servers_reject(seed):
    """Without repeats, 2 in 1,000 urgent requests would be finished: fewer than one."""
    finished = play(seed, keeps=True)
    assert finished[0] > 0.06 * 47 * 8
    assert 3 * finished[0] > finished[2]


def test_more_urgent_requests_are_finished_than_without_order():
    kept = sum(play(seed, True)[0] for seed in range(8))
    plain = sum(play(seed, False)[0] for seed in range(8))
    assert kept > 1.1 * plain


def test_little_is_kept_from_what_is_nearly_done_and_urgent():
    assert find_kept(1, 0) == 0.0
    assert find_kept(2, 0) < find_kept(9, 0) < 1.0
    assert find_kept(3, 0) < find_kept(3, 2)
    assert find_kept(10_000, 5) < 1.0


def test_repeats_are_in_vain_only_where_all_servers_fail():
    assert is_in_vain([0.5, 0.3])
    assert not is_in_vain([0.5, 0.01])
    assert not is_in_vain([])
