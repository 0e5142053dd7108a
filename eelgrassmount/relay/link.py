"""A link to another node: sends calls to it and receives their replies."""

from __future__ import annotations

import asyncio
import itertools
import math
from typing import TYPE_CHECKING, Any

from attrs import define, field
from loguru import logger

from eelgrassmount.gen import ttypes
from eelgrassmount.relay.frames import FrameConnection, FrameKind
from eelgrassmount.relay.heartbeats import MS_PER_S
from eelgrassmount.relay.messages import Outcome, Reply
from eelgrassmount.verdict import Reason

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from eelgrassmount.errors import BadFrameError
    from eelgrassmount.relay.frames import FrameHandler
    from eelgrassmount.relay.members import Member
    from eelgrassmount.relay.messages import Call
    from eelgrassmount.relay.server_notices import ServerNotice

CONNECT_TIMEOUT_S = 0.4
# The wait for a connection is split into polls, so that a pause of this process is not
# taken for an unreachable node.
CONNECT_POLLS = 4
CONNECT_POLL_INTERVAL_S = CONNECT_TIMEOUT_S / CONNECT_POLLS
# Silence of a peer with pending calls before it is pinged, before it gets no further
# calls, and before a second connection is tried.
PING_AFTER_S = 0.15
SUSPECT_AFTER_S = 0.3
SILENCE_TIMEOUT_S = 0.5
# How long the first connection may stay silent once the second has received a frame: a
# peer that resumes after a pause answers on both at nearly the same time.
SWITCH_AFTER_S = 0.1
# A longer time between two checks means that this process was paused, so that silence
# of its peers says nothing.
LOCAL_PAUSE_S = 0.25
# Number of times that a call is resent over a new connection before it fails. Several
# resets in a row must not give up reads while a server works on them.
MAX_RESUMES = 5
# Minimum time between log lines on the silence of one peer.
SILENCE_LOG_INTERVAL_S = 5.0
_OUTCOMES = {int(outcome): outcome for outcome in Outcome}
# Members of an enum are slow to look up.
_CALL = FrameKind.CALL
_REPLY = FrameKind.REPLY
_REPORT = FrameKind.REPORT
_HELLO = FrameKind.HELLO


@define(eq=False, repr=False)
class PendingCall:
    """A call that has no reply yet, and the frame that carries it."""

    frame: Any
    call: Call
    done: Callable[[Reply], None]
    written: bool = False
    resumes: int = 0


@define(eq=False, repr=False)
class LinkHandlers:
    """Handlers for the frames of a link that are not replies.

    ``sequence_numbers`` is shared by all links of the node: peers identify a call by
    its sender and sequence number, whichever link carries it.
    """

    make_hello: Callable[[ServerNotice | None], ttypes.RelayHello]
    handle_hello: Callable[[Member, ttypes.RelayHello], None]
    handle_report: Callable[[Member, ttypes.RelayReport], None]
    handle_frame: FrameHandler
    sequence_numbers: Iterator[int] = field(factory=lambda: itertools.count(1))


@define(eq=False, repr=False)
class PeerLink:
    """Sends calls to one other node, over one connection at a time.

    A broken connection is replaced. A silent connection stays open, since the peer may
    only be paused, and a second connection is opened beside it. If the second receives
    a frame and the first stays silent, the link switches to the second. Pending calls
    are then resent, marked as resumed, so that the same incarnation of the peer can
    match them with the calls it already has. They fail when the peer accepts no
    connection.
    """

    member: Member
    clock: Callable[[], float]
    handlers: LinkHandlers
    pending_calls: dict[int, PendingCall] = field(factory=dict)
    incarnation: str = ""
    last_received_s: float = 0.0
    ping_sent: bool = False
    retired: bool = False
    closed: bool = False
    _connection: LinkConnection | None = None
    _second_connection: LinkConnection | None = None
    _connecting: asyncio.Task[None] | None = None
    _last_check_s: float = math.inf
    _last_silence_log_s: float = -SILENCE_LOG_INTERVAL_S

    def call(self, call: Call, done: Callable[[Reply], None]) -> int:
        """Send a call and return its sequence number.

        ``done`` is called once, with the reply.
        """
        sequence = next(self.handlers.sequence_numbers)
        frame = ttypes.RelayCall(
            sequence,
            call.request_id,
            call.route.name,
            call.service,
            call.caller_service,
            0,
            call.origin.priority,
            call.route.idempotent,
            False,
            call.method,
            call.target,
            call.head,
            call.body,
            "",
            call.origin.downstream,
            call.origin.within_retry,
            call.origin.remaining_runs,
            call.counted_as_demand,
            call.is_retry,
        )
        pending = PendingCall(frame, call, done)
        self.pending_calls[sequence] = pending
        if len(self.pending_calls) == 1 and self._second_connection is None:
            self.last_received_s = self.clock()
        if self._connection is not None:
            self._write(pending)
        else:
            self.connect()
        return sequence

    def cancel(self, sequence: int) -> None:
        """Drop a pending call and request its cancellation by the peer."""
        pending = self.pending_calls.pop(sequence, None)
        if pending is not None and pending.written and self._connection is not None:
            self._connection.send(FrameKind.CANCEL, ttypes.RelayCancel(sequence))
        if self.retired:
            self._close_retired()

    def is_up(self) -> bool:
        """Return whether the link is connected."""
        return self._connection is not None

    def is_suspect(self, now_s: float) -> bool:
        """Return whether a peer with pending calls is silent and ignores pings."""
        if not self.pending_calls and self._second_connection is None:
            return False
        if now_s - self._last_check_s > LOCAL_PAUSE_S:
            return False
        return now_s - self.last_received_s > SUSPECT_AFTER_S

    def send(self, kind: FrameKind, struct: Any) -> None:
        """Send a frame that needs no reply; drop the frame if the link is down."""
        if self._connection is not None:
            self._connection.send(kind, struct)

    def connect(self) -> None:
        """Start connecting unless the link is connected."""
        if self._connection is None:
            self._start_connecting()

    def _start_connecting(self) -> None:
        if self._connecting is None and not self.closed:
            loop = asyncio.get_running_loop()
            self._connecting = loop.create_task(self._connect())

    def retire(self) -> None:
        """Fail the calls not yet sent, and close the link after the last other reply.

        The backend server of a removed node may still be running the calls sent to it.
        """
        self.retired = True
        unsent = [
            sequence
            for sequence, pending in self.pending_calls.items()
            if not pending.written
        ]
        for sequence in unsent:
            pending = self.pending_calls.pop(sequence, None)
            if pending is not None:
                pending.done(Reply(Outcome.NOT_RUN, Reason.PEER_LOST))
        self._close_retired()

    def _close_retired(self) -> None:
        if self.retired and not self.pending_calls and not self.closed:
            self.close()

    def close(self) -> None:
        """Close the link and fail its pending calls."""
        self.closed = True
        self._drop_connections()
        self._fail_all()

    def check_silence(self, now_s: float) -> None:
        """Ping a silent peer, then try a second connection and switch to it."""
        if now_s - self._last_check_s > LOCAL_PAUSE_S:
            self._restart_silence_timers(now_s)
        self._last_check_s = now_s
        if self._connection is None:
            return
        second = self._second_connection
        if second is not None:
            if (
                second.first_received_s is not None
                and now_s - second.first_received_s > SWITCH_AFTER_S
            ):
                self._switch_to_second()
            return
        if not self.pending_calls:
            return
        silent_s = now_s - self.last_received_s
        if silent_s > SILENCE_TIMEOUT_S:
            self._log_silence_once(now_s)
            self._start_connecting()
        elif silent_s > PING_AFTER_S:
            self._ping()

    def _ping(self) -> None:
        if not self.ping_sent:
            self.ping_sent = True
            self._connection.send(FrameKind.PING, ttypes.RelayConfigRequest(0))

    def _restart_silence_timers(self, now_s: float) -> None:
        """Ping the peer after a pause of this node, and measure silence from now."""
        self.last_received_s = max(self.last_received_s, now_s - PING_AFTER_S)
        if self.pending_calls and self._connection is not None:
            self._ping()
        if (
            self._second_connection is not None
            and self._second_connection.first_received_s is not None
        ):
            self._second_connection.first_received_s = now_s

    def _log_silence_once(self, now_s: float) -> None:
        if (
            self._connecting is None
            and now_s - self._last_silence_log_s > SILENCE_LOG_INTERVAL_S
        ):
            self._last_silence_log_s = now_s
            self._log_silence("waits", now_s)

    def _log_silence(self, action: str, now_s: float) -> None:
        logger.warning(
            "link silent",
            peer=self.member.name,
            action=action,
            silent_s=round(now_s - self.last_received_s, 3),
            open=len(self.pending_calls),
        )

    async def _connect(self) -> None:
        loop = asyncio.get_running_loop()
        host, _, port = self.member.address.partition(":")
        opening = loop.create_task(
            loop.create_connection(lambda: LinkConnection(self), host, int(port))
        )
        try:
            await self._wait_until_connected(opening)
            _, connection = opening.result()
        except OSError as error:
            self._connecting = None
            self._handle_connect_failure(error)
            return
        finally:
            opening.cancel()
        self._connecting = None
        self._handle_connected(connection)

    async def _wait_until_connected(self, opening: asyncio.Task[Any]) -> None:
        """Wait until ``opening`` is done; raise `TimeoutError` if it takes too long.

        A poll during which this process was paused does not count as the last one.
        """
        for poll in itertools.count(1):
            started_s = self.clock()
            await asyncio.wait({opening}, timeout=CONNECT_POLL_INTERVAL_S)
            paused = self.clock() - started_s > 2 * CONNECT_POLL_INTERVAL_S
            if opening.done():
                return
            if poll >= CONNECT_POLLS and not paused:
                raise TimeoutError(f"connecting took more than {CONNECT_TIMEOUT_S} s")

    def _handle_connect_failure(self, error: OSError) -> None:
        """Fail all calls, unless the first connection has received a frame since."""
        now_s = self.clock()
        if self._connection is not None:
            if now_s - self.last_received_s <= SILENCE_TIMEOUT_S:
                logger.info(
                    "second connection failed",
                    peer=self.member.name,
                    cause=repr(error),
                )
                return
            self._log_silence("lost", now_s)
            self._drop_connections()
        if self.member.connect_failures == 0:
            logger.warning("node unreachable", peer=self.member.name, cause=repr(error))
        self.member.mark_unreachable(now_s)
        self._fail_all()

    def _handle_connected(self, connection: LinkConnection) -> None:
        if self.closed:
            connection.abort()
            self._fail_all()
        elif self._connection is None:
            if connection.closed:
                self._fail_all()
                return
            self._send_hello(connection)
            self._activate(connection)
        elif self.clock() - self.last_received_s <= SILENCE_TIMEOUT_S:
            connection.abort()
        elif not connection.closed:
            self._send_hello(connection)
            self._second_connection = connection

    def _send_hello(self, connection: LinkConnection) -> None:
        hello = self.handlers.make_hello(self.member.notice)
        connection.send(FrameKind.HELLO, hello)

    def _activate(self, connection: LinkConnection) -> None:
        """Make a connection the current one and send all pending calls over it."""
        self._connection = connection
        self.last_received_s = self.clock()
        self.ping_sent = False
        for pending in list(self.pending_calls.values()):
            self._write(pending)

    def _switch_to_second(self) -> None:
        """Replace the silent first connection by the second."""
        self._log_silence("moved", self.clock())
        second = self._second_connection
        self._second_connection = None
        self._drop_connections()
        self._mark_resumed()
        self._activate(second)

    def _drop_connections(self) -> None:
        for connection in (self._connection, self._second_connection):
            if connection is not None:
                connection.abort()
        self._connection = None
        self._second_connection = None

    def _write(self, pending: PendingCall) -> None:
        frame = pending.frame
        frame.remaining_ms = max(
            0, int((pending.call.deadline_s - self.clock()) * 1000)
        )
        if not pending.resumes:
            frame.incarnation = self.incarnation
        pending.written = True
        self._connection.send(_CALL, frame)

    def handle_connection_lost(self, connection: LinkConnection) -> None:
        """Replace a lost connection if calls are pending."""
        if connection is self._second_connection:
            self._second_connection = None
        if connection is not self._connection:
            return
        self._connection = None
        if self.closed:
            return
        self._mark_resumed()
        second = self._second_connection
        if second is not None:
            self._second_connection = None
            self._activate(second)
        elif self.pending_calls:
            self.connect()

    def _mark_resumed(self) -> None:
        for sequence, pending in list(self.pending_calls.items()):
            if pending.resumes < MAX_RESUMES:
                pending.resumes += 1
                pending.frame.resumed = True
            elif self.pending_calls.pop(sequence, None) is not None:
                pending.done(Reply(Outcome.MAY_HAVE_RUN, Reason.PEER_LOST))

    def _fail_all(self) -> None:
        calls = list(self.pending_calls.values())
        self.pending_calls.clear()
        for pending in calls:
            outcome = Outcome.MAY_HAVE_RUN if pending.written else Outcome.NOT_RUN
            pending.done(Reply(outcome, Reason.PEER_LOST))
        self._close_retired()

    def handle_frame(self, kind: FrameKind, struct: Any) -> None:
        """Handle a frame from the first connection and close the second one."""
        self.last_received_s = self.clock()
        self.ping_sent = False
        second = self._second_connection
        if second is not None:
            self._second_connection = None
            second.abort()
        self._dispatch_frame(kind, struct)

    def handle_second_frame(
        self, second: LinkConnection, kind: FrameKind, struct: Any
    ) -> None:
        """Handle a frame from the second connection."""
        if second.first_received_s is None:
            second.first_received_s = self.clock()
        self._dispatch_frame(kind, struct)

    def _dispatch_frame(self, kind: FrameKind, struct: Any) -> None:
        if kind is _REPLY:
            self._handle_reply(struct)
        elif kind is _REPORT:
            self.handlers.handle_report(self.member, struct)
        elif kind is _HELLO:
            self._handle_hello(struct)
        else:
            self.handlers.handle_frame(kind, struct, self.send)

    def _handle_reply(self, reply: ttypes.RelayReply) -> None:
        load = self.member.load
        load.in_flight = reply.in_flight
        load.queued = reply.queued
        self.member.sent_since_report = 0
        pending = self.pending_calls.pop(reply.sequence, None)
        if pending is not None:
            reason = Reason(reply.reason) if reply.reason else None
            outcome = _OUTCOMES[reply.outcome]
            wait_s = (reply.wait_ms or 0) / MS_PER_S
            pending.done(
                Reply(
                    outcome,
                    reason,
                    reply.status,
                    reply.head,
                    reply.body,
                    wait_s,
                    reply.moved_to or "",
                )
            )
        if self.retired:
            self._close_retired()

    def _handle_hello(self, hello: ttypes.RelayHello) -> None:
        self.member.mark_reachable()
        self.incarnation = hello.incarnation
        if not self.retired:
            self.handlers.handle_hello(self.member, hello)

    def handle_bad_frame(self, error: BadFrameError) -> None:
        """Log that the peer sent an invalid frame."""
        logger.warning("bad frame", peer=self.member.name, cause=str(error))


class LinkConnection(FrameConnection):
    """A connection of a `PeerLink`."""

    def __init__(self, link: PeerLink):
        super().__init__()
        self.link = link
        self.first_received_s: float | None = None

    def handle_frame(self, kind: FrameKind, struct: Any) -> None:
        """Pass a frame to the link."""
        if self is self.link._second_connection:
            self.link.handle_second_frame(self, kind, struct)
        else:
            self.link.handle_frame(kind, struct)

    def handle_bad_frame(self, error: BadFrameError) -> None:
        """Pass the error to the link."""
        self.link.handle_bad_frame(error)

    def handle_connection_lost(self) -> None:
        """Let the link replace the connection."""
        self.link.handle_connection_lost(self)
