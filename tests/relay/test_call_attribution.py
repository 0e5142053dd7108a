"""Which run of a server makes a call."""

from __future__ import annotations

import math
import random

import pytest

from eelgrassmount.relay.call_attribution import (
    CONTINUES_S,
    LOSS_S,
    MAX_COMPARED,
    CallAttributor,
)
from eelgrassmount.relay.messages import Origin
from tests.relay.samples import make_call, make_route

BOOK = make_route("shop/book/", priority=0)
BROWSE = make_route("shop/browse/", priority=2)
PART = make_route("shop/part/")
CALLS = {BOOK.name: {PART.name}, BROWSE.name: {PART.name}}


class Setup:
    def __init__(self):
        self.now_s = 100.0
        self.lineage = CallAttributor(
            lambda: self.now_s,
            lambda route, called: called in CALLS.get(route, ()),
            lambda route: 2,
        )

    def start_run(self, job, route, remaining_s=1.0, origin=None):
        call = make_call(
            route,
            self.now_s,
            deadline_s=self.now_s + remaining_s,
            origin=origin or Origin(route.priority, left=9),
        )
        self.lineage.start_run(job, call, remaining_s)

    def find(self, connection="c1", remaining_s=0.7):
        deadline_s = self.now_s + remaining_s
        return self.lineage.find_caller(connection, PART.name, deadline_s, 0.7)


@pytest.fixture
def setup() -> Setup:
    return Setup()


def test_call_without_a_run_has_no_caller(setup):
    assert setup.find() is None


def test_call_has_the_priority_of_its_only_run(setup):
    setup.start_run("j1", BROWSE)
    setup.now_s += 0.01
    assert setup.find().make_origin() == Origin(2, inner=True, left=9)


def test_run_that_has_ended_makes_no_calls(setup):
    setup.start_run("j1", BROWSE)
    setup.lineage.finish_run("j1")
    assert setup.find() is None


def test_run_of_a_route_that_makes_no_such_calls_is_left_out(setup):
    setup.start_run("j1", make_route("shop/upload/"))
    assert setup.find() is None


def test_deadline_tells_runs_apart(setup):
    setup.start_run("j1", BROWSE, 1.0)
    setup.start_run("j2", BOOK, 0.5)
    setup.now_s += 0.01
    assert setup.find(remaining_s=0.99).make_origin().priority == 2
    assert setup.find("c2", remaining_s=0.49).make_origin().priority == 0


def test_run_with_less_time_than_the_call_did_not_make_it(setup):
    setup.start_run("j1", BOOK, 0.5)
    setup.start_run("j2", BROWSE, 1.0)
    setup.now_s += 0.01
    assert setup.find(remaining_s=0.7).make_origin().priority == 2


def test_next_call_over_a_connection_goes_on_with_the_run_answered_there(setup):
    setup.start_run("j1", BOOK)
    setup.now_s += 0.01
    made = setup.find("c1")
    setup.now_s += 0.05
    setup.start_run("j2", BROWSE)
    setup.now_s += 0.01
    setup.lineage.record_answer(made, well=True)
    setup.now_s += CONTINUES_S / 2
    assert setup.find("c1").make_origin() == Origin(0, inner=True, left=7)


def test_later_call_over_a_connection_is_not_taken_for_the_next_one(setup):
    setup.start_run("j1", BOOK)
    setup.now_s += 0.01
    made = setup.find("c1")
    setup.lineage.record_answer(made, well=True)
    setup.now_s += 0.05
    setup.start_run("j2", BROWSE)
    setup.now_s += 0.01
    assert setup.find("c1").make_origin().priority == 2


def test_what_a_run_is_told_of_its_request_goes_on(setup):
    setup.start_run("j1", BROWSE, origin=Origin(0, True, True, 5))
    setup.now_s += 0.01
    assert setup.find().make_origin() == Origin(0, True, True, 5)


def test_answers_are_forgotten_once_nothing_can_follow(setup):
    setup.start_run("j1", BOOK)
    setup.lineage.record_answer(setup.find(), well=False)
    setup.now_s += 2 * CONTINUES_S
    setup.lineage.forget_answers()
    assert not setup.lineage._answered


@pytest.mark.parametrize("seed", range(5))
def test_most_calls_of_a_busy_server_find_their_run(seed):
    """70 runs start in a second, each making four calls one after the other.

    The first comes 4 to 21 ms after the start, each takes 50 ms, and one connection in
    twenty is not used again. Half of the runs have less time than their calls get, so
    that the deadline tells them; of the others only the time tells which call is whose.
    """
    setup = Setup()
    rng = random.Random(seed)
    events = []
    for number in range(700):
        start_s = 100.0 + number / 70 + rng.uniform(0, 0.01)
        events.append((start_s, "begin", number, 0))
        at_s = start_s + 0.0093 * math.exp(rng.gauss(0.0, 0.47))
        for index in range(4):
            end_s = at_s + rng.uniform(0.03, 0.07)
            events.append((at_s, "call", number, index))
            events.append((end_s, "answer", number, index))
            at_s = end_s + 0.0001
        events.append((at_s, "end", number, 0))
    made, ends_s = {}, {}
    right = 0
    for at_s, what, number, index in sorted(events):
        setup.now_s = at_s
        if what == "begin":
            lasts_s = rng.uniform(0.4, 1.0)
            setup.start_run(number, (BOOK, BROWSE)[number % 2], lasts_s)
            ends_s[number] = at_s + lasts_s
        elif what == "end":
            setup.lineage.finish_run(number)
        elif what == "answer":
            setup.lineage.record_answer(made[number], well=True)
        else:
            moved = rng.random() < 0.05
            remaining_s = min(0.7, ends_s[number] - at_s)
            found = setup.find((number, index) if moved else number, remaining_s)
            made[number] = found
            right += found.make_origin().priority == (0, 2)[number % 2]
    assert right / 2800 > 0.75


def test_run_is_lost_with_a_call_of_its_own(setup):
    setup.start_run("j1", BOOK)
    assert not setup.lineage.has_lost_call("j1")
    made = setup.find()
    # while it waits for its answer
    assert setup.lineage.has_lost_call("j1")
    setup.lineage.record_answer(made, well=True)
    assert not setup.lineage.has_lost_call("j1")
    setup.lineage.record_answer(setup.find(), well=False)
    assert setup.lineage.has_lost_call("j1")
    setup.lineage.finish_run("j1")
    assert not setup.lineage.has_lost_call("j1")


def begin_many(setup, repeated=0):
    """Let more runs begin than are compared, with other deadlines than calls have."""
    for number in range(MAX_COMPARED + 1):
        origin = Origin(0, repeated=number < repeated, left=9)
        setup.start_run(f"m{number}", BOOK, 0.9 + number / 1000, origin)
    setup.now_s += 0.01


def test_call_that_many_runs_may_have_made_is_refused_last(setup):
    begin_many(setup)
    found = setup.find()
    assert found.run is None
    assert found.make_origin() == Origin(0, inner=True, left=2)


def test_deadline_tells_one_run_among_many(setup):
    begin_many(setup)
    setup.start_run("j1", BROWSE, 0.5)
    # so that calls of the route are known to get more time
    setup.find("c0", remaining_s=0.7)
    setup.now_s += 0.1
    assert setup.find("c1", remaining_s=0.4).make_origin().priority == 2


# Of 60 runs in flight, those whose deadline happened to be that which a call has from
# its own route were taken for its caller: 15 in 100 calls found their run.
def test_deadline_that_a_call_has_from_its_route_tells_nothing(setup):
    begin_many(setup)
    setup.start_run("j1", BROWSE, 0.6)
    for _ in range(3):
        assert setup.find(remaining_s=0.6).run is None
    setup.now_s += 0.1
    assert setup.find(remaining_s=0.5).make_origin().priority == 2


def test_unknown_calls_are_repeats_as_often_as_runs_are(setup):
    begin_many(setup, repeated=(MAX_COMPARED + 1) // 5)
    repeats = sum(setup.find(number).repeated for number in range(1000))
    assert 150 <= repeats <= 250
    for number in range(MAX_COMPARED + 1):
        setup.lineage.finish_run(f"m{number}")
    assert setup.lineage._repeated == 0
    assert not setup.lineage._by_deadline


def test_each_failed_call_of_an_unknown_run_excuses_one_failed_run(setup):
    begin_many(setup)
    calls = [setup.find(number) for number in range(3)]
    assert setup.lineage.has_lost_call("m0")
    for number, made in enumerate(calls):
        setup.lineage.record_answer(made, well=number > 0)
    assert not setup.lineage.has_lost_call("m0")
    assert setup.lineage.claim_loss("m1")
    assert not setup.lineage.claim_loss("m2")


def test_failed_call_of_an_unknown_run_is_forgotten(setup):
    begin_many(setup)
    setup.lineage.record_answer(setup.find(), well=False)
    setup.now_s += LOSS_S + 0.1
    assert not setup.lineage.claim_loss("m1")


def test_run_that_makes_no_calls_is_not_excused_by_those_of_others(setup):
    begin_many(setup)
    setup.lineage.count_runs = lambda route: 1 if route == PART.name else 2
    setup.start_run("leaf", PART)
    setup.lineage.record_answer(setup.find(), well=False)
    assert not setup.lineage.claim_loss("leaf")
    assert setup.lineage.claim_loss("m1")


def test_one_call_with_much_time_does_not_hide_what_the_others_have(setup):
    begin_many(setup)
    setup.start_run("j1", BROWSE, 0.6)
    setup.find(remaining_s=60.0)
    assert setup.find(remaining_s=0.7).run is None
