"""A link to a node that falls silent, without sockets."""

from __future__ import annotations

import pytest

from eelgrassmount.gen import ttypes
from eelgrassmount.relay.frames import FrameKind
from eelgrassmount.relay.link import (
    PING_AFTER_S,
    SILENCE_LIMIT_S,
    SUSPECT_AFTER_S,
    LinkConnection,
    LinkEvents,
    PeerLink,
)
from eelgrassmount.relay.members import Member
from eelgrassmount.relay.messages import Fate
from tests.http1.transports import MemoryTransport
from tests.relay.samples import make_call, make_route


class UnconnectedLink(PeerLink):
    """Counts the connections that it would open."""

    connects = 0

    def connect(self) -> None:
        self.connects += 1


class Setup:
    def __init__(self):
        self.now_s = 100.0
        self.member = Member("peer", "127.0.0.1:1", "near", "list")
        events = LinkEvents(
            ttypes.RelayHello,
            lambda member, hello: None,
            lambda member, report: None,
            lambda kind, struct, send: None,
        )
        self.link = UnconnectedLink(self.member, lambda: self.now_s, events)
        self.member.link = self.link
        self.open()
        self.replies = []

    def open(self):
        connection = LinkConnection(self.link)
        self.transport = MemoryTransport(connection)
        connection.transport = self.transport
        self.link._connection = connection
        self.link.heard_s = self.now_s

    def call(self, idempotent=True):
        route = make_route(idempotent=idempotent)
        return self.link.call(make_call(route, self.now_s), self.replies.append)

    def wait(self, seconds):
        self.now_s += seconds
        self.link.check_silence(self.now_s)


@pytest.fixture
def setup() -> Setup:
    return Setup()


def test_idle_link_may_be_silent(setup):
    setup.wait(60.0)
    assert not setup.transport.closing


def test_silent_link_is_pinged_suspected_and_given_up(setup):
    setup.call()
    sent = len(setup.transport.written)
    setup.wait(PING_AFTER_S + 0.01)
    assert len(setup.transport.written) > sent
    assert setup.member.can_take(setup.now_s)
    setup.wait(SUSPECT_AFTER_S - PING_AFTER_S)
    assert not setup.member.can_take(setup.now_s)
    setup.wait(SILENCE_LIMIT_S - SUSPECT_AFTER_S)
    assert setup.transport.closing
    assert setup.replies[0].fate is Fate.MAY_HAVE_RUN


def test_any_frame_is_a_sign_of_life(setup):
    setup.call()
    setup.wait(SUSPECT_AFTER_S + 0.01)
    setup.link.note_frame(FrameKind.PING, ttypes.RelayConfigRequest(0))
    assert setup.member.can_take(setup.now_s)
    setup.wait(SUSPECT_AFTER_S - 0.01)
    assert not setup.transport.closing


def test_work_that_must_not_run_twice_is_asked_for_again(setup):
    sequence = setup.call(idempotent=False)
    setup.wait(SILENCE_LIMIT_S + 0.01)
    assert setup.replies == []
    assert setup.link.connects == 1
    assert setup.link.open_calls[sequence].frame.resumed


def test_call_that_never_left_has_not_run(setup):
    setup.link._connection = None
    setup.call()
    setup.link._fail_all()
    assert setup.replies[0].fate is Fate.NOT_RUN


def test_cancelled_call_is_told_to_the_other_node_and_not_answered(setup):
    sequence = setup.call()
    sent = len(setup.transport.written)
    setup.link.cancel(sequence)
    assert len(setup.transport.written) > sent
    setup.link._note_reply(ttypes.RelayReply(sequence, 0, None, 200, b"", b"", 0, 0))
    assert setup.replies == []
