"""Attribution of the calls of a server to its runs."""

from __future__ import annotations

import math
import random

import pytest

from eelgrassmount.relay.call_attribution import (
    FAILURE_MATCH_WINDOW_S,
    MAX_COMPARED_RUNS,
    MAX_CONTINUATION_DELAY_S,
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
        self.attributor = CallAttributor(
            lambda: self.now_s,
            lambda route, called: called in CALLS.get(route, ()),
            lambda route: 2,
        )

    def start_run(self, job, route, remaining_s=1.0, origin=None):
        call = make_call(
            route,
            self.now_s,
            deadline_s=self.now_s + remaining_s,
            origin=origin or Origin(route.priority, remaining_runs=9),
        )
        self.attributor.start_run(job, call, remaining_s)

    def find_caller(self, connection="c1", remaining_s=0.7):
        deadline_s = self.now_s + remaining_s
        return self.attributor.find_caller(connection, PART.name, deadline_s, 0.7)


@pytest.fixture
def setup() -> Setup:
    return Setup()


def test_call_without_a_run_has_no_caller(setup):
    assert setup.find_caller() is None


def test_call_has_the_priority_of_its_only_run(setup):
    setup.start_run("j1", BROWSE)
    setup.now_s += 0.01
    assert setup.find_caller().make_origin() == Origin(
        2, downstream=True, remaining_runs=9
    )


def test_run_that_has_ended_makes_no_calls(setup):
    setup.start_run("j1", BROWSE)
    setup.attributor.finish_run("j1")
    assert setup.find_caller() is None


def test_run_of_a_route_that_makes_no_such_calls_is_not_considered(setup):
    setup.start_run("j1", make_route("shop/upload/"))
    assert setup.find_caller() is None


def test_deadline_distinguishes_runs(setup):
    setup.start_run("j1", BROWSE, 1.0)
    setup.start_run("j2", BOOK, 0.5)
    setup.now_s += 0.01
    assert setup.find_caller(remaining_s=0.99).make_origin().priority == 2
    assert setup.find_caller("c2", remaining_s=0.49).make_origin().priority == 0


def test_run_with_less_time_than_the_call_did_not_make_it(setup):
    setup.start_run("j1", BOOK, 0.5)
    setup.start_run("j2", BROWSE, 1.0)
    setup.now_s += 0.01
    assert setup.find_caller(remaining_s=0.7).make_origin().priority == 2


def test_next_call_on_a_connection_belongs_to_the_run_answered_there(setup):
    setup.start_run("j1", BOOK)
    setup.now_s += 0.01
    call = setup.find_caller("c1")
    setup.now_s += 0.05
    setup.start_run("j2", BROWSE)
    setup.now_s += 0.01
    setup.attributor.record_answer(call, succeeded=True)
    setup.now_s += MAX_CONTINUATION_DELAY_S / 2
    assert setup.find_caller("c1").make_origin() == Origin(
        0, downstream=True, remaining_runs=7
    )


def test_later_call_on_a_connection_is_not_taken_for_the_next_one(setup):
    setup.start_run("j1", BOOK)
    setup.now_s += 0.01
    call = setup.find_caller("c1")
    setup.attributor.record_answer(call, succeeded=True)
    setup.now_s += 0.05
    setup.start_run("j2", BROWSE)
    setup.now_s += 0.01
    assert setup.find_caller("c1").make_origin().priority == 2


def test_call_inherits_the_origin_of_its_run(setup):
    setup.start_run("j1", BROWSE, origin=Origin(0, True, True, 5))
    setup.now_s += 0.01
    assert setup.find_caller().make_origin() == Origin(0, True, True, 5)


def test_answers_are_discarded_once_no_call_can_follow(setup):
    setup.start_run("j1", BOOK)
    setup.attributor.record_answer(setup.find_caller(), succeeded=False)
    setup.now_s += 2 * MAX_CONTINUATION_DELAY_S
    setup.attributor.discard_old_answers()
    assert not setup.attributor._latest_answers


@pytest.mark.parametrize("seed", range(5))
def test_most_calls_of_a_busy_server_are_attributed_to_the_right_run(seed):
    """Calls must not get the priority of another run on a busy server.

    70 runs start per second and make four sequential calls each. The deadline of a
    call identifies only the half of the runs that have less time than the calls' route
    allows; 5 % of the calls use a new connection.
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
    calls, ends_s = {}, {}
    right = 0
    for at_s, what, number, index in sorted(events):
        setup.now_s = at_s
        if what == "begin":
            duration_s = rng.uniform(0.4, 1.0)
            setup.start_run(number, (BOOK, BROWSE)[number % 2], duration_s)
            ends_s[number] = at_s + duration_s
        elif what == "end":
            setup.attributor.finish_run(number)
        elif what == "answer":
            setup.attributor.record_answer(calls[number], succeeded=True)
        else:
            new_connection = rng.random() < 0.05
            remaining_s = min(0.7, ends_s[number] - at_s)
            found = setup.find_caller(
                (number, index) if new_connection else number, remaining_s
            )
            calls[number] = found
            right += found.make_origin().priority == (0, 2)[number % 2]
    assert right / 2800 > 0.75


def test_run_has_a_lost_call_while_open_and_after_failure(setup):
    setup.start_run("j1", BOOK)
    assert not setup.attributor.has_lost_call("j1")
    call = setup.find_caller()
    # The call is still open.
    assert setup.attributor.has_lost_call("j1")
    setup.attributor.record_answer(call, succeeded=True)
    assert not setup.attributor.has_lost_call("j1")
    setup.attributor.record_answer(setup.find_caller(), succeeded=False)
    assert setup.attributor.has_lost_call("j1")
    setup.attributor.finish_run("j1")
    assert not setup.attributor.has_lost_call("j1")


def start_many_runs(setup, retries=0):
    """Start more runs than are compared by age, with deadlines that no call has."""
    for number in range(MAX_COMPARED_RUNS + 1):
        origin = Origin(0, within_retry=number < retries, remaining_runs=9)
        setup.start_run(f"m{number}", BOOK, 0.9 + number / 1000, origin)
    setup.now_s += 0.01


def test_unattributed_call_has_the_highest_priority(setup):
    start_many_runs(setup)
    found = setup.find_caller()
    assert found.run is None
    assert found.make_origin() == Origin(0, downstream=True, remaining_runs=2)


def test_deadline_identifies_one_run_among_many(setup):
    start_many_runs(setup)
    setup.start_run("j1", BROWSE, 0.5)
    # A longer remaining time, which sets the known timeout of the route.
    setup.find_caller("c0", remaining_s=0.7)
    setup.now_s += 0.1
    assert setup.find_caller("c1", remaining_s=0.4).make_origin().priority == 2


# Guards against attributing a call to a run whose deadline happens to equal the one
# that the call has from the timeout of its route.
def test_deadline_from_the_route_timeout_identifies_no_run(setup):
    start_many_runs(setup)
    setup.start_run("j1", BROWSE, 0.6)
    for _ in range(3):
        assert setup.find_caller(remaining_s=0.6).run is None
    setup.now_s += 0.1
    assert setup.find_caller(remaining_s=0.5).make_origin().priority == 2


def test_unattributed_calls_are_retries_as_often_as_runs_are(setup):
    start_many_runs(setup, retries=(MAX_COMPARED_RUNS + 1) // 5)
    retries = sum(setup.find_caller(number).is_retry for number in range(1000))
    assert 150 <= retries <= 250
    for number in range(MAX_COMPARED_RUNS + 1):
        setup.attributor.finish_run(f"m{number}")
    assert setup.attributor._retry_count == 0
    assert not setup.attributor._by_deadline


def test_each_failed_unattributed_call_explains_one_failed_run(setup):
    start_many_runs(setup)
    calls = [setup.find_caller(number) for number in range(3)]
    assert setup.attributor.has_lost_call("m0")
    for number, call in enumerate(calls):
        setup.attributor.record_answer(call, succeeded=number > 0)
    assert not setup.attributor.has_lost_call("m0")
    assert setup.attributor.claim_lost_call("m1")
    assert not setup.attributor.claim_lost_call("m2")


def test_failed_unattributed_call_expires(setup):
    start_many_runs(setup)
    setup.attributor.record_answer(setup.find_caller(), succeeded=False)
    setup.now_s += FAILURE_MATCH_WINDOW_S + 0.1
    assert not setup.attributor.claim_lost_call("m1")


def test_failed_call_does_not_explain_a_run_whose_route_makes_no_calls(setup):
    start_many_runs(setup)
    setup.attributor.count_runs = lambda route: 1 if route == PART.name else 2
    setup.start_run("leaf", PART)
    setup.attributor.record_answer(setup.find_caller(), succeeded=False)
    assert not setup.attributor.claim_lost_call("leaf")
    assert setup.attributor.claim_lost_call("m1")


def test_one_call_with_a_long_deadline_does_not_hide_the_route_timeout(setup):
    start_many_runs(setup)
    setup.start_run("j1", BROWSE, 0.6)
    setup.find_caller(remaining_s=60.0)
    assert setup.find_caller(remaining_s=0.7).run is None
