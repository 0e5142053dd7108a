"""The link to another node, which carries calls there and replies back."""

from __future__ import annotations

import asyncio
import itertools
import math
from typing import TYPE_CHECKING, Any

from attrs import define, field
from loguru import logger

from eelgrassmount.gen import ttypes
from eelgrassmount.relay.frames import FrameConnection, FrameKind
from eelgrassmount.relay.messages import Fate, Reply
from eelgrassmount.verdict import Reason

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from eelgrassmount.errors import BadFrameError
    from eelgrassmount.relay.frames import FrameHandler
    from eelgrassmount.relay.members import Member
    from eelgrassmount.relay.messages import Call

# within a region a connection takes a few milliseconds
CONNECT_TIMEOUT_S = 0.4
# it is waited out in so many looks, the last of them without a pause of this node: the
# limit may have passed when a paused node goes on, whose system has the connection
CONNECT_POLLS = 4
CONNECT_POLL_INTERVAL_S = CONNECT_TIMEOUT_S / CONNECT_POLLS
# a link with open calls is asked for a sign of life after so long, gets no further
# calls when it stays silent, and in the end a second connection shows whether the node
# still lives, so that a VM without power keeps no call for long
PING_AFTER_S = 0.15
SUSPECT_AFTER_S = 0.3
SILENCE_TIMEOUT_S = 0.5
# a node that goes on after a pause reads both connections within milliseconds; calls
# move only if the first stays silent for this long after a word on the second
SWITCH_AFTER_S = 0.1
# after a longer pause between looks this node has stood still itself, and the others
# have had no chance to be heard
LOCAL_PAUSE_S = 0.25
# calls are asked for again over new connections at most so often: a reset of several
# connections in a row must not give up reads while a server is at work
MAX_RESUMES = 5
# a node that stands still again and again is told of once in this time, since many
# others tell of it
SILENCE_LOG_INTERVAL_S = 5.0


@define(eq=False)
class PendingCall:
    """A call without a reply, as it went out."""

    frame: Any
    call: Call
    done: Callable[[Reply], None]
    written: bool = False
    resumes: int = 0


@define(eq=False)
class LinkHandlers:
    """What a node does with the frames that are not replies.

    ``sequence_numbers`` gives each call of the node its own, since other nodes know a call by
    its sender and number, over whichever link it comes.
    """

    make_hello: Callable[[], ttypes.RelayHello]
    handle_hello: Callable[[Member, ttypes.RelayHello], None]
    handle_report: Callable[[Member, ttypes.RelayReport], None]
    handle_frame: FrameHandler
    sequence_numbers: Iterator[int] = field(factory=lambda: itertools.count(1))


@define(eq=False)
class PeerLink:
    """Calls that go to one other node, over one connection at a time.

    A connection that breaks is replaced. One that falls silent is kept, as the node
    may only stand still, while a second is opened beside it: whichever is heard first
    goes on. Calls without a reply are sent over the new one, marked as resumed: the
    same incarnation of the node knows whether it has them already. They are given up
    when the node takes no connection.
    """

    member: Member
    clock: Callable[[], float]
    events: LinkHandlers
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
        """Send a call; ``done`` is called once with its reply."""
        sequence = next(self.events.sequence_numbers)
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
            call.origin.inner,
            call.origin.repeated,
            call.origin.left,
            call.asked_before,
            call.again,
        )
        opened = PendingCall(frame, call, done)
        self.pending_calls[sequence] = opened
        if len(self.pending_calls) == 1 and self._second_connection is None:
            self.last_received_s = self.clock()
        if self._connection is not None:
            self._write(opened)
        else:
            self.connect()
        return sequence

    def cancel(self, sequence: int) -> None:
        """Tell the other node that nobody waits for a call any more."""
        opened = self.pending_calls.pop(sequence, None)
        if opened is not None and opened.written and self._connection is not None:
            self._connection.send(FrameKind.CANCEL, ttypes.RelayCancel(sequence))
        self._close_retired()

    def is_up(self) -> bool:
        """Tell whether there is a connection."""
        return self._connection is not None

    def is_suspect(self, now_s: float) -> bool:
        """Tell whether calls wait and the other node does not even answer a ping."""
        if not self.pending_calls and self._second_connection is None:
            return False
        if now_s - self._last_check_s > LOCAL_PAUSE_S:
            return False
        return now_s - self.last_received_s > SUSPECT_AFTER_S

    def send(self, kind: FrameKind, struct: Any) -> None:
        """Send a frame that needs no reply, if there is a connection."""
        if self._connection is not None:
            self._connection.send(kind, struct)

    def connect(self) -> None:
        """Open the connection unless there is one."""
        if self._connection is None:
            self._start_connecting()

    def _start_connecting(self) -> None:
        if self._connecting is None and not self.closed:
            loop = asyncio.get_running_loop()
            self._connecting = loop.create_task(self._connect())

    def retire(self) -> None:
        """Close the link once the calls that have gone out have ended.

        A server may be at work on them, whatever is now known of its node.
        """
        self.retired = True
        waiting = [
            sequence
            for sequence, opened in self.pending_calls.items()
            if not opened.written
        ]
        for sequence in waiting:
            opened = self.pending_calls.pop(sequence, None)
            if opened is not None:
                opened.done(Reply(Fate.NOT_RUN, Reason.PEER_LOST))
        self._close_retired()

    def _close_retired(self) -> None:
        if self.retired and not self.pending_calls and not self.closed:
            self.close()

    def close(self) -> None:
        """Drop the link and fail its calls."""
        self.closed = True
        self._drop_connections()
        self._fail_all()

    def check_silence(self, now_s: float) -> None:
        """Try a second connection when calls wait and nothing is heard."""
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
        """Ask at once, and count the silence from there."""
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
        """Wait for a connection, raising `TimeoutError` when it takes too long."""
        for look in itertools.count(1):
            started_s = self.clock()
            await asyncio.wait({opening}, timeout=CONNECT_POLL_INTERVAL_S)
            paused = self.clock() - started_s > 2 * CONNECT_POLL_INTERVAL_S
            if opening.done():
                return
            if look >= CONNECT_POLLS and not paused:
                raise TimeoutError(f"no connection in {CONNECT_TIMEOUT_S} s")

    def _handle_connect_failure(self, error: OSError) -> None:
        """Give up the node, unless it was heard on the first connection meanwhile."""
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
        if self.member.failures == 0:
            logger.warning("node unreachable", peer=self.member.name, cause=repr(error))
        self.member.note_unreachable(now_s)
        self._fail_all()

    def _handle_connected(self, connection: LinkConnection) -> None:
        if self.closed:
            connection.abort()
            self._fail_all()
        elif self._connection is None:
            if connection.closed:
                self._fail_all()
                return
            connection.send(FrameKind.HELLO, self.events.make_hello())
            self._activate(connection)
        elif self.clock() - self.last_received_s <= SILENCE_TIMEOUT_S:
            connection.abort()
        elif not connection.closed:
            connection.send(FrameKind.HELLO, self.events.make_hello())
            self._second_connection = connection

    def _activate(self, connection: LinkConnection) -> None:
        """Send all open calls over a connection, and what follows."""
        self._connection = connection
        self.last_received_s = self.clock()
        self.ping_sent = False
        for opened in list(self.pending_calls.values()):
            self._write(opened)

    def _switch_to_second(self) -> None:
        """Go on with the second connection in place of the first."""
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

    def _write(self, opened: PendingCall) -> None:
        frame = opened.frame
        frame.remaining_ms = max(0, int((opened.call.deadline_s - self.clock()) * 1000))
        if not opened.resumes:
            frame.incarnation = self.incarnation
        opened.written = True
        self._connection.send(FrameKind.CALL, frame)

    def handle_connection_lost(self, connection: LinkConnection) -> None:
        """Replace a connection that has ended."""
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
        for sequence, opened in list(self.pending_calls.items()):
            if opened.resumes < MAX_RESUMES:
                opened.resumes += 1
                opened.frame.resumed = True
            elif self.pending_calls.pop(sequence, None) is not None:
                opened.done(Reply(Fate.MAY_HAVE_RUN, Reason.PEER_LOST))

    def _fail_all(self) -> None:
        calls = list(self.pending_calls.values())
        self.pending_calls.clear()
        for opened in calls:
            fate = Fate.MAY_HAVE_RUN if opened.written else Fate.NOT_RUN
            opened.done(Reply(fate, Reason.PEER_LOST))
        self._close_retired()

    def handle_frame(self, kind: FrameKind, struct: Any) -> None:
        """Handle a frame of the other node, which shows that it goes on."""
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
        """Handle a frame that came over the second connection."""
        if second.first_received_s is None:
            second.first_received_s = self.clock()
        self._dispatch_frame(kind, struct)

    def _dispatch_frame(self, kind: FrameKind, struct: Any) -> None:
        if kind is FrameKind.REPLY:
            self._handle_reply(struct)
        elif kind is FrameKind.REPORT:
            self.events.handle_report(self.member, struct)
        elif kind is FrameKind.HELLO:
            self._handle_hello(struct)
        else:
            self.events.handle_frame(kind, struct, self.send)

    def _handle_reply(self, reply: ttypes.RelayReply) -> None:
        load = self.member.load
        load.in_flight = reply.in_flight
        load.queued = reply.queued
        self.member.sent_since = 0
        opened = self.pending_calls.pop(reply.sequence, None)
        if opened is not None:
            reason = Reason(reply.reason) if reply.reason else None
            fate = Fate(reply.outcome)
            opened.done(Reply(fate, reason, reply.status, reply.head, reply.body))
        self._close_retired()

    def _handle_hello(self, hello: ttypes.RelayHello) -> None:
        self.member.note_reachable()
        self.incarnation = hello.incarnation
        if not self.retired:
            self.events.handle_hello(self.member, hello)

    def handle_bad_frame(self, error: BadFrameError) -> None:
        """Say that the other node sent what is no frame."""
        logger.warning("bad frame", peer=self.member.name, cause=str(error))


class LinkConnection(FrameConnection):
    """One connection of a link."""

    def __init__(self, link: PeerLink):
        super().__init__()
        self.link = link
        self.first_received_s: float | None = None

    def handle_frame(self, kind: FrameKind, struct: Any) -> None:
        """Hand a frame to the link."""
        if self is self.link._second_connection:
            self.link.handle_second_frame(self, kind, struct)
        else:
            self.link.handle_frame(kind, struct)

    def handle_bad_frame(self, error: BadFrameError) -> None:
        """Hand the error to the link."""
        self.link.handle_bad_frame(error)

    def handle_connection_lost(self) -> None:
        """Let the link replace the connection."""
        self.link.handle_connection_lost(self)
