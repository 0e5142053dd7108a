"""The gate with a pool that answers when told to."""

from __future__ import annotations

import gc
import random
import weakref

import pytest

from eelgrassmount.http1.client import Break, ClientAnswer
from eelgrassmount.platform.headers import DIALECT
from eelgrassmount.relay.budget import RetryBudget
from eelgrassmount.relay.gate import CRASH_SPAN_S, Gate, Job
from eelgrassmount.relay.heartbeats import Heartbeat, ServerIncarnation
from eelgrassmount.relay.measures import (
    DEFAULT_RUN_S,
    LOAD_WEIGHT,
    MAX_MEAN_WAIT_S,
    RouteStats,
)
from eelgrassmount.relay.messages import Fate, Origin, Reply
from eelgrassmount.relay.server import LocalServer
from eelgrassmount.retry.quarantine import Quarantine
from eelgrassmount.util.addresses import Address
from eelgrassmount.verdict import Reason
from tests.relay.samples import make_call, make_route

STARTED_MS = 1_700_000_000_000
I1_AGAIN = ServerIncarnation("i1", STARTED_MS + 1)
I1 = ServerIncarnation("i1", STARTED_MS)
SIGNED = [(b"eelgrassmount-response-signature", b"s")]


class FakeSending:
    def __init__(self, pool, done):
        self.pool = pool
        self.done = done

    def cancel(self):
        self.end(Break.CANCELLED)

    def is_written(self):
        return self not in self.pool.connecting

    def end(self, outcome):
        self.pool.open.remove(self)
        self.done(outcome)


class FakePool:
    def __init__(self):
        self.open: list[FakeSending] = []
        self.sent: list[bytes] = []
        self.fresh: list[bool] = []
        self.connecting: set[FakeSending] = set()
        self.forgotten: list[int] = []

    def send(self, address, data, fresh, accepts, done, head_only=False):
        sending = FakeSending(self, done)
        self.open.append(sending)
        self.sent.append(data)
        self.fresh.append(fresh)
        return sending

    def reset(self):
        self.forgotten.append(len(self.sent))


class Setup:
    def __init__(self, slots: int = 2, slack: float = 0.0):
        self.now_s = 100.0
        self.server = LocalServer("list", Address("127.0.0.1", 80))
        self.server.apply_heartbeat(Heartbeat(I1, service="list", slots=slots))
        self.pool = FakePool()
        self.crashes: list[tuple[ServerIncarnation, list[Job]]] = []
        self.gate = Gate(
            self.server,
            self.pool,
            DIALECT,
            Quarantine(),
            lambda: self.now_s,
            RetryBudget(lambda: self.now_s, 0.0, 10.0, slack, lambda: 1),
            on_crash=lambda ended, jobs: self.crashes.append((ended, jobs)),
        )
        self.replies: list[Reply] = []

    def offer(self, call=None, **changes) -> Job:
        call = call or make_call(now_s=self.now_s, **changes)
        job = Job(call, self.replies.append)
        self.gate.offer(job)
        return job

    def restart(self, age_s: float = 0.0):
        """Let the server have started again so long ago."""
        self.server.apply_heartbeat(
            Heartbeat(I1_AGAIN, service="list", slots=self.server.slots, sequence=1)
        )
        self.gate.restart(I1, self.now_s - age_s)

    def answer(self, status=200, headers=SIGNED, index=0):
        self.pool.open[index].end(ClientAnswer(status, headers, b"body"))


@pytest.fixture
def setup() -> Setup:
    return Setup()


def test_answer_goes_back_whole(setup):
    setup.offer()
    setup.answer()
    (reply,) = setup.replies
    assert (reply.fate, reply.status, reply.body) == (Fate.ANSWERED, 200, b"body")
    assert reply.head == b"eelgrassmount-response-signature: s\r\n"


def test_request_names_incarnation_caller_and_time_left(setup):
    setup.offer()
    sent = setup.pool.sent[0]
    assert b"eelgrassmount-expect-instance: i1\r\n" in sent
    assert b"eelgrassmount-caller-service: front\r\n" in sent
    assert b"eelgrassmount-deadline-ms: 2000\r\n" in sent


def test_time_in_the_queue_is_taken_off_the_time_left():
    setup = Setup(slots=1)
    setup.offer()
    setup.offer(origin=Origin(1, inner=True))
    setup.now_s += 0.5
    setup.answer()
    assert b"eelgrassmount-deadline-ms: 1500\r\n" in setup.pool.sent[1]


def test_no_more_runs_than_slots_and_the_soonest_due_go_first():
    setup = Setup(slots=1)
    setup.gate.measures.mean_run_s = 0.001
    setup.offer(request_id="first")
    for name, objective_s in (("late", 1.0), ("soon", 0.1), ("next", 0.3)):
        route = make_route(objective_s=objective_s)
        setup.offer(make_call(route, setup.now_s, target=f"/{name}"))
    for _ in range(4):
        assert len(setup.pool.open) == 1
        setup.answer()
    order = [data.split()[1] for data in setup.pool.sent]
    assert order == [b"/list/1", b"/soon", b"/next", b"/late"]
    assert setup.gate.queued == 0
    assert setup.gate.in_flight == 0


def test_call_whose_request_is_nearly_done_goes_before_others():
    """Calls of one route for requests that begin, and one that needs no further run."""
    setup = Setup(slots=1)
    setup.gate.measures.mean_run_s = 0.001
    setup.offer()
    for name, origin in (
        ("direct", Origin(2)),
        ("begins", Origin(2, inner=True, left=11)),
        ("urgent", Origin(0, inner=True, left=11)),
        ("ends", Origin(2, inner=True, left=1)),
    ):
        setup.offer(make_call(now_s=setup.now_s, target=f"/{name}", origin=origin))
    for _ in range(5):
        setup.answer()
    order = [data.split()[1] for data in setup.pool.sent[1:]]
    assert order == [b"/ends", b"/urgent", b"/direct", b"/begins"]


def test_call_is_counted_as_demand_by_the_first_gate_only():
    setup = Setup(slots=2)
    setup.offer(asked_before=True)
    assert setup.gate.measures.arrivals == 0
    setup.offer()
    assert setup.gate.measures.arrivals == 1


def test_call_of_a_long_chain_goes_before_one_with_a_tighter_objective():
    setup = Setup(slots=1)
    setup.gate.measures.mean_run_s = 0.001
    allowances = {"shop/part/": 0.05}
    setup.gate.find_allowance = lambda route: allowances.get(
        route.name, route.objective_s
    )
    setup.offer()
    for name, objective_s in (("status", 0.15), ("part", 0.3)):
        route = make_route(f"shop/{name}/", objective_s=objective_s)
        setup.offer(make_call(route, setup.now_s, target=f"/{name}/1"))
    setup.answer()
    assert setup.pool.sent[1].split()[1] == b"/part/1"


def test_call_that_would_wait_too_long_is_refused_at_once():
    setup = Setup(slots=1)
    setup.gate.measures.mean_run_s = 1.0
    setup.offer()
    setup.offer()
    assert setup.replies[0].fate is Fate.NOT_RUN
    assert setup.replies[0].reason is Reason.OVERLOAD


def test_draining_server_gets_nothing_new_but_what_waits_still_runs():
    setup = Setup(slots=1)
    setup.offer()
    setup.offer()
    setup.server.apply_heartbeat(
        Heartbeat(I1, service="list", slots=1, sequence=2, draining=True)
    )
    setup.offer()
    assert setup.replies[0].reason is Reason.DRAINING
    setup.answer()
    assert len(setup.pool.open) == 1


def test_other_service_is_refused(setup):
    setup.offer(service="elsewhere")
    assert setup.replies[0].fate is Fate.NOT_RUN
    assert setup.pool.sent == []


@pytest.mark.parametrize(
    ("outcome", "fate"),
    [
        (Break.REFUSED, Fate.NOT_RUN),
        (Break.CLOSED, Fate.MAY_HAVE_RUN),
        (Break.TRUNCATED, Fate.MAY_HAVE_RUN),
        (Break.MALFORMED, Fate.MAY_HAVE_RUN),
        (ClientAnswer(200, [], b"x"), Fate.MAY_HAVE_RUN),
        (ClientAnswer(421, [], b""), Fate.NOT_RUN),
        (
            ClientAnswer(503, [(b"eelgrassmount-not-executed", b"1")], b""),
            Fate.NOT_RUN,
        ),
        (ClientAnswer(503, [], b""), Fate.ANSWERED),
        (ClientAnswer(500, SIGNED, b""), Fate.ANSWERED),
    ],
)
def test_not_run_is_said_only_when_it_is_certain(setup, outcome, fate):
    setup.offer()
    setup.pool.open[0].end(outcome)
    assert setup.replies[0].fate is fate


def test_wrong_incarnation_is_replaced_by_the_one_that_answered(setup):
    setup.offer()
    setup.answer(421, [(b"eelgrassmount-instance-id", b"i2")])
    setup.offer()
    assert b"eelgrassmount-expect-instance: i2\r\n" in setup.pool.sent[1]


def test_work_that_must_not_run_twice_asks_for_a_fresh_connection(setup):
    setup.offer(make_call(make_route(idempotent=False)))
    assert setup.pool.fresh == [True]


def test_cancelled_idempotent_call_is_cut_and_the_other_runs_on(setup):
    job = setup.offer()
    other = setup.offer(make_call(make_route(idempotent=False)))
    setup.gate.cancel(job)
    setup.gate.cancel(other)
    assert len(setup.pool.open) == 1
    assert setup.gate.in_flight == 1


def test_cancelled_call_in_the_queue_never_runs():
    setup = Setup(slots=1)
    setup.offer()
    job = setup.offer()
    setup.gate.cancel(job)
    setup.answer()
    assert len(setup.pool.sent) == 1
    assert setup.gate.queued == 0


def test_server_that_never_answers_is_given_up_after_the_deadline(setup):
    setup.offer()
    setup.now_s += 2.2
    setup.gate.sweep()
    assert setup.replies == []
    setup.now_s += 0.2
    setup.gate.sweep()
    assert setup.replies[0].reason is Reason.DEADLINE
    assert setup.gate.in_flight == 0


def test_run_that_stays_silent_counts_as_a_failure_before_it_ends(setup):
    setup.offer()
    setup.answer()
    setup.offer()
    setup.gate.sweep()
    assert setup.gate.measures.failure_share == 0.0
    setup.now_s += 1.5
    setup.gate.sweep()
    counted = setup.gate.measures.failure_share
    assert counted > 0.0
    setup.gate.sweep()
    assert setup.gate.measures.failure_share == counted


def test_run_of_a_slow_server_is_not_silent_before_several_times_its_usual(setup):
    usual_s = 0.8
    for _ in range(3):
        setup.offer()
        setup.now_s += usual_s
        setup.answer()
    setup.offer()
    setup.now_s += 2 * usual_s
    setup.gate.sweep()
    assert setup.gate.measures.failure_share == 0.0


def test_silent_run_that_is_cancelled_stays_counted(setup):
    job = setup.offer()
    setup.now_s += 1.5
    setup.gate.cancel(job)
    assert setup.gate.measures.failure_share > 0.0
    quick = setup.offer()
    counted = setup.gate.measures.failure_share
    setup.gate.cancel(quick)
    assert setup.gate.measures.failure_share == counted


def test_crash_is_told_once_the_server_refuses_connections(setup):
    first = setup.offer(request_id="a")
    setup.pool.open[0].end(Break.CLOSED)
    assert setup.crashes == []
    setup.offer(request_id="b")
    setup.pool.open[0].end(Break.REFUSED)
    assert setup.crashes == [(I1, [first])]


def test_demand_and_wait_are_parts_of_what_is_possible():
    setup = Setup(slots=1)
    setup.gate.update_load()
    setup.now_s += 1.0
    for _ in range(3):
        setup.offer()
    setup.now_s += 1.0
    setup.gate.update_load()
    run_s = setup.gate.measures.mean_run_s
    assert setup.gate.measures.load.demand == pytest.approx(LOAD_WEIGHT * 3 * run_s / 2)
    # two wait for one of two seconds; three tenths of the least time are allowed
    setup.gate.measures.routes["r"] = RouteStats(allowed_s=0.2)
    setup.gate.measures.routes["s"] = RouteStats(allowed_s=0.4)
    assert setup.gate.measures.allow_mean_wait() == pytest.approx(0.06)
    assert setup.gate.measures.load.wait == pytest.approx(run_s / MAX_MEAN_WAIT_S)


def test_server_that_runs_already_is_identified_by_its_health():
    setup = Setup()
    setup.server.incarnation = None
    setup.gate.identify("/health")
    assert setup.pool.sent == [b"GET /health HTTP/1.1\r\nhost: server\r\n\r\n"]
    setup.answer(200, [(b"eelgrassmount-instance-id", b"i7")])
    assert setup.server.incarnation == ServerIncarnation("i7")
    assert setup.gate.in_flight == 0


def test_server_that_is_not_well_is_not_taken_up_by_its_health():
    setup = Setup()
    setup.server.incarnation = None
    setup.gate.identify("/health")
    setup.answer(503, [(b"eelgrassmount-instance-id", b"i7")])
    assert setup.server.incarnation is None


def test_job_is_gone_once_it_has_ended(setup):
    gc.disable()
    try:
        job = weakref.ref(setup.offer())
        setup.answer()
        assert job() is None
    finally:
        gc.enable()


def test_server_that_rejects_calls_counts_as_failing(setup):
    headers = [*SIGNED, (b"eelgrassmount-not-executed", b"1")]
    setup.offer()
    setup.answer(503, headers)
    assert setup.replies[0].reason is Reason.SERVER_SHED
    assert setup.gate.measures.failure_share > 0.0


# A server that starts again under its identity kept the calls of its earlier start:
# they held slots of the new one until their deadlines, and durations and failures of
# the earlier start steered calls away from it.


def test_what_ran_when_the_server_started_again_may_have_run():
    setup = Setup(slots=4)
    read = setup.offer(request_id="a")
    work = setup.offer(make_call(make_route(idempotent=False), request_id="b"))
    setup.now_s += 0.5
    setup.restart()
    assert setup.gate.in_flight == 0
    for reply in setup.replies:
        assert reply.fate is Fate.MAY_HAVE_RUN
        assert reply.reason is Reason.SERVER_CRASHED
    ((ended, jobs),) = setup.crashes
    assert ended == I1
    assert set(jobs) == {read, work}


def test_call_that_began_after_the_new_start_runs_on():
    setup = Setup(slots=4)
    before = setup.offer(request_id="a")
    setup.now_s += 0.5
    setup.offer(request_id="b")
    assert setup.gate.in_flight == 2
    setup.now_s += 0.1
    setup.restart(age_s=0.2)
    assert [reply.fate for reply in setup.replies] == [Fate.MAY_HAVE_RUN]
    assert setup.crashes == [(I1, [before])]
    setup.answer()
    assert [reply.fate for reply in setup.replies][1:] == [Fate.ANSWERED]


def test_call_whose_connection_is_being_opened_goes_to_the_new_start(setup):
    setup.offer()
    setup.pool.connecting.add(setup.pool.open[0])
    setup.now_s += 0.1
    setup.restart()
    assert setup.replies == []
    assert setup.crashes == []
    setup.answer()
    assert setup.replies[0].fate is Fate.ANSWERED


def test_queued_calls_wait_for_the_new_start():
    setup = Setup(slots=1)
    setup.offer(request_id="a")
    setup.offer(request_id="b")
    assert setup.gate.queued == 1
    setup.now_s += 0.1
    setup.restart()
    # before the next call, which would go out on an idle connection
    assert setup.pool.forgotten == [1]
    assert [reply.fate for reply in setup.replies] == [Fate.MAY_HAVE_RUN]
    assert (setup.gate.queued, setup.gate.in_flight) == (0, 1)
    setup.answer()
    assert setup.replies[1].fate is Fate.ANSWERED


def test_nothing_is_learned_of_the_earlier_start_for_the_new_one(setup):
    for status in (200, 500, 500):
        setup.offer()
        setup.now_s += 0.5
        setup.answer(status)
    setup.offer()
    setup.now_s += 0.5
    assert setup.gate.measures.failure_share > 0.0
    assert setup.gate.measures.routes
    setup.restart()
    assert setup.gate.measures.routes == {}
    assert setup.gate.measures.mean_run_s == DEFAULT_RUN_S
    assert setup.gate.measures.failure_share == 0.0


def test_what_broke_shortly_before_the_new_start_is_suspected(setup):
    setup.offer(request_id="long ago")
    setup.pool.open[0].end(Break.CLOSED)
    setup.now_s += 2 * CRASH_SPAN_S
    broken = setup.offer(request_id="a")
    setup.pool.open[0].end(Break.CLOSED)
    setup.now_s += CRASH_SPAN_S / 2
    setup.restart(age_s=CRASH_SPAN_S / 4)
    assert setup.crashes == [(I1, [broken])]


def test_restart_of_an_idle_server_is_no_crash(setup):
    setup.restart()
    assert setup.crashes == []


def test_call_that_broke_at_the_new_start_is_not_suspected_for_the_earlier(setup):
    setup.offer()
    setup.pool.open[0].end(Break.CLOSED)
    setup.restart(age_s=CRASH_SPAN_S / 4)
    assert setup.crashes == []


def repeat(setup: Setup, sender: int) -> None:
    """Offer a call that has been sent before."""
    setup.offer(make_call(now_s=setup.now_s, request_id=f"r{sender}", again=True))


def test_repeats_of_many_nodes_are_taken_as_the_service_may_have_them():
    """A node of 195 has seven requests of a route in a window.

    Its part of the budget was 0.6 of a repeat, which was none: no call of such a route
    was ever sent again, however little of the budget was used.
    """
    setup = Setup(slots=1000, slack=0.0)
    setup.gate.budget.ratio = 0.2
    for sender in range(200):
        setup.offer(make_call(now_s=setup.now_s, request_id=f"r{sender}"))
    for sender in range(5):
        repeat(setup, sender)
    assert setup.replies == []
    assert setup.gate.in_flight == 205


def test_repeat_beyond_the_budget_is_refused_and_has_not_run():
    setup = Setup(slots=1000, slack=0.0)
    repeat(setup, 1)
    (reply,) = setup.replies
    assert (reply.fate, reply.reason) == (Fate.NOT_RUN, Reason.RETRY_BUDGET)
    assert setup.pool.sent == []


def test_call_that_another_gate_refused_is_counted_once_and_is_no_repeat():
    setup = Setup(slots=1000, slack=0.0)
    setup.offer(asked_before=True)
    setup.offer()
    assert setup.gate.in_flight == 2
    assert setup.gate.budget.list_services() == [("list", 1, 0)]


def test_calls_of_a_repeated_run_count_and_are_not_refused():
    setup = Setup(slots=1000, slack=0.0)
    setup.offer(origin=Origin(0, inner=True, repeated=True))
    assert setup.gate.in_flight == 1
    assert setup.gate.budget.list_services() == [("list", 1, 1)]


def test_run_that_failed_with_a_call_of_its_own_is_not_the_fault_of_its_server():
    """Servers above one that rejected calls were taken for failing, and short.

    Their services were cut to a sixth for 16 s after the rejections had ended: at such
    a level each server had few runs by which to be found well again.
    """
    setup = Setup()
    setup.gate.claim_loss = lambda job: True
    for _ in range(40):
        setup.offer()
        setup.answer(500)
    assert setup.gate.measures.failure_share == 0.0
    assert setup.gate.measures.lost_share > 0.8
    setup.offer()
    setup.answer()
    assert setup.gate.measures.lost_share < 0.9


def test_few_failures_among_runs_that_are_lost_do_not_make_a_server_seem_short():
    """A server whose calls were mostly refused was taken for failing itself.

    Some lost runs are always blamed on the server, as their calls were taken for those
    of others. They were most of what was seen to end, and its service was cut.
    """
    setup = Setup()
    rng = random.Random(7)
    lost = True
    setup.gate.claim_loss = lambda job: lost
    seen = []
    for _ in range(400):
        lost = rng.random() < 0.9
        setup.offer()
        setup.answer(500 if lost or rng.random() < 0.5 else 200)
        seen.append(setup.gate.measures.failure_share)
    assert sum(seen[100:]) / len(seen[100:]) < 0.15


def test_server_that_fails_by_itself_is_seen_to_while_others_lose_runs():
    setup = Setup()
    rng = random.Random(7)
    lost = True
    setup.gate.claim_loss = lambda job: lost
    for _ in range(400):
        lost = rng.random() < 0.3
        setup.offer()
        setup.answer(500)
    assert setup.gate.measures.failure_share > 0.7


def test_run_that_waits_for_a_call_is_not_silent(setup):
    setup.gate.is_lost_below = lambda job: True
    setup.offer()
    setup.now_s += 1.5
    setup.gate.sweep()
    assert setup.gate.measures.failure_share == 0.0
    setup.gate.is_lost_below = lambda job: False
    setup.gate.sweep()
    assert setup.gate.measures.failure_share > 0.0


def read_given_ms(setup: Setup) -> int:
    lines = setup.pool.sent[-1].split(b"\r\n")
    name = b"eelgrassmount-deadline-ms: "
    return next(int(line[len(name) :]) for line in lines if line.startswith(name))


# Of 60 runs in flight that had up to 1 s, calls with 0.7 s of their own told nothing.
def test_run_has_a_little_less_time_than_its_calls_may_take(setup):
    setup.gate.find_call_limit = lambda route_name: 0.7
    setup.offer()
    assert 590 <= read_given_ms(setup) <= 595
    setup.answer()
    setup.offer(deadline_s=setup.now_s + 0.5)
    assert 495 <= read_given_ms(setup) <= 500


def test_run_that_usually_takes_long_keeps_its_time(setup):
    setup.gate.find_call_limit = lambda route_name: 0.7
    for _ in range(30):
        setup.offer()
        setup.now_s += 0.4
        setup.answer()
    setup.offer()
    assert read_given_ms(setup) > 1900


# A request that waited at another node to its end was answered 504, which promises
# nothing: clients could not send again what must not run twice.
def test_call_that_waits_to_its_deadline_is_refused_as_not_run():
    setup = Setup(slots=1)
    timers = []
    setup.gate.call_later = lambda delay_s, action: timers.append((delay_s, action))
    setup.offer()
    waiting = setup.offer(deadline_s=setup.now_s + 0.1)
    (delay_s, expire) = timers[0]
    assert 0.08 < delay_s < 0.1
    setup.now_s += delay_s
    expire()
    (reply,) = setup.replies
    assert (reply.fate, reply.reason) == (Fate.NOT_RUN, Reason.DEADLINE)
    assert waiting.ended
    assert setup.gate.queued == 0
    # it is passed over, and does not run, once there is room
    setup.answer()
    assert len(setup.pool.sent) == 1


def test_call_that_has_started_goes_on_to_its_deadline():
    setup = Setup(slots=1)
    timers = []
    setup.gate.call_later = lambda delay_s, action: timers.append(action)
    setup.offer()
    setup.offer(deadline_s=setup.now_s + 0.1)
    setup.answer()
    timers[0]()
    assert len(setup.replies) == 1
    setup.answer()
    assert setup.replies[-1].fate is Fate.ANSWERED
