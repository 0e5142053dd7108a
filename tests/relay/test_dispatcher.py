"""The dispatcher with a fake connection pool."""

from __future__ import annotations

import gc
import random
import weakref
from unittest import mock

import pytest

from eelgrassmount.http1.client import ClientAnswer, ExchangeFailure
from eelgrassmount.platform.headers import HEADER_CODEC
from eelgrassmount.relay.broken_connections import CRASH_WINDOW_S
from eelgrassmount.relay.budget import RetryBudget
from eelgrassmount.relay.dispatcher import MAX_LAST_WAIT_S, Dispatcher
from eelgrassmount.relay.heartbeats import Heartbeat, ServerIncarnation
from eelgrassmount.relay.job import Job
from eelgrassmount.relay.measures import (
    DEFAULT_RUN_S,
    DEMAND_SMOOTHING,
    MAX_MEAN_WAIT_S,
    RouteStats,
)
from eelgrassmount.relay.messages import Origin, Outcome, Reply
from eelgrassmount.relay.server import LocalServer
from eelgrassmount.relay.server_identity import Evidence
from eelgrassmount.retry.quarantine import Quarantine
from eelgrassmount.util.addresses import Address
from eelgrassmount.verdict import Reason
from tests.relay.samples import make_call, make_route

STARTED_MS = 1_700_000_000_000
I1_RESTARTED = ServerIncarnation("i1", STARTED_MS + 1)
I1 = ServerIncarnation("i1", STARTED_MS)
SIGNED = [(b"eelgrassmount-response-signature", b"s")]


class FakeExchange:
    def __init__(self, pool, done):
        self.pool = pool
        self.done = done

    def cancel(self):
        self.end(ExchangeFailure.CANCELLED)

    def is_written(self):
        return self not in self.pool.connecting

    def end(self, outcome):
        self.pool.open.remove(self)
        self.done(outcome)


class FakePool:
    def __init__(self):
        self.open: list[FakeExchange] = []
        self.sent: list[bytes] = []
        self.fresh_only: list[bool] = []
        self.connecting: set[FakeExchange] = set()
        self.resets: list[int] = []

    def send(self, address, data, fresh_only, request_id, done, head_only=False):
        exchange = FakeExchange(self, done)
        self.open.append(exchange)
        self.sent.append(data)
        self.fresh_only.append(fresh_only)
        return exchange

    def reset(self):
        self.resets.append(len(self.sent))


class Setup:
    def __init__(self, slots: int = 2, slack: float = 0.0):
        self.now_s = 100.0
        self.server = LocalServer("list", Address("127.0.0.1", 80))
        self.server.apply_heartbeat(Heartbeat(I1, service="list", slots=slots))
        self.pool = FakePool()
        self.crashes: list[tuple[ServerIncarnation, list[Job]]] = []
        self.dispatcher = Dispatcher(
            self.server,
            self.pool,
            HEADER_CODEC,
            Quarantine(),
            lambda: self.now_s,
            RetryBudget(lambda: self.now_s, 0.0, 10.0, slack, lambda: 1),
            on_crash=lambda ended, jobs: self.crashes.append((ended, jobs)),
        )
        self.replies: list[Reply] = []

    def submit(self, call=None, **changes) -> Job:
        call = call or make_call(now_s=self.now_s, **changes)
        job = Job(call, self.replies.append)
        self.dispatcher.submit(job)
        return job

    def restart(self, age_s: float = 0.0):
        """Simulate a restart of the server ``age_s`` seconds ago."""
        self.server.apply_heartbeat(
            Heartbeat(I1_RESTARTED, service="list", slots=self.server.slots, sequence=1)
        )
        self.dispatcher.handle_restart(I1, self.now_s - age_s)

    def answer(self, status=200, headers=SIGNED, index=0):
        self.pool.open[index].end(ClientAnswer(status, headers, b"body"))


@pytest.fixture
def setup() -> Setup:
    return Setup()


def test_answer_is_returned_unchanged(setup):
    setup.submit()
    setup.answer()
    (reply,) = setup.replies
    assert (reply.outcome, reply.status, reply.body) == (Outcome.ANSWERED, 200, b"body")
    assert reply.head == b"eelgrassmount-response-signature: s\r\n"


def test_request_names_incarnation_caller_and_remaining_time(setup):
    setup.submit()
    sent = setup.pool.sent[0]
    assert b"eelgrassmount-expect-instance: i1\r\n" in sent
    assert b"eelgrassmount-caller-service: front\r\n" in sent
    assert b"eelgrassmount-deadline-ms: 2000\r\n" in sent


def test_queueing_time_is_subtracted_from_the_deadline():
    setup = Setup(slots=1)
    setup.submit()
    setup.submit(origin=Origin(1, downstream=True))
    setup.now_s += 0.5
    setup.answer()
    assert b"eelgrassmount-deadline-ms: 1500\r\n" in setup.pool.sent[1]


def test_no_more_runs_than_slots_and_the_soonest_due_go_first():
    setup = Setup(slots=1)
    setup.dispatcher.measures.mean_run_s = 0.001
    setup.submit(request_id="first")
    for name, objective_s in (("late", 1.0), ("soon", 0.1), ("next", 0.3)):
        route = make_route(objective_s=objective_s)
        setup.submit(make_call(route, setup.now_s, target=f"/{name}"))
    for _ in range(4):
        assert len(setup.pool.open) == 1
        setup.answer()
    order = [data.split()[1] for data in setup.pool.sent]
    assert order == [b"/list/1", b"/soon", b"/next", b"/late"]
    assert setup.dispatcher.queued == 0
    assert setup.dispatcher.in_flight == 0


def test_call_of_a_nearly_complete_request_runs_first():
    """Calls of one route whose requests have different numbers of remaining runs."""
    setup = Setup(slots=1)
    setup.dispatcher.measures.mean_run_s = 0.001
    setup.submit()
    for name, origin in (
        ("direct", Origin(2)),
        ("begins", Origin(2, downstream=True, remaining_runs=11)),
        ("urgent", Origin(0, downstream=True, remaining_runs=11)),
        ("ends", Origin(2, downstream=True, remaining_runs=1)),
    ):
        setup.submit(make_call(now_s=setup.now_s, target=f"/{name}", origin=origin))
    for _ in range(5):
        setup.answer()
    order = [data.split()[1] for data in setup.pool.sent[1:]]
    assert order == [b"/ends", b"/urgent", b"/direct", b"/begins"]


def test_call_is_counted_as_demand_by_the_first_dispatcher_only():
    setup = Setup(slots=2)
    setup.submit(counted_as_demand=True)
    assert setup.dispatcher.measures.arrivals == 0
    setup.submit()
    assert setup.dispatcher.measures.arrivals == 1


def test_call_of_a_long_chain_runs_before_one_with_a_tighter_objective():
    setup = Setup(slots=1)
    setup.dispatcher.measures.mean_run_s = 0.001
    allowances = {"shop/part/": 0.05}
    setup.dispatcher.find_time_allowance = lambda route: allowances.get(
        route.name, route.objective_s
    )
    setup.submit()
    for name, objective_s in (("status", 0.15), ("part", 0.3)):
        route = make_route(f"shop/{name}/", objective_s=objective_s)
        setup.submit(make_call(route, setup.now_s, target=f"/{name}/1"))
    setup.answer()
    assert setup.pool.sent[1].split()[1] == b"/part/1"


def test_call_that_would_wait_too_long_is_refused_at_once():
    setup = Setup(slots=1)
    setup.dispatcher.measures.mean_run_s = 1.0
    setup.submit()
    setup.submit()
    assert setup.replies[0].outcome is Outcome.NOT_RUN
    assert setup.replies[0].reason is Reason.OVERLOAD


def test_draining_server_gets_no_new_calls_but_runs_queued_ones():
    setup = Setup(slots=1)
    setup.submit()
    setup.submit()
    setup.server.apply_heartbeat(
        Heartbeat(I1, service="list", slots=1, sequence=2, draining=True)
    )
    setup.submit()
    assert setup.replies[0].reason is Reason.DRAINING
    setup.answer()
    assert len(setup.pool.open) == 1


def test_other_service_is_refused(setup):
    setup.submit(service="elsewhere")
    assert setup.replies[0].outcome is Outcome.NOT_RUN
    assert setup.pool.sent == []


@pytest.mark.parametrize(
    ("outcome", "expected"),
    [
        (ExchangeFailure.REFUSED, Outcome.NOT_RUN),
        (ExchangeFailure.CLOSED, Outcome.MAY_HAVE_RUN),
        (ExchangeFailure.TRUNCATED, Outcome.MAY_HAVE_RUN),
        (ExchangeFailure.MALFORMED, Outcome.MAY_HAVE_RUN),
        (ClientAnswer(200, [], b"x"), Outcome.MAY_HAVE_RUN),
        (ClientAnswer(421, [], b""), Outcome.NOT_RUN),
        (
            ClientAnswer(503, [(b"eelgrassmount-not-executed", b"1")], b""),
            Outcome.NOT_RUN,
        ),
        (ClientAnswer(503, [], b""), Outcome.ANSWERED),
        (ClientAnswer(500, SIGNED, b""), Outcome.ANSWERED),
    ],
)
def test_not_run_is_reported_only_if_certain(setup, outcome, expected):
    setup.submit()
    setup.pool.open[0].end(outcome)
    assert setup.replies[0].outcome is expected


# Guards against calls that run at a server of another service, which has answered 421.
def test_wrong_incarnation_is_replaced_by_the_one_that_answered(setup):
    setup.submit()
    setup.answer(421, [(b"eelgrassmount-instance-id", b"i2")])
    setup.submit()
    assert setup.replies[-1].outcome is Outcome.NOT_RUN
    assert setup.replies[-1].reason is Reason.SERVER_STARTING
    assert len(setup.pool.sent) == 1
    started = Heartbeat(ServerIncarnation("i2"), service="list", sequence=1)
    setup.server.apply_heartbeat(started)
    setup.submit()
    assert b"eelgrassmount-expect-instance: i2\r\n" in setup.pool.sent[1]


def test_calls_that_wait_are_refused_if_an_unknown_server_answers():
    setup = Setup(slots=1)
    changes = []
    setup.dispatcher.on_change = lambda: changes.append(setup.server.evidence)
    for _ in range(3):
        setup.submit()
    setup.answer(421, [(b"eelgrassmount-instance-id", b"i2")])
    assert changes == [Evidence.NONE]
    reasons = [reply.reason for reply in setup.replies]
    assert sorted(reasons) == sorted([Reason.NO_SERVER, *[Reason.SERVER_STARTING] * 2])
    assert len(setup.pool.sent) == 1


def test_non_idempotent_call_uses_a_fresh_connection(setup):
    setup.submit(make_call(make_route(idempotent=False)))
    assert setup.pool.fresh_only == [True]


def test_cancelled_call_is_stopped_only_if_idempotent(setup):
    job = setup.submit()
    other = setup.submit(make_call(make_route(idempotent=False)))
    setup.dispatcher.cancel(job)
    setup.dispatcher.cancel(other)
    assert len(setup.pool.open) == 1
    assert setup.dispatcher.in_flight == 1


def test_cancelled_call_in_the_queue_never_runs():
    setup = Setup(slots=1)
    setup.submit()
    job = setup.submit()
    setup.dispatcher.cancel(job)
    setup.answer()
    assert len(setup.pool.sent) == 1
    assert setup.dispatcher.queued == 0


def test_server_that_never_answers_is_given_up_after_the_deadline(setup):
    setup.submit()
    setup.now_s += 2.2
    setup.dispatcher.sweep()
    assert setup.replies == []
    setup.now_s += 0.2
    setup.dispatcher.sweep()
    assert setup.replies[0].reason is Reason.DEADLINE
    assert setup.dispatcher.in_flight == 0


def test_run_that_stays_silent_counts_as_a_failure_before_it_ends(setup):
    setup.submit()
    setup.answer()
    setup.submit()
    setup.dispatcher.sweep()
    assert setup.dispatcher.measures.failure_share == 0.0
    setup.now_s += 1.5
    setup.dispatcher.sweep()
    counted = setup.dispatcher.measures.failure_share
    assert counted > 0.0
    setup.dispatcher.sweep()
    assert setup.dispatcher.measures.failure_share == counted


def test_run_of_a_slow_server_is_not_silent_before_several_times_its_mean_duration(
    setup,
):
    usual_s = 0.8
    for _ in range(3):
        setup.submit()
        setup.now_s += usual_s
        setup.answer()
    setup.submit()
    setup.now_s += 2 * usual_s
    setup.dispatcher.sweep()
    assert setup.dispatcher.measures.failure_share == 0.0


def test_silent_run_that_is_cancelled_stays_counted(setup):
    job = setup.submit()
    setup.now_s += 1.5
    setup.dispatcher.cancel(job)
    assert setup.dispatcher.measures.failure_share > 0.0
    quick = setup.submit()
    counted = setup.dispatcher.measures.failure_share
    setup.dispatcher.cancel(quick)
    assert setup.dispatcher.measures.failure_share == counted


def test_crash_is_reported_once_the_server_refuses_connections(setup):
    first = setup.submit(request_id="a")
    setup.pool.open[0].end(ExchangeFailure.CLOSED)
    assert setup.crashes == []
    setup.submit(request_id="b")
    setup.pool.open[0].end(ExchangeFailure.REFUSED)
    assert setup.crashes == [(I1, [first])]


def test_demand_and_wait_are_relative_to_their_limits():
    setup = Setup(slots=1)
    setup.dispatcher.update_load()
    setup.now_s += 1.0
    for _ in range(3):
        setup.submit()
    setup.now_s += 1.0
    setup.dispatcher.update_load()
    run_s = setup.dispatcher.measures.mean_run_s
    assert setup.dispatcher.measures.load.demand == pytest.approx(
        DEMAND_SMOOTHING * 3 * run_s / 2
    )
    # Two calls wait for one of two seconds. The maximum mean wait is 0.3 of the
    # shortest time allowance.
    setup.dispatcher.measures.routes["r"] = RouteStats(time_allowance_s=0.2)
    setup.dispatcher.measures.routes["s"] = RouteStats(time_allowance_s=0.4)
    assert setup.dispatcher.measures.compute_max_mean_wait_s() == pytest.approx(0.06)
    assert setup.dispatcher.measures.load.wait == pytest.approx(run_s / MAX_MEAN_WAIT_S)


def test_finished_job_is_freed_without_garbage_collection(setup):
    gc.disable()
    try:
        job = weakref.ref(setup.submit())
        setup.answer()
        assert job() is None
    finally:
        gc.enable()


def test_server_that_rejects_calls_counts_as_failing(setup):
    headers = [*SIGNED, (b"eelgrassmount-not-executed", b"1")]
    setup.submit()
    setup.answer(503, headers)
    assert setup.replies[0].reason is Reason.SERVER_SHED
    assert setup.dispatcher.measures.failure_share > 0.0


LIMITED = [*SIGNED, (b"server-limit", b"8")]


def test_rate_limit_is_read_from_each_answer_of_the_current_server():
    setup = Setup(slots=4)
    setup.submit()
    setup.answer(503, [*LIMITED, (b"eelgrassmount-not-executed", b"1")])
    assert setup.server.rate_limit.per_s == 8.0
    setup.now_s += 1.0
    setup.submit()
    setup.now_s += 0.1
    setup.answer()
    assert setup.server.rate_limit.per_s is None


def test_calls_start_at_the_rate_limit_of_the_server():
    setup = Setup(slots=16)
    later = []
    setup.dispatcher.call_later = lambda delay_s, action: later.append(
        (setup.now_s + delay_s, action)
    )
    setup.server.rate_limit.apply_answer(4.0, sent_s=0.0, now_s=setup.now_s)
    route = make_route(objective_s=4.0, timeout_s=4.0)
    for _ in range(4):
        setup.submit(make_call(route, setup.now_s))
    started_s = []
    while later:
        later.sort(key=lambda one: one[0])
        setup.now_s, action = later.pop(0)
        started = len(setup.pool.sent)
        action()
        started_s += [setup.now_s - 100.0] * (len(setup.pool.sent) - started)
    assert started_s == pytest.approx([0.25, 0.5, 0.75, 1.0], abs=0.02)


def test_demand_is_relative_to_the_rate_limit_of_the_server():
    setup = Setup(slots=16)
    setup.dispatcher.update_load()
    setup.server.rate_limit.apply_answer(10.0, sent_s=0.0, now_s=setup.now_s)
    for _ in range(30):
        setup.submit()
    setup.now_s += 1.0
    setup.dispatcher.update_load()
    load = setup.dispatcher.measures.load
    assert load.demand == pytest.approx(DEMAND_SMOOTHING * 30 / 10)


def test_calls_beyond_the_rate_limit_are_refused_as_not_run():
    setup = Setup(slots=16)
    setup.server.rate_limit.apply_answer(4.0, sent_s=0.0, now_s=setup.now_s)
    setup.submit()
    assert setup.replies[0].outcome is Outcome.NOT_RUN
    assert setup.replies[0].reason is Reason.RATE_LIMIT
    assert setup.replies[0].wait_s == pytest.approx(0.25)
    assert setup.pool.sent == []


def test_lower_rate_limit_refuses_waiting_calls_that_would_wait_too_long():
    setup = Setup(slots=1)
    route = make_route(objective_s=4.0, timeout_s=4.0)
    for _ in range(4):
        setup.submit(make_call(route, setup.now_s))
    assert setup.dispatcher.queued == 3
    setup.answer(200, [*SIGNED, (b"server-limit", b"1")])
    reasons = [reply.reason for reply in setup.replies]
    assert reasons.count(Reason.RATE_LIMIT) == 1
    assert setup.dispatcher.queued == 2
    assert setup.pool.open == []


def test_invalid_rate_limit_is_reported_and_changes_nothing():
    setup = Setup()
    invalid = []
    setup.dispatcher.on_invalid_header = lambda *header: invalid.append(header)
    setup.server.rate_limit.apply_answer(8.0, sent_s=0.0, now_s=0.0)
    setup.now_s += 1.0
    setup.submit()
    setup.answer(200, [*SIGNED, (b"server-limit", b"many")])
    assert setup.server.rate_limit.per_s == 8.0
    assert invalid == [("i1", "server-limit", "many")]


def test_announced_stop_refuses_new_calls_and_is_reported_at_once():
    setup = Setup(slots=1)
    changes = []
    setup.dispatcher.on_change = lambda: changes.append(list(setup.replies))
    setup.submit()
    setup.submit()
    setup.answer(200, [*SIGNED, (b"server-leaving", b"1")])
    # Other nodes hear of it before the answer is passed on.
    assert changes == [[]]
    setup.submit()
    assert setup.replies[-1].reason is Reason.DRAINING
    # A call that waited before still runs.
    setup.answer(200, [*SIGNED, (b"server-leaving", b"1")])
    assert [reply.outcome for reply in setup.replies].count(Outcome.ANSWERED) == 2
    assert len(changes) == 1


def test_calls_do_not_wait_for_the_rate_limit_of_a_leaving_server():
    setup = Setup(slots=1)
    route = make_route(objective_s=8.0, timeout_s=8.0)
    setup.server.rate_limit.apply_answer(0.5, sent_s=0.0, now_s=setup.now_s)
    setup.submit(make_call(route, setup.now_s))
    setup.server.apply_heartbeat(
        Heartbeat(I1, service="list", slots=1, sequence=2, draining=True)
    )
    setup.dispatcher.sweep()
    assert setup.dispatcher.queued == 1
    setup.now_s += MAX_LAST_WAIT_S
    setup.dispatcher.sweep()
    (reply,) = setup.replies
    assert (reply.outcome, reply.reason) == (Outcome.NOT_RUN, Reason.DRAINING)
    assert setup.pool.sent == []


def test_rate_limit_of_an_earlier_server_is_ignored():
    setup = Setup(slots=4)
    setup.submit()
    setup.server.apply_heartbeat(Heartbeat(ServerIncarnation("i2", 1), service="list"))
    setup.answer(200, LIMITED)
    assert setup.server.rate_limit.per_s is None


def test_rate_limit_of_another_server_at_the_address_is_ignored(setup):
    setup.submit()
    setup.answer(421, [*LIMITED, (b"eelgrassmount-instance-id", b"i1")])
    assert setup.server.rate_limit.per_s is None


def test_rate_limit_ends_with_a_restart_of_the_server():
    setup = Setup(slots=4)
    setup.submit()
    setup.answer(200, LIMITED)
    setup.restart()
    assert setup.server.rate_limit.per_s is None


# The following tests guard against the state of a previous incarnation that affects
# the new one: occupied slots, run durations and failures.


def test_calls_in_flight_at_a_restart_may_have_run():
    setup = Setup(slots=4)
    read = setup.submit(request_id="a")
    work = setup.submit(make_call(make_route(idempotent=False), request_id="b"))
    setup.now_s += 0.5
    setup.restart()
    assert setup.dispatcher.in_flight == 0
    for reply in setup.replies:
        assert reply.outcome is Outcome.MAY_HAVE_RUN
        assert reply.reason is Reason.SERVER_CRASHED
    ((ended, jobs),) = setup.crashes
    assert ended == I1
    assert set(jobs) == {read, work}


def test_call_sent_after_a_restart_continues():
    setup = Setup(slots=4)
    before = setup.submit(request_id="a")
    setup.now_s += 0.5
    setup.submit(request_id="b")
    assert setup.dispatcher.in_flight == 2
    setup.now_s += 0.1
    setup.restart(age_s=0.2)
    assert [reply.outcome for reply in setup.replies] == [Outcome.MAY_HAVE_RUN]
    assert setup.crashes == [(I1, [before])]
    setup.answer()
    assert [reply.outcome for reply in setup.replies][1:] == [Outcome.ANSWERED]


def test_call_whose_connection_is_being_opened_goes_to_the_new_incarnation(setup):
    setup.submit()
    setup.pool.connecting.add(setup.pool.open[0])
    setup.now_s += 0.1
    setup.restart()
    assert setup.replies == []
    assert setup.crashes == []
    setup.answer()
    assert setup.replies[0].outcome is Outcome.ANSWERED


def test_queued_calls_go_to_the_new_incarnation():
    setup = Setup(slots=1)
    setup.submit(request_id="a")
    setup.submit(request_id="b")
    assert setup.dispatcher.queued == 1
    setup.now_s += 0.1
    setup.restart()
    # Before the next call, which would use an idle connection.
    assert setup.pool.resets == [1]
    assert [reply.outcome for reply in setup.replies] == [Outcome.MAY_HAVE_RUN]
    assert (setup.dispatcher.queued, setup.dispatcher.in_flight) == (0, 1)
    setup.answer()
    assert setup.replies[1].outcome is Outcome.ANSWERED


def test_measures_of_the_previous_incarnation_are_discarded(setup):
    for status in (200, 500, 500):
        setup.submit()
        setup.now_s += 0.5
        setup.answer(status)
    setup.submit()
    setup.now_s += 0.5
    assert setup.dispatcher.measures.failure_share > 0.0
    assert setup.dispatcher.measures.routes
    setup.restart()
    assert setup.dispatcher.measures.routes == {}
    assert setup.dispatcher.measures.mean_run_s == DEFAULT_RUN_S
    assert setup.dispatcher.measures.failure_share == 0.0


def test_call_that_broke_shortly_before_a_restart_is_suspected(setup):
    setup.submit(request_id="long ago")
    setup.pool.open[0].end(ExchangeFailure.CLOSED)
    setup.now_s += 2 * CRASH_WINDOW_S
    broken = setup.submit(request_id="a")
    setup.pool.open[0].end(ExchangeFailure.CLOSED)
    setup.now_s += CRASH_WINDOW_S / 2
    setup.restart(age_s=CRASH_WINDOW_S / 4)
    assert setup.crashes == [(I1, [broken])]


def test_restart_of_an_idle_server_is_no_crash(setup):
    setup.restart()
    assert setup.crashes == []


def test_call_that_broke_after_a_restart_is_not_suspected(setup):
    setup.submit()
    setup.pool.open[0].end(ExchangeFailure.CLOSED)
    setup.restart(age_s=CRASH_WINDOW_S / 4)
    assert setup.crashes == []


def submit_retry(setup: Setup, sender: int) -> None:
    """Submit a retry."""
    setup.submit(make_call(now_s=setup.now_s, request_id=f"r{sender}", is_retry=True))


def test_retries_of_many_nodes_share_the_budget_of_the_service():
    """Guards against budgets per sender that are too small for any retry."""
    setup = Setup(slots=1000, slack=0.0)
    setup.dispatcher.budget.ratio = 0.2
    for sender in range(200):
        setup.submit(make_call(now_s=setup.now_s, request_id=f"r{sender}"))
    for sender in range(5):
        submit_retry(setup, sender)
    assert setup.replies == []
    assert setup.dispatcher.in_flight == 205


def test_retry_beyond_the_budget_is_refused_and_has_not_run():
    setup = Setup(slots=1000, slack=0.0)
    submit_retry(setup, 1)
    (reply,) = setup.replies
    assert (reply.outcome, reply.reason) == (Outcome.NOT_RUN, Reason.RETRY_BUDGET)
    assert setup.pool.sent == []


def test_call_refused_elsewhere_is_counted_once_and_is_no_retry():
    setup = Setup(slots=1000, slack=0.0)
    setup.submit(counted_as_demand=True)
    setup.submit()
    assert setup.dispatcher.in_flight == 2
    assert setup.dispatcher.budget.list_services() == [("list", 1, 0)]


def test_calls_of_a_retried_run_count_and_are_not_refused():
    setup = Setup(slots=1000, slack=0.0)
    setup.submit(origin=Origin(0, downstream=True, within_retry=True))
    assert setup.dispatcher.in_flight == 1
    assert setup.dispatcher.budget.list_services() == [("list", 1, 1)]


def test_run_that_failed_by_a_downstream_call_is_not_a_server_failure():
    """Guards against reducing the load of healthy servers above a failing one."""
    setup = Setup()
    setup.dispatcher.claim_lost_call = lambda job: True
    for _ in range(40):
        setup.submit()
        setup.answer(500)
    assert setup.dispatcher.measures.failure_share == 0.0
    assert setup.dispatcher.measures.lost_share > 0.8
    setup.submit()
    setup.answer()
    assert setup.dispatcher.measures.lost_share < 0.9


def test_few_failures_among_lost_runs_do_not_make_a_server_seem_failing():
    """Guards against taking a server whose downstream calls fail for a failing one."""
    setup = Setup()
    rng = random.Random(7)
    lost = True
    setup.dispatcher.claim_lost_call = lambda job: lost
    seen = []
    for _ in range(400):
        lost = rng.random() < 0.9
        setup.submit()
        setup.answer(500 if lost or rng.random() < 0.5 else 200)
        seen.append(setup.dispatcher.measures.failure_share)
    assert sum(seen[100:]) / len(seen[100:]) < 0.15


def test_failing_server_is_recognized_among_lost_runs():
    setup = Setup()
    rng = random.Random(7)
    lost = True
    setup.dispatcher.claim_lost_call = lambda job: lost
    for _ in range(400):
        lost = rng.random() < 0.3
        setup.submit()
        setup.answer(500)
    assert setup.dispatcher.measures.failure_share > 0.7


def test_run_that_waits_for_a_call_is_not_silent(setup):
    setup.dispatcher.has_lost_call = lambda job: True
    setup.submit()
    setup.now_s += 1.5
    setup.dispatcher.sweep()
    assert setup.dispatcher.measures.failure_share == 0.0
    setup.dispatcher.has_lost_call = lambda job: False
    setup.dispatcher.sweep()
    assert setup.dispatcher.measures.failure_share > 0.0


def read_timeout_ms(setup: Setup) -> int:
    lines = setup.pool.sent[-1].split(b"\r\n")
    name = b"eelgrassmount-deadline-ms: "
    return next(int(line[len(name) :]) for line in lines if line.startswith(name))


# A run must outlast its downstream calls, or their failures are not reported.
def test_run_has_slightly_less_time_than_its_calls(setup):
    setup.dispatcher.find_call_timeout = lambda route_name: 0.7
    setup.submit()
    assert 590 <= read_timeout_ms(setup) <= 595
    setup.answer()
    setup.submit(deadline_s=setup.now_s + 0.5)
    assert 495 <= read_timeout_ms(setup) <= 500


def test_run_that_usually_takes_long_keeps_its_deadline(setup):
    setup.dispatcher.find_call_timeout = lambda route_name: 0.7
    for _ in range(30):
        setup.submit()
        setup.now_s += 0.4
        setup.answer()
    setup.submit()
    assert read_timeout_ms(setup) > 1900


# Guards against an ambiguous 504 for a call that has certainly not run.
def test_call_that_waits_to_its_deadline_is_refused_as_not_run():
    setup = Setup(slots=1)
    timers = []
    setup.dispatcher.call_later = lambda delay_s, action: timers.append(
        (delay_s, action)
    )
    setup.submit()
    waiting = setup.submit(deadline_s=setup.now_s + 0.1)
    (delay_s, expire) = timers[0]
    assert 0.08 < delay_s < 0.1
    setup.now_s += delay_s
    expire()
    (reply,) = setup.replies
    assert (reply.outcome, reply.reason) == (Outcome.NOT_RUN, Reason.DEADLINE)
    assert waiting.ended
    assert setup.dispatcher.queued == 0
    # The refused call is skipped once a slot is free.
    setup.answer()
    assert len(setup.pool.sent) == 1


def test_call_that_no_longer_waits_has_no_timer():
    setup = Setup(slots=1)
    timers = [mock.Mock(), mock.Mock()]
    setup.dispatcher.call_later = mock.Mock(side_effect=timers)
    setup.submit()
    setup.submit()
    cancelled = setup.submit()
    setup.dispatcher.cancel(cancelled)
    assert not timers[0].cancel.called
    assert timers[1].cancel.called
    setup.answer()
    assert timers[0].cancel.called


def test_call_that_has_started_continues_to_its_deadline():
    setup = Setup(slots=1)
    timers = []
    setup.dispatcher.call_later = lambda delay_s, action: timers.append(action)
    setup.submit()
    setup.submit(deadline_s=setup.now_s + 0.1)
    setup.answer()
    timers[0]()
    assert len(setup.replies) == 1
    setup.answer()
    assert setup.replies[-1].outcome is Outcome.ANSWERED


# Guards against calls that wait for a crashed server, and reach one that stops.
@pytest.mark.parametrize("stopping", [True, False])
def test_calls_that_wait_are_refused_if_a_server_that_stops_answers(stopping):
    setup = Setup(slots=1)
    changes = []
    setup.dispatcher.on_change = lambda: changes.append(setup.server.is_leaving())
    stop = Heartbeat(I1, service="list", slots=1, sequence=1, draining=stopping)
    setup.server.apply_heartbeat(stop)
    late = Heartbeat(ServerIncarnation("i0"), service="list", slots=1)
    setup.server.apply_heartbeat(late)
    setup.submit()
    setup.submit()
    setup.answer(421, [(b"eelgrassmount-instance-id", b"i1")])
    assert changes == [stopping]
    reasons = [reply.reason for reply in setup.replies]
    refused = [Reason.DRAINING, Reason.NO_SERVER]
    assert reasons == (refused if stopping else [Reason.NO_SERVER])
    assert len(setup.pool.sent) == (1 if stopping else 2)


# Guards against an answer of before a restart that displaces the present server.
def test_rejected_call_displaces_no_server_that_was_announced_after_its_start(setup):
    setup.submit()
    setup.server.apply_heartbeat(Heartbeat(ServerIncarnation("i2"), service="list"))
    setup.answer(421, [(b"eelgrassmount-instance-id", b"i0")])
    assert setup.server.incarnation == ServerIncarnation("i2")
    setup.submit()
    setup.answer(421, [(b"eelgrassmount-instance-id", b"i3")])
    assert setup.server.incarnation == ServerIncarnation("i3")
