"""Requests that wait at the entry during a surge, and the ends of their waits."""

from __future__ import annotations

import random

import pytest
from attrs import evolve

from eelgrassmount.entry.waiting_room import WaitOutcome
from eelgrassmount.policy.shedding import RequestClass
from eelgrassmount.policy.waiting import (
    EARLY_PLACE,
    MAX_ENTRY_WAIT_SHARE,
    MAX_WAITING_BYTES,
    MAX_WAITING_REQUESTS,
    RETURNING_PLACE,
)
from tests.entry.entry_scenario import ROUTE, EntryScenario, FakeBudget, find_times

OTHER_ROUTE = evolve(ROUTE, name="shop/other/")
LONGEST_WAIT_S = MAX_ENTRY_WAIT_SHARE * ROUTE.objective_s


@pytest.fixture
def scenario():
    return EntryScenario()


def _draw_surge(rate, duration_s, rng):
    """Return the arrival times and ranks of requests with random gaps."""
    at_s = 0.0
    while (at_s := at_s + rng.expovariate(rate)) < duration_s:
        yield at_s, rng.choice((0, 1, 1, 2))


@pytest.mark.parametrize("seed", range(20))
def test_fewer_requests_are_refused_in_a_surge(scenario, seed):
    surge = list(_draw_surge(15.0, 2.0, random.Random(seed)))
    alone = FakeBudget()
    lost = [
        rank
        for at_s, rank in surge
        if not alone.try_take(RequestClass(ROUTE.name, rank), 1000.0 + at_s)
    ]
    arrivals = {}
    for number, (at_s, rank) in enumerate(surge):
        scenario.timers.advance(1000.0 + at_s - scenario.timers.read())
        arrivals[f"{number} {rank}"] = scenario.timers.read()
        scenario.arrive(f"{number} {rank}", rank)
    scenario.timers.advance(1.0)
    refused = [int(name.split()[1]) for name in scenario.refused]
    assert len(refused) < len(lost)
    assert refused.count(0) <= lost.count(0)
    assert len(scenario.started) + len(refused) == len(surge)
    for name, arrived_s in arrivals.items():
        decided_s = scenario.started.get(name) or scenario.refused[name][0]
        assert decided_s <= arrived_s + LONGEST_WAIT_S + 1e-6


def test_no_timer_runs_while_no_request_waits(scenario):
    scenario.arrive("first")
    assert not scenario.timers._heap
    scenario.arrive("second")
    scenario.arrive("third")
    assert sum(timer.active for *_, timer in scenario.timers._heap) == 1
    scenario.timers.advance(1.0)
    assert not any(timer.active for *_, timer in scenario.timers._heap)


def test_a_request_without_tokens_in_sight_is_refused_at_once(scenario):
    scenario.budget.rate = 2.0
    for name in ("first", "second"):
        scenario.arrive(name)
    assert scenario.refused == {"second": (1000.0, "overload")}


def test_order_is_rank_then_returning_then_least_time_left(scenario):
    scenario.budget.tokens = 0.0
    scenario.budget.rate = 40.0
    scenario.arrive("early", place=EARLY_PLACE)
    scenario.arrive("new")
    scenario.arrive("new, begun before", elapsed_s=0.5)
    scenario.arrive("returning", place=RETURNING_PLACE, elapsed_s=0.3)
    scenario.arrive("urgent", rank=0)
    scenario.timers.advance(0.5)
    assert list(scenario.started) == [
        *("urgent", "returning", "new, begun before", "new", "early")
    ]


def test_a_newcomer_does_not_overtake_waiting_requests(scenario):
    scenario.budget.tokens = 0.5
    scenario.arrive("first")
    scenario.timers.clock.now_s += 0.06
    scenario.arrive("second")
    scenario.timers.advance(0.5)
    assert list(scenario.started) == ["first", "second"]


def test_a_request_that_more_urgent_ones_push_back_is_refused_at_once(scenario):
    scenario.budget.tokens = 0.0
    scenario.budget.rate = 14.0
    scenario.arrive("usual")
    for name in ("urgent 1", "urgent 2"):
        scenario.arrive(name, rank=0)
    assert scenario.refused == {"usual": (1000.0, "overload")}


def test_a_request_that_was_refused_before_waits_only_while_it_is_in_time(scenario):
    scenario.budget.tokens = 0.0
    scenario.arrive("in time", elapsed_s=0.95)
    assert len(scenario.room) == 1
    scenario.arrive("too late", elapsed_s=1.05)
    assert list(scenario.refused) == ["too late"]


def test_a_full_room_refuses_the_least_urgent(scenario):
    scenario.budget.tokens = 0.0
    scenario.budget.rate = 1000.0
    for number in range(MAX_WAITING_REQUESTS):
        scenario.arrive(f"{number}", rank=2)
    scenario.arrive("urgent", rank=0)
    scenario.arrive("last", rank=3)
    assert list(scenario.refused) == [f"{MAX_WAITING_REQUESTS - 1}", "last"]
    assert scenario.room.outcomes[WaitOutcome.DISPLACED] == 2


def test_a_room_full_of_bytes_refuses_the_least_urgent(scenario):
    scenario.budget.tokens = 0.0
    scenario.budget.rate = 1000.0
    part = b"." * (MAX_WAITING_BYTES // 3)
    for number in range(3):
        scenario.arrive(f"{number}", rank=2, body=part)
    scenario.arrive("urgent", rank=0, body=2 * part)
    assert list(scenario.refused) == ["1", "2"]
    scenario.arrive("too large", rank=0, body=4 * part)
    assert scenario.room.waiting_bytes == 3 * len(part)
    assert "too large" in scenario.refused


def test_a_client_that_leaves_takes_no_tokens(scenario):
    scenario.budget.tokens = 0.0
    scenario.budget.rate = 20.0
    pending = scenario.arrive("gone")
    scenario.arrive("next")
    pending.exchange.on_abandon()
    assert pending.exchange.on_abandon is None
    scenario.timers.advance(0.055)
    assert list(scenario.started) == ["next"]
    assert scenario.left == ["gone"]


def test_a_stop_starts_or_refuses_all_at_once(scenario):
    scenario.budget.tokens = 0.0
    scenario.budget.rate = 20.0
    for name in ("first", "second"):
        scenario.arrive(name)
    scenario.budget.tokens = 1.0
    scenario.stopping = True
    scenario.room.check()
    assert list(scenario.started) == ["first"]
    assert scenario.refused == {"second": (1000.0, "draining")}
    scenario.arrive("third")
    assert scenario.refused["third"] == (1000.0, "overload")


def test_the_end_of_a_shortage_starts_all_in_order(scenario):
    scenario.budget.tokens = 0.0
    scenario.budget.rate = 20.0
    for name, rank in (("usual", 1), ("least", 2), ("urgent", 0)):
        scenario.arrive(name, rank)
    scenario.budget.unlimited.add(ROUTE.name)
    scenario.timers.advance(0.05)
    assert list(scenario.started) == ["urgent", "usual", "least"]


def test_a_budget_without_tokens_in_sight_refuses_all(scenario):
    scenario.budget.tokens = 0.0
    scenario.arrive("first")
    scenario.budget.rate = 0.0
    scenario.room.reconsider()
    assert scenario.refused == {"first": (1000.0, "overload")}


def test_a_configuration_without_a_route_refuses_its_requests(scenario):
    scenario.budget.tokens = 0.0
    scenario.budget.rate = 20.0
    scenario.arrive("removed", route=OTHER_ROUTE)
    scenario.arrive("kept")
    shorter = evolve(ROUTE, objective_s=0.42)

    def adapt(pending, route):
        pending.call.route = route
        return find_times(pending)

    scenario.room.apply_routes({ROUTE.name: ROUTE}, adapt)
    assert scenario.refused == {"removed": (1000.0, "no-route")}
    scenario.room.apply_routes({ROUTE.name: shorter}, adapt)
    assert scenario.refused["kept"] == (1000.0, "overload")


def test_requests_that_expired_during_a_pause_are_refused(scenario):
    scenario.budget.tokens = 0.0
    scenario.arrive("first")
    scenario.timers.clock.now_s += 5.0
    scenario.timers.run_due()
    assert scenario.refused == {"first": (1005.0, "overload")}
    assert len(scenario.room) == 0


def test_a_request_of_another_service_is_not_held_back(scenario):
    scenario.budget.tokens = 0.0
    scenario.arrive("scarce")
    scenario.budget.unlimited.add(OTHER_ROUTE.name)
    scenario.arrive("free", route=OTHER_ROUTE)
    assert list(scenario.started) == ["free"]
