"""Requests that wait at the entry during a surge, and the ends of their waits."""

from __future__ import annotations

import random

import pytest
from attrs import evolve

from eelgrassmount.policy.shedding import RequestClass
from eelgrassmount.policy.waiting import (
    MAX_ENTRY_WAIT_SHARE,
    MAX_WAITING_BYTES,
    MAX_WAITING_REQUESTS,
    Visit,
)
from tests.entry.entry_scenario import (
    PATH_S,
    ROUTE,
    EntryScenario,
    FakeBudget,
    find_times,
)

OTHER_ROUTE = evolve(ROUTE, name="shop/other/")
LONGEST_WAIT_S = MAX_ENTRY_WAIT_SHARE * ROUTE.objective_s


@pytest.fixture
def scenario():
    return EntryScenario(FakeBudget(rate=20.0, tokens=0.0))


@pytest.mark.parametrize("seed", range(20))
def test_fewer_requests_are_refused_in_a_surge(seed):
    """Requests of 1.5 times the budget arrive with random gaps for 2 s."""
    rng = random.Random(seed)
    scenario, alone = EntryScenario(), FakeBudget()
    ranks, arrivals, lost = {}, {}, []
    while scenario.timers.read() < 1002.0:
        scenario.timers.advance(rng.expovariate(15.0))
        now_s, name, rank = scenario.timers.read(), len(ranks), rng.choice((0, 1, 1, 2))
        ranks[name], arrivals[name] = rank, now_s
        if not alone.try_take(RequestClass(ROUTE.name, rank), now_s):
            lost.append(rank)
        scenario.arrive(name, rank)
    scenario.timers.advance(1.0)
    refused = [ranks[name] for name in scenario.refused]
    assert len(refused) < len(lost)
    assert refused.count(0) <= lost.count(0)
    assert len(scenario.started) + len(refused) == len(ranks)
    decided = {name: one[0] for name, one in scenario.refused.items()}
    for name, decided_s in {**scenario.started, **decided}.items():
        assert decided_s <= arrivals[name] + LONGEST_WAIT_S + 1e-6


def test_one_timer_runs_and_none_while_no_request_waits(scenario):
    def count_timers():
        return sum(timer.active for *_, timer in scenario.timers._heap)

    assert count_timers() == 0
    for name in ("first", "second", "third"):
        scenario.arrive(name)
    assert count_timers() == 1
    scenario.timers.advance(1.0)
    assert (list(scenario.started), count_timers()) == (["first", "second", "third"], 0)


def test_requests_that_can_not_be_in_time_are_refused_at_once(scenario):
    scenario.arrive("tokens come in 50 ms")
    scenario.arrive("20 ms left", elapsed_s=1.08)
    scenario.budget.rate = 2.0
    scenario.arrive("tokens come in 1 s")
    assert list(scenario.refused) == ["20 ms left", "tokens come in 1 s"]
    scenario.arrive("urgent", rank=0, elapsed_s=0.0)
    scenario.room.reconsider()
    assert list(scenario.refused)[2:] == ["urgent", "tokens come in 50 ms"]


def test_order_is_rank_then_returning_then_least_time_left(scenario):
    scenario.budget.rate = 40.0
    scenario.arrive("early", visit=Visit.EARLY)
    scenario.arrive("new")
    scenario.arrive("new, begun before", elapsed_s=1.0)
    scenario.arrive("returning", visit=Visit.RETURNING, elapsed_s=0.95)
    scenario.arrive("urgent", rank=0)
    scenario.budget.unlimited.add(OTHER_ROUTE.name)
    scenario.arrive("of another service", rank=2, route=OTHER_ROUTE)
    scenario.timers.advance(0.5)
    assert list(scenario.started) == [
        *("of another service", "urgent", "returning", "new, begun before", "new")
    ]
    assert list(scenario.refused) == ["early"]


def test_a_returning_request_does_not_start_earlier_for_an_earlier_arrival(scenario):
    """Otherwise a client that repeats its request would precede those that obey."""
    scenario.budget.tokens = 1.0
    begins_s = ROUTE.objective_s - PATH_S - LONGEST_WAIT_S
    for elapsed_s in (0.7, 0.8, 0.9):
        scenario.arrive(elapsed_s, visit=Visit.RETURNING, elapsed_s=elapsed_s)
    scenario.timers.advance(0.5)
    for elapsed_s, started_s in scenario.started.items():
        assert started_s == pytest.approx(1000.0 + begins_s - elapsed_s, abs=0.01)
    assert len(scenario.started) == 3


def test_a_returning_request_keeps_its_place_until_it_is_too_late(scenario):
    """Otherwise a client that repeats its request would get a place at each node."""
    scenario.budget.rate = 0.1
    for visit in (Visit.RETURNING, Visit.UNFAVORED):
        scenario.arrive(visit, visit=visit, elapsed_s=0.95)
    scenario.arrive("new")
    assert list(scenario.refused) == ["new"]
    scenario.timers.advance(1.0)
    latest_start_s = 1000.0 + ROUTE.objective_s - PATH_S - 0.95
    for visit in (Visit.RETURNING, Visit.UNFAVORED):
        assert scenario.refused[visit][0] == pytest.approx(latest_start_s, abs=0.01)


@pytest.mark.parametrize("visit", [Visit.EARLY, Visit.LATE])
def test_untimely_requests_get_no_tokens_in_a_shortage(scenario, visit):
    scenario.budget.tokens = 1.0
    scenario.arrive("in a shortage", visit=visit)
    scenario.budget.unlimited.add(ROUTE.name)
    scenario.arrive("after it", visit=visit)
    assert list(scenario.refused) == ["in a shortage"]
    assert list(scenario.started) == ["after it"]


def test_a_full_room_refuses_the_least_urgent(scenario):
    scenario.budget.rate = 1000.0
    for number in range(MAX_WAITING_REQUESTS):
        scenario.arrive(number, rank=2)
    scenario.arrive("urgent", rank=0)
    scenario.arrive("last", rank=3)
    assert list(scenario.refused) == [MAX_WAITING_REQUESTS - 1, "last"]


def test_a_room_full_of_bytes_refuses_the_least_urgent(scenario):
    scenario.budget.rate = 1000.0
    part = b"." * (MAX_WAITING_BYTES // 3)
    for number in range(3):
        scenario.arrive(number, rank=2, body=part)
    scenario.arrive("urgent", rank=0, body=2 * part)
    scenario.arrive("too large", rank=0, body=4 * part)
    assert list(scenario.refused) == [1, 2, "too large"]
    assert scenario.room.waiting_bytes == 3 * len(part)


def test_a_client_that_leaves_takes_no_tokens(scenario):
    scenario.arrive("gone").exchange.on_abandon()
    scenario.arrive("next")
    scenario.timers.advance(0.055)
    assert (list(scenario.started), scenario.left) == (["next"], ["gone"])


def test_a_stop_starts_or_refuses_all_at_once(scenario):
    for name in ("first", "second"):
        scenario.arrive(name)
    scenario.budget.tokens = 1.0
    scenario.stopping = True
    scenario.room.check()
    scenario.arrive("third")
    assert list(scenario.started) == ["first"]
    assert scenario.refused == {
        "second": (1000.0, "draining"),
        "third": (1000.0, "overload"),
    }


def test_the_end_of_a_shortage_starts_all_in_order(scenario):
    for name, rank in (("usual", 1), ("least", 2), ("urgent", 0)):
        scenario.arrive(name, rank)
    scenario.budget.unlimited.add(ROUTE.name)
    scenario.timers.advance(0.05)
    assert list(scenario.started) == ["urgent", "usual", "least"]


def test_a_budget_that_earns_no_more_tokens_refuses_all(scenario):
    scenario.arrive("first")
    scenario.budget.rate = 0.0
    scenario.room.reconsider()
    assert scenario.refused == {"first": (1000.0, "overload")}


def test_a_changed_configuration_ends_the_waits_that_it_makes_futile(scenario):
    def adapt(pending, route):
        pending.call.route = route
        return find_times(pending)

    scenario.arrive("removed", route=OTHER_ROUTE)
    scenario.arrive("shortened")
    scenario.room.apply_routes({ROUTE.name: evolve(ROUTE, objective_s=0.42)}, adapt)
    assert scenario.refused == {
        "removed": (1000.0, "no-route"),
        "shortened": (1000.0, "overload"),
    }


def test_requests_that_expired_during_a_pause_are_refused(scenario):
    scenario.arrive("first")
    scenario.timers.clock.now_s += 5.0
    scenario.timers.run_due()
    assert scenario.refused == {"first": (1005.0, "overload")}
