"""Returning clients in a shortage, those that repeat at once, and odd deadlines."""

from __future__ import annotations

import itertools
import random

import pytest

from eelgrassmount.entry import returning
from eelgrassmount.entry.returning import (
    MAX_APPOINTMENTS,
    MAX_REPEATS,
    RepeatTable,
    ReturnTracker,
)
from eelgrassmount.policy.returns import OBEYED_SHARE, ReturnLimits, draw_client
from eelgrassmount.policy.shedding import RequestClass
from eelgrassmount.policy.waiting import Visit
from tests.entry.entry_scenario import (
    PATH_S,
    ROUTE,
    EntryScenario,
    FakeBudget,
    find_times,
)

FULL_S = 5.0
REPEAT_DELAY_S = 0.05
CLASS = RequestClass(ROUTE.name, 1)
FIRST_LIMITS = ReturnLimits(ROUTE.objective_s, 0.0, PATH_S, FULL_S)


def make_tracker(scenario, stated=(FULL_S,) * 100, seed=1):
    tracker = ReturnTracker(
        scenario.budget,
        scenario.timers.read,
        scenario.timers.read,
        random.Random(seed),
        scenario.room.list_classes,
    )
    for remaining_s in stated:
        tracker.record_request(ROUTE, "", PATH_S, 0.0, remaining_s)
    return tracker


class Crowd:
    """Clients of several nodes: some return as told, ``eager`` ones repeat at once.

    A served client makes no further attempt. ``served`` counts them by eagerness.
    """

    def __init__(self, nodes, seed):
        self.rng = random.Random(seed)
        self.timers = EntryScenario().timers
        self.nodes = [self._make_node(seed + number) for number in range(nodes)]
        self.clients = {}
        self.served = {True: 0, False: 0}
        self.names = itertools.count()

    def _make_node(self, seed):
        scenario = EntryScenario(timers=self.timers)
        tracker = make_tracker(scenario, seed=seed)
        scenario.room.start = lambda pending: self._serve(tracker, pending)
        scenario.room.list_expected = tracker.list_expected
        scenario.room.refuse = lambda pending, _: self._refuse(tracker, pending)
        return scenario, tracker

    def attempt(self, eager, began_s):
        now_s = self.timers.read()
        scenario, tracker = self.rng.choice(self.nodes)
        remaining_s = began_s + FULL_S - now_s
        pending = scenario.make_pending(f"{next(self.names)}")
        pending.visit, pending.elapsed_s = tracker.record_request(
            ROUTE, f"/list/{int(1e6 * began_s) % 50}", PATH_S, now_s, remaining_s
        )
        self.clients[pending] = (eager, began_s)
        scenario.room.handle(pending, find_times(pending, pending.elapsed_s))

    def _serve(self, tracker, pending):
        if pending.visit is Visit.RETURNING:
            tracker.record_outcome(ROUTE.name, True)
        eager, began_s = self.clients[pending]
        in_time = self.timers.read() - began_s + PATH_S <= ROUTE.objective_s
        self.served[eager] += in_time

    def _refuse(self, tracker, pending):
        if pending.visit is Visit.RETURNING:
            tracker.record_outcome(ROUTE.name, False)
        now_s = self.timers.read()
        eager, began_s = self.clients[pending]
        elapsed_s = pending.elapsed_s + now_s - pending.call.arrived_s
        left_s = began_s + FULL_S - now_s
        limits = ReturnLimits(ROUTE.objective_s, elapsed_s, PATH_S, left_s)
        delay_s = tracker.choose_delay_s(CLASS, limits, pending.visit is Visit.EARLY)
        if eager:
            delay_s = REPEAT_DELAY_S
        is_first = pending.call.arrived_s == began_s
        if now_s + delay_s < began_s + ROUTE.objective_s and (eager or is_first):
            self.timers.schedule(delay_s, lambda: self.attempt(eager, began_s))

    def run(self, rate, duration_s, eager_share):
        """Let new clients arrive; return how many were eager, and how many not."""
        counts = {True: 0, False: 0}
        end_s = self.timers.read() + duration_s
        while self.timers.read() < end_s:
            eager = self.rng.random() < eager_share
            counts[eager] += 1
            self.attempt(eager, self.timers.read())
            self.timers.advance(self.rng.expovariate(rate))
        self.timers.advance(FULL_S)
        return counts


def sum_shares(nodes, rate, duration_s, eager_share, seeds=6):
    """Return the shares of eager and of other clients that were served in time."""
    served = {True: 0, False: 0}
    clients = {True: 0, False: 0}
    for seed in range(seeds):
        crowd = Crowd(nodes, seed)
        counts = crowd.run(nodes * rate, duration_s, eager_share)
        for eager in (True, False):
            served[eager] += crowd.served[eager]
            clients[eager] += counts[eager]
    return [served[eager] / max(1, clients[eager]) for eager in (True, False)]


@pytest.mark.parametrize(
    ("nodes", "rate"), [(1, 12.0), (1, 20.0), (4, 12.0), (4, 20.0), (12, 15.0)]
)
def test_clients_that_repeat_at_once_gain_nothing(nodes, rate):
    """Every tenth client repeats its request every 50 ms, each time at any node."""
    eager, patient = sum_shares(nodes, rate, 8.0, 0.1)
    assert eager <= patient


@pytest.mark.parametrize(
    ("nodes", "rate", "interval_s", "seeds"),
    [
        (14, 11.0, 0.1, 6),
        (14, 30.0, 0.05, 6),
        (40, 20.0, 0.02, 2),
        (50, 13.0, 0.05, 2),
        (106, 11.0, 0.005, 2),
    ],
)
def test_repeats_gain_nothing_in_larger_fleets(
    monkeypatch, nodes, rate, interval_s, seeds
):
    """Guards against a new chance for each repeat at a node that did not see others."""
    monkeypatch.setattr(f"{__name__}.REPEAT_DELAY_S", interval_s)
    eager, patient = sum_shares(nodes, rate, 8.0, 0.1, seeds)
    assert eager <= patient
    assert patient >= sum_shares(nodes, rate, 8.0, 0.0, seeds)[1]


def test_repeats_within_milliseconds_gain_nothing(monkeypatch):
    """Repeats within `MIN_ELAPSED_S` at other nodes are taken for first attempts."""
    monkeypatch.setattr(f"{__name__}.REPEAT_DELAY_S", 0.005)
    eager, patient = sum_shares(106, 40.0, 8.0, 0.1, seeds=1)
    assert eager <= patient


def test_a_node_recognizes_the_clients_that_it_refused():
    """Most clients choose deadlines of their own, so that no time is dominant."""
    tracker = make_tracker(EntryScenario(), [4.0 + 0.01 * one for one in range(100)])
    for first_s, visit in ((0.001, Visit.EARLY), (0.8, Visit.RETURNING)):
        target = f"/list/{first_s}"
        tracker.record_refusal(target, 4.5, 0.0)
        found, elapsed_s = tracker.record_request(
            ROUTE, target, PATH_S, first_s, 4.5 - first_s
        )
        assert (found, elapsed_s) == (visit, pytest.approx(first_s, abs=0.03))
        other = tracker.record_request(ROUTE, "/other", PATH_S, first_s, 4.5 - first_s)
        assert other == (Visit.NEW, 0.0)


def test_a_client_that_has_repeated_too_early_precedes_nobody():
    tracker = make_tracker(EntryScenario())
    visits = [
        tracker.record_request(ROUTE, "/list/1", PATH_S, now_s, FULL_S - now_s)[0]
        for now_s in (0.1, 0.8, 1.4)
    ]
    assert visits == [Visit.EARLY, Visit.UNFAVORED, Visit.LATE]


def test_appointments_serve_more_clients_of_a_surge_than_random_delays(monkeypatch):
    """Clients of 3 times the budget arrive for 2 s."""
    _, appointed = sum_shares(1, 30.0, 2.0, 0.0)
    monkeypatch.setattr(
        returning,
        "choose_return_delay_s",
        lambda limits, foreseen_s, draw: limits.objective_s * (0.25 + 0.35 * draw),
    )
    assert appointed > sum_shares(1, 30.0, 2.0, 0.0)[1]


@pytest.mark.parametrize(
    "stated",
    [
        # too few, freely chosen, two kinds of clients
        (FULL_S,) * 5,
        tuple(1.0 + 0.04 * number for number in range(100)),
        (FULL_S,) * 70 + (2.0,) * 30,
    ],
)
def test_other_deadlines_do_not_make_a_client_a_returning_one(stated):
    tracker = make_tracker(EntryScenario(), stated)
    assert tracker.record_request(ROUTE, "", PATH_S, 1.0, 2.0) == (Visit.NEW, 0.0)


def test_a_generous_deadline_does_not_hide_returning_clients():
    tracker = make_tracker(EntryScenario(), (FULL_S,) * 90 + (60.0,) * 10)
    visit, elapsed_s = tracker.record_request(ROUTE, "", PATH_S, 1.0, FULL_S - 0.7)
    assert (visit, round(elapsed_s, 6)) == (Visit.RETURNING, 0.7)


def test_new_deadlines_replace_the_earlier_ones():
    tracker = make_tracker(EntryScenario())
    for number in range(300):
        tracker.record_request(ROUTE, "", PATH_S, float(number), 4.0)
        if number % 5 == 0:
            tracker.step()
    assert tracker.record_request(ROUTE, "", PATH_S, 400.0, 4.0)[0] is Visit.NEW


def test_clocks_that_disagree_only_draw_a_client_anew():
    tracker = make_tracker(EntryScenario())
    tracker.wall_clock = lambda: -1e6
    assert (
        tracker.record_request(ROUTE, "", PATH_S, 1.0, FULL_S - 0.7)[0]
        is Visit.RETURNING
    )
    favored = sum(draw_client("", 0.1 * number) < 0.3 for number in range(1000))
    assert 250 < favored < 350


@pytest.mark.parametrize("rate", [0.0, 5.0, 50.0])
def test_appointments_are_in_time_spread_and_bounded(rate):
    scenario = EntryScenario(FakeBudget(rate=rate, tokens=0.0))
    tracker = make_tracker(scenario)
    delays_s = [tracker.choose_delay_s(CLASS, FIRST_LIMITS, False) for _ in range(200)]
    assert max(delays_s) + PATH_S <= ROUTE.objective_s
    assert max(delays_s) <= OBEYED_SHARE * FULL_S
    assert min(delays_s) >= FIRST_LIMITS.find_shortest_delay_s()
    assert len(set(delays_s)) == len(delays_s)
    assert tracker.count_appointments() == MAX_APPOINTMENTS
    scenario.timers.clock.now_s += ROUTE.objective_s
    assert tracker.count_appointments() == 0


def test_those_with_appointments_delay_further_ones():
    scenario = EntryScenario(FakeBudget(rate=20.0, tokens=0.0))
    tracker = make_tracker(scenario)
    delays_s = [tracker.choose_delay_s(CLASS, FIRST_LIMITS, False) for _ in range(16)]
    assert min(delays_s[12:]) > max(delays_s[:4])


def test_repeats_take_a_bounded_amount_of_memory():
    repeats = RepeatTable()
    for number in range(2 * MAX_REPEATS):
        repeats.add("/list/1", float(number))
    assert not repeats.has("/list/1", MAX_REPEATS - 1.0)
    assert repeats.has("/list/1", MAX_REPEATS + 0.001)
    repeats.expire(2.0 * MAX_REPEATS)
    assert not repeats.has("/list/1", MAX_REPEATS + 0.001)
