"""Tests of a link to a silent peer, without sockets."""

from __future__ import annotations

import pytest
from loguru import logger

from eelgrassmount.gen import ttypes
from eelgrassmount.relay.frames import FrameKind, decode_struct
from eelgrassmount.relay.link import (
    MAX_RESUMES,
    PING_AFTER_S,
    SILENCE_LOG_INTERVAL_S,
    SILENCE_TIMEOUT_S,
    SUSPECT_AFTER_S,
    SWITCH_AFTER_S,
    LinkConnection,
    LinkHandlers,
    PeerLink,
)
from eelgrassmount.relay.members import Member
from eelgrassmount.relay.messages import Outcome
from tests.http1.transports import MemoryTransport
from tests.relay.samples import make_call, make_route


class CountingLink(PeerLink):
    """A link that counts attempts to connect instead of connecting."""

    connects = 0

    def _start_connecting(self) -> None:
        self.connects += 1


def read_calls(transport):
    """Return the calls among the written frames."""
    data = transport.written
    calls = []
    while data:
        size = int.from_bytes(data[:4], "big")
        if data[4] == FrameKind.CALL:
            calls.append(decode_struct(ttypes.RelayCall, data[5 : 4 + size]))
        data = data[4 + size :]
    return calls


CHECK_INTERVAL_S = 0.1


class LinkFixture:
    def __init__(self):
        self.now_s = 100.0
        self.member = Member("peer", "127.0.0.1:1", "near", "list")
        handlers = LinkHandlers(
            ttypes.RelayHello,
            lambda member, hello: None,
            lambda member, report: None,
            lambda kind, struct, send: None,
        )
        self.link = CountingLink(self.member, lambda: self.now_s, handlers)
        self.member.link = self.link
        self.open()
        self.replies = []

    def open(self):
        connection = LinkConnection(self.link)
        self.transport = MemoryTransport(connection)
        connection.transport = self.transport
        self.link._connection = connection
        self.link.last_received_s = self.now_s

    def open_second(self):
        """Let the peer's operating system accept a second connection."""
        connection = LinkConnection(self.link)
        connection.transport = MemoryTransport(connection)
        self.link._handle_connected(connection)
        return connection

    def fall_silent(self):
        """Check for silence at intervals until a second connection is tried."""
        connects = self.link.connects
        while self.link.connects == connects:
            self.wait(CHECK_INTERVAL_S)

    def call(self, idempotent=True):
        route = make_route(idempotent=idempotent)
        return self.link.call(make_call(route, self.now_s), self.replies.append)

    def wait(self, seconds):
        self.now_s += seconds
        self.link.check_silence(self.now_s)


@pytest.fixture
def setup() -> LinkFixture:
    return LinkFixture()


def test_idle_link_is_not_closed_for_silence(setup):
    setup.wait(60.0)
    assert not setup.transport.closing


def test_silent_link_is_pinged_then_suspected_then_connected_again(setup):
    setup.call()
    sent = len(setup.transport.written)
    setup.wait(PING_AFTER_S + 0.01)
    assert len(setup.transport.written) > sent
    assert setup.member.can_receive_calls(setup.now_s)
    setup.wait(SUSPECT_AFTER_S - PING_AFTER_S)
    assert not setup.member.can_receive_calls(setup.now_s)
    assert setup.link.connects == 0
    setup.wait(SILENCE_TIMEOUT_S - SUSPECT_AFTER_S)
    assert setup.link.connects == 1
    assert not setup.transport.closing
    assert setup.replies == []


def test_calls_fail_when_silent_peer_accepts_no_connection(setup):
    setup.call()
    setup.call(idempotent=False)
    setup.fall_silent()
    setup.link._handle_connect_failure(ConnectionRefusedError())
    assert setup.transport.closing
    assert [reply.outcome for reply in setup.replies] == [Outcome.MAY_HAVE_RUN] * 2
    assert not setup.link.is_up()
    assert not setup.member.can_receive_calls(setup.now_s)


def test_calls_continue_when_peer_sends_a_frame_before_connect_fails(setup):
    setup.call()
    setup.fall_silent()
    setup.link.handle_frame(FrameKind.PING, ttypes.RelayConfigRequest(0))
    setup.link._handle_connect_failure(TimeoutError())
    assert not setup.transport.closing
    assert setup.replies == []
    assert setup.member.can_receive_calls(setup.now_s)


def test_calls_switch_to_second_connection_when_only_that_receives_frames(setup):
    sequences = [setup.call(), setup.call(idempotent=False)]
    setup.link.incarnation = "first"
    setup.fall_silent()
    second = setup.open_second()
    second.handle_frame(FrameKind.HELLO, ttypes.RelayHello(incarnation="first"))
    setup.wait(SWITCH_AFTER_S / 2)
    assert not setup.transport.closing
    setup.wait(SWITCH_AFTER_S)
    assert setup.transport.closing
    calls = read_calls(second.transport)
    assert [call.sequence for call in calls] == sequences
    assert all(call.resumed for call in calls)
    assert setup.member.can_receive_calls(setup.now_s)
    second.handle_frame(
        FrameKind.REPLY,
        ttypes.RelayReply(sequences[0], Outcome.ANSWERED, None, 200, b"", b"", 0, 0),
    )
    assert [reply.status for reply in setup.replies] == [200]


def test_calls_stay_when_first_connection_receives_a_frame_again(setup):
    setup.call()
    setup.fall_silent()
    second = setup.open_second()
    second.handle_frame(FrameKind.HELLO, ttypes.RelayHello())
    setup.link.handle_frame(FrameKind.PING, ttypes.RelayConfigRequest(0))
    assert second.transport.closing
    setup.wait(SWITCH_AFTER_S + 0.01)
    assert not setup.transport.closing
    assert read_calls(second.transport) == []
    assert setup.member.can_receive_calls(setup.now_s)


def test_calls_wait_for_peer_that_accepts_connections_but_sends_nothing(setup):
    sequence = setup.call()
    setup.fall_silent()
    second = setup.open_second()
    for _ in range(50):
        setup.wait(CHECK_INTERVAL_S)
    assert setup.replies == []
    assert setup.link.connects == 1
    assert not setup.transport.closing
    assert not second.transport.closing
    # The silent peer gets no new calls, even after the pending call is cancelled.
    setup.link.cancel(sequence)
    assert not setup.member.can_receive_calls(setup.now_s)
    setup.call()
    assert not setup.member.can_receive_calls(setup.now_s)


def test_calls_switch_at_once_when_first_connection_breaks(setup):
    setup.call()
    setup.fall_silent()
    second = setup.open_second()
    setup.link._connection.connection_lost(None)
    assert [call.resumed for call in read_calls(second.transport)] == [True]


def test_second_connection_is_opened_again_after_it_breaks(setup):
    setup.call()
    setup.fall_silent()
    setup.open_second().connection_lost(None)
    setup.wait(CHECK_INTERVAL_S)
    assert setup.link.connects == 2
    assert setup.replies == []


@pytest.mark.parametrize("idempotent", [True, False])
def test_call_is_resumed_a_limited_number_of_times(setup, idempotent):
    setup.call(idempotent)
    for _ in range(MAX_RESUMES):
        setup.link._connection.connection_lost(None)
        assert setup.replies == []
        setup.open_second()
    setup.link._connection.connection_lost(None)
    assert setup.replies[0].outcome is Outcome.MAY_HAVE_RUN


def test_repeated_silence_of_a_peer_is_logged_at_most_once_per_interval(setup):
    lines = []
    sink = logger.add(lines.append, filter="eelgrassmount.relay.link")
    started_s = setup.now_s
    try:
        while setup.now_s < started_s + 2 * SILENCE_LOG_INTERVAL_S - 1.0:
            setup.call()
            setup.fall_silent()
            setup.link.handle_frame(FrameKind.PING, ttypes.RelayConfigRequest(0))
    finally:
        logger.remove(sink)
    assert [line.record["message"] for line in lines] == ["link silent"] * 2
    assert lines[0].record["extra"]["action"] == "waits"


def test_any_frame_ends_the_suspicion(setup):
    setup.call()
    setup.wait(SUSPECT_AFTER_S + 0.01)
    setup.link.handle_frame(FrameKind.PING, ttypes.RelayConfigRequest(0))
    assert setup.member.can_receive_calls(setup.now_s)
    setup.wait(SUSPECT_AFTER_S - 0.01)
    assert not setup.transport.closing


@pytest.mark.parametrize("idempotent", [True, False])
def test_call_is_resumed_when_its_connection_breaks(setup, idempotent):
    sequence = setup.call(idempotent)
    setup.link._connection.connection_lost(None)
    assert setup.replies == []
    assert setup.link.connects == 1
    assert setup.link.pending_calls[sequence].frame.resumed


def test_unsent_call_has_not_run(setup):
    setup.link._connection = None
    setup.call()
    setup.link._fail_all()
    assert setup.replies[0].outcome is Outcome.NOT_RUN


def test_cancelled_call_is_announced_to_peer_and_gets_no_reply(setup):
    sequence = setup.call()
    sent = len(setup.transport.written)
    setup.link.cancel(sequence)
    assert len(setup.transport.written) > sent
    setup.link._handle_reply(ttypes.RelayReply(sequence, 0, None, 200, b"", b"", 0, 0))
    assert setup.replies == []


def test_local_pause_is_not_taken_for_silence_of_the_peer(setup):
    """After a local pause, timers run before received bytes are read.

    Without a check, all peers would seem silent at once.
    """
    setup.call()
    setup.wait(CHECK_INTERVAL_S)
    sent = len(setup.transport.written)
    setup.now_s += SILENCE_TIMEOUT_S * 2
    assert setup.member.can_receive_calls(setup.now_s)
    setup.wait(0.0)
    assert setup.member.can_receive_calls(setup.now_s)
    assert setup.link.connects == 0
    assert len(setup.transport.written) > sent
    # Silence is measured from the end of the pause.
    setup.wait(CHECK_INTERVAL_S)
    setup.wait(CHECK_INTERVAL_S)
    assert not setup.member.can_receive_calls(setup.now_s)
    # A frame on the second connection before a pause doesn't switch the calls at once.
    setup.fall_silent()
    setup.open_second().handle_frame(FrameKind.HELLO, ttypes.RelayHello())
    setup.wait(SILENCE_TIMEOUT_S * 2)
    assert not setup.transport.closing
    setup.wait(CHECK_INTERVAL_S)
    setup.wait(CHECK_INTERVAL_S)
    assert setup.transport.closing
