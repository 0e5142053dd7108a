"""Health checks of a server beside which a node starts."""

from __future__ import annotations

import pytest

from eelgrassmount.http1.client import ClientAnswer, ExchangeFailure
from eelgrassmount.platform.headers import HEADER_CODEC
from eelgrassmount.relay.heartbeats import Heartbeat, ServerIncarnation
from eelgrassmount.relay.server import LocalServer
from eelgrassmount.relay.server_identity import Evidence
from eelgrassmount.relay.startup_check import (
    HEALTH_CHECK_TIMEOUT_S,
    MAX_FIRST_WAIT_S,
    MAX_UNCLEAR_CHECKS,
    UNHEALTHY_DELAY_S,
    StartupCheck,
)
from eelgrassmount.util.addresses import Address
from eelgrassmount.verdict import Reason
from tests.relay.test_dispatcher import FakePool

NOW_S = 100.0
I7 = (b"eelgrassmount-instance-id", b"i7")
NOT_RUN = (b"eelgrassmount-not-executed", b"1")


class Setup:
    def __init__(self) -> None:
        self.server = LocalServer("list", Address("127.0.0.1", 80))
        self.pool = FakePool()
        self.timers = []
        self.changes = []
        self.path = "/health"
        self.settings = "list"
        self.check = StartupCheck(
            self.server,
            self.pool,
            HEADER_CODEC,
            lambda: self.path,
            lambda: self.server.apply_settings(self.settings),
            lambda: self.changes.append(self.refusal),
            self.call_later,
        )
        self.check.enable()

    def call_later(self, delay_s, action) -> None:
        if action == self.check._open_unless_unhealthy:
            assert delay_s == MAX_FIRST_WAIT_S
            self.first_wait = action
        else:
            self.timers.append((delay_s, action))

    @property
    def refusal(self) -> Reason | None:
        return self.server.find_refusal_reason(NOW_S)

    def answer(self, status=200, *headers) -> None:
        self.end(ClientAnswer(status, list(headers), b""))

    def end(self, outcome) -> None:
        self.pool.open[0].end(outcome)

    def run_timer(self) -> float:
        """Run the last timer that is not a time-out, and return its delay."""
        delay_s, action = self.timers.pop()
        assert delay_s < HEALTH_CHECK_TIMEOUT_S
        action()
        return delay_s


@pytest.fixture
def setup() -> Setup:
    setup = Setup()
    setup.check.start()
    return setup


def say_ready(identity: str = "i7", sequence: int = 9) -> Heartbeat:
    incarnation = ServerIncarnation(identity)
    return Heartbeat(incarnation, service="list", slots=8, sequence=sequence)


def test_running_server_is_identified_by_its_health(setup):
    assert setup.pool.sent == [b"GET /health HTTP/1.1\r\nhost: server\r\n\r\n"]
    setup.answer(200, I7)
    assert setup.server.incarnation == ServerIncarnation("i7")
    assert setup.refusal is None
    assert setup.changes == [None]


def test_health_of_a_server_names_its_rate_limit_and_its_stop(setup):
    setup.answer(200, I7, (b"server-limit", b"3"), (b"server-leaving", b"1"))
    assert setup.server.rate_limit.per_s == 3.0
    assert setup.refusal is Reason.DRAINING


def test_unhealthy_server_is_not_identified_by_its_health(setup):
    setup.answer(503, I7)
    assert setup.server.incarnation is None


# Guards against a node that believes settings of before the answer.
def test_settings_are_read_again_before_a_running_server_is_identified(setup):
    setup.settings = "pay"
    setup.answer(200, I7)
    assert (setup.server.service, setup.server.evidence) == ("pay", Evidence.SETTINGS)


# Guards against a late heartbeat from before a stop that an earlier process of the
# node has acknowledged.
@pytest.mark.parametrize("heartbeat_first", [True, False])
def test_heartbeat_of_a_server_that_is_unhealthy_is_not_enough(setup, heartbeat_first):
    if heartbeat_first:
        setup.server.apply_heartbeat(say_ready())
    setup.answer(503, I7)
    for sequence in range(10, 20):
        setup.server.apply_heartbeat(say_ready(sequence=sequence))
        assert setup.refusal is Reason.SERVER_STARTING
        assert setup.run_timer() == UNHEALTHY_DELAY_S
        setup.answer(503, I7)
    assert setup.changes == []
    setup.run_timer()
    setup.answer(200, I7)
    assert setup.refusal is None
    assert setup.changes == [None]


def test_server_gets_no_calls_before_the_answer(setup):
    setup.server.apply_heartbeat(say_ready())
    assert setup.refusal is Reason.SERVER_STARTING


# Guards against a server that gets no calls, as its health check waits for a slot.
@pytest.mark.parametrize("unhealthy_first", [True, False])
def test_calls_wait_for_the_first_answer_for_some_time_only(setup, unhealthy_first):
    setup.server.apply_heartbeat(say_ready())
    if unhealthy_first:
        setup.answer(503, I7)
    setup.first_wait()
    if unhealthy_first:
        assert setup.refusal is Reason.SERVER_STARTING
        return
    assert setup.refusal is None
    setup.answer(503, I7)
    assert setup.refusal is Reason.SERVER_STARTING


def test_server_that_starts_after_its_node_gets_calls_with_its_heartbeat(setup):
    setup.end(ExchangeFailure.REFUSED)
    assert setup.refusal is Reason.SERVER_STARTING
    setup.server.apply_heartbeat(say_ready())
    assert setup.refusal is None


def test_server_that_has_stopped_is_not_checked_again(setup):
    setup.answer(503, I7)
    setup.run_timer()
    setup.end(ExchangeFailure.REFUSED)
    assert [delay_s for delay_s, _ in setup.timers] == [HEALTH_CHECK_TIMEOUT_S] * 2


# Guards against a server that is never used, as its health can't be read.
@pytest.mark.parametrize(
    "outcome",
    [
        ExchangeFailure.MALFORMED,
        ExchangeFailure.CANCELLED,
        ClientAnswer(404, [], b""),
        ClientAnswer(503, [NOT_RUN], b""),
    ],
)
def test_server_of_unclear_health_gets_calls_and_is_checked_again(setup, outcome):
    setup.server.apply_heartbeat(say_ready())
    setup.end(outcome)
    assert setup.refusal is None
    setup.run_timer()
    setup.answer(503, I7)
    assert setup.refusal is Reason.SERVER_STARTING
    setup.run_timer()
    setup.end(outcome)
    assert setup.refusal is Reason.SERVER_STARTING
    assert setup.changes == [None, Reason.SERVER_STARTING]


def test_checks_of_unclear_health_end(setup):
    setup.server.apply_heartbeat(say_ready())
    for _ in range(MAX_UNCLEAR_CHECKS - 1):
        setup.end(ExchangeFailure.MALFORMED)
        setup.run_timer()
    setup.end(ExchangeFailure.MALFORMED)
    assert setup.refusal is None
    assert len(setup.timers) == MAX_UNCLEAR_CHECKS
    assert setup.pool.open == []


def test_unclear_checks_between_others_count_anew(setup):
    for outcome in [ExchangeFailure.MALFORMED, ClientAnswer(503, [I7], b"")] * 10:
        setup.end(outcome)
        setup.run_timer()
    setup.server.apply_heartbeat(say_ready())
    assert setup.refusal is Reason.SERVER_STARTING


def test_health_of_another_identity_replaces_a_late_heartbeat(setup):
    setup.server.apply_heartbeat(say_ready("i1"))
    setup.answer(200, I7)
    assert setup.server.incarnation == ServerIncarnation("i7")
    assert setup.refusal is None


def test_check_starts_once_and_with_the_path():
    setup = Setup()
    setup.path = None
    setup.check.start()
    assert setup.pool.sent == []
    setup.path = "/health"
    setup.check.start()
    setup.check.start()
    assert len(setup.pool.sent) == 1
