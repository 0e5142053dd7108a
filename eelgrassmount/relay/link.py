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
    from eelgrassmount.relay.frames import FrameTaker
    from eelgrassmount.relay.members import Member
    from eelgrassmount.relay.messages import Call

# within a region a connection takes a few milliseconds
CONNECT_LIMIT_S = 0.4
# it is waited out in so many looks, the last of them without a pause of this node: the
# limit may have passed when a paused node goes on, whose system has the connection
CONNECT_LOOKS = 4
CONNECT_LOOK_S = CONNECT_LIMIT_S / CONNECT_LOOKS
# a link with open calls is asked for a sign of life after so long, gets no further
# calls when it stays silent, and in the end a second connection shows whether the node
# still lives, so that a VM without power keeps no call for long
PING_AFTER_S = 0.15
SUSPECT_AFTER_S = 0.3
SILENCE_LIMIT_S = 0.5
# a node that goes on after a pause reads both connections within milliseconds; calls
# move only if the first stays silent for this long after a word on the second
MOVE_AFTER_S = 0.1
# after a longer pause between looks this node has stood still itself, and the others
# have had no chance to be heard
OWN_PAUSE_S = 0.25
# calls are asked for again over new connections at most so often: a reset of several
# connections in a row must not give up reads while a server is at work
MAX_RESUMES = 5
# a node that stands still again and again is told of once in this time, since many
# others tell of it
SILENT_LINE_S = 5.0


@define(eq=False)
class OpenCall:
    """A call without a reply, as it went out."""

    frame: Any
    call: Call
    done: Callable[[Reply], None]
    written: bool = False
    resumes: int = 0


@define(eq=False)
class LinkEvents:
    """What a node does with the frames that are not replies.

    ``numbers`` gives each call of the node its own, since other nodes know a call by
    its sender and number, over whichever link it comes.
    """

    make_hello: Callable[[], ttypes.RelayHello]
    note_hello: Callable[[Member, ttypes.RelayHello], None]
    note_report: Callable[[Member, ttypes.RelayReport], None]
    take_frame: FrameTaker
    numbers: Iterator[int] = field(factory=lambda: itertools.count(1))


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
    events: LinkEvents
    open_calls: dict[int, OpenCall] = field(factory=dict)
    incarnation: str = ""
    heard_s: float = 0.0
    pinged: bool = False
    retired: bool = False
    closed: bool = False
    _connection: LinkConnection | None = None
    _second: LinkConnection | None = None
    _connecting: asyncio.Task[None] | None = None
    _looked_s: float = math.inf
    _line_s: float = -SILENT_LINE_S

    def call(self, call: Call, done: Callable[[Reply], None]) -> int:
        """Send a call; ``done`` is called once with its reply."""
        sequence = next(self.events.numbers)
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
        opened = OpenCall(frame, call, done)
        self.open_calls[sequence] = opened
        if len(self.open_calls) == 1 and self._second is None:
            self.heard_s = self.clock()
        if self._connection is not None:
            self._write(opened)
        else:
            self.connect()
        return sequence

    def cancel(self, sequence: int) -> None:
        """Tell the other node that nobody waits for a call any more."""
        opened = self.open_calls.pop(sequence, None)
        if opened is not None and opened.written and self._connection is not None:
            self._connection.send(FrameKind.CANCEL, ttypes.RelayCancel(sequence))
        self._close_retired()

    def is_up(self) -> bool:
        """Tell whether there is a connection."""
        return self._connection is not None

    def is_suspect(self, now_s: float) -> bool:
        """Tell whether calls wait and the other node does not even answer a ping."""
        if not self.open_calls and self._second is None:
            return False
        if now_s - self._looked_s > OWN_PAUSE_S:
            return False
        return now_s - self.heard_s > SUSPECT_AFTER_S

    def send(self, kind: FrameKind, struct: Any) -> None:
        """Send a frame that needs no reply, if there is a connection."""
        if self._connection is not None:
            self._connection.send(kind, struct)

    def connect(self) -> None:
        """Open the connection unless there is one."""
        if self._connection is None:
            self._begin_connecting()

    def _begin_connecting(self) -> None:
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
            for sequence, opened in self.open_calls.items()
            if not opened.written
        ]
        for sequence in waiting:
            opened = self.open_calls.pop(sequence, None)
            if opened is not None:
                opened.done(Reply(Fate.NOT_RUN, Reason.PEER_LOST))
        self._close_retired()

    def _close_retired(self) -> None:
        if self.retired and not self.open_calls and not self.closed:
            self.close()

    def close(self) -> None:
        """Drop the link and fail its calls."""
        self.closed = True
        self._drop_connections()
        self._fail_all()

    def check_silence(self, now_s: float) -> None:
        """Try a second connection when calls wait and nothing is heard."""
        if now_s - self._looked_s > OWN_PAUSE_S:
            self._forgive_pause(now_s)
        self._looked_s = now_s
        if self._connection is None:
            return
        second = self._second
        if second is not None:
            if second.heard_s is not None and now_s - second.heard_s > MOVE_AFTER_S:
                self._move()
            return
        if not self.open_calls:
            return
        silent_s = now_s - self.heard_s
        if silent_s > SILENCE_LIMIT_S:
            self._note_silent(now_s)
            self._begin_connecting()
        elif silent_s > PING_AFTER_S:
            self._ping()

    def _ping(self) -> None:
        if not self.pinged:
            self.pinged = True
            self._connection.send(FrameKind.PING, ttypes.RelayConfigRequest(0))

    def _forgive_pause(self, now_s: float) -> None:
        """Ask at once, and count the silence from there."""
        self.heard_s = max(self.heard_s, now_s - PING_AFTER_S)
        if self.open_calls and self._connection is not None:
            self._ping()
        if self._second is not None and self._second.heard_s is not None:
            self._second.heard_s = now_s

    def _note_silent(self, now_s: float) -> None:
        if self._connecting is None and now_s - self._line_s > SILENT_LINE_S:
            self._line_s = now_s
            self._tell_silence("waits", now_s)

    def _tell_silence(self, action: str, now_s: float) -> None:
        logger.warning(
            "link silent",
            peer=self.member.name,
            action=action,
            silent_s=round(now_s - self.heard_s, 3),
            open=len(self.open_calls),
        )

    async def _connect(self) -> None:
        loop = asyncio.get_running_loop()
        host, _, port = self.member.address.partition(":")
        opening = loop.create_task(
            loop.create_connection(lambda: LinkConnection(self), host, int(port))
        )
        try:
            await self._wait_for(opening)
            _, connection = opening.result()
        except OSError as error:
            self._connecting = None
            self._note_refused(error)
            return
        finally:
            opening.cancel()
        self._connecting = None
        self._note_accepted(connection)

    async def _wait_for(self, opening: asyncio.Task[Any]) -> None:
        """Wait for a connection, raising `TimeoutError` when it takes too long."""
        for look in itertools.count(1):
            begun_s = self.clock()
            await asyncio.wait({opening}, timeout=CONNECT_LOOK_S)
            paused = self.clock() - begun_s > 2 * CONNECT_LOOK_S
            if opening.done():
                return
            if look >= CONNECT_LOOKS and not paused:
                raise TimeoutError(f"no connection in {CONNECT_LIMIT_S} s")

    def _note_refused(self, error: OSError) -> None:
        """Give up the node, unless it was heard on the first connection meanwhile."""
        now_s = self.clock()
        if self._connection is not None:
            if now_s - self.heard_s <= SILENCE_LIMIT_S:
                logger.info(
                    "second connection failed",
                    peer=self.member.name,
                    cause=repr(error),
                )
                return
            self._tell_silence("lost", now_s)
            self._drop_connections()
        if self.member.connect_failures == 0:
            logger.warning("node unreachable", peer=self.member.name, cause=repr(error))
        self.member.mark_unreachable(now_s)
        self._fail_all()

    def _note_accepted(self, connection: LinkConnection) -> None:
        if self.closed:
            connection.abort()
            self._fail_all()
        elif self._connection is None:
            if connection.closed:
                self._fail_all()
                return
            connection.send(FrameKind.HELLO, self.events.make_hello())
            self._use(connection)
        elif self.clock() - self.heard_s <= SILENCE_LIMIT_S:
            connection.abort()
        elif not connection.closed:
            connection.send(FrameKind.HELLO, self.events.make_hello())
            self._second = connection

    def _use(self, connection: LinkConnection) -> None:
        """Send all open calls over a connection, and what follows."""
        self._connection = connection
        self.heard_s = self.clock()
        self.pinged = False
        for opened in list(self.open_calls.values()):
            self._write(opened)

    def _move(self) -> None:
        """Go on with the second connection in place of the first."""
        self._tell_silence("moved", self.clock())
        second = self._second
        self._second = None
        self._drop_connections()
        self._mark_resumed()
        self._use(second)

    def _drop_connections(self) -> None:
        for connection in (self._connection, self._second):
            if connection is not None:
                connection.abort()
        self._connection = None
        self._second = None

    def _write(self, opened: OpenCall) -> None:
        frame = opened.frame
        frame.remaining_ms = max(0, int((opened.call.deadline_s - self.clock()) * 1000))
        if not opened.resumes:
            frame.incarnation = self.incarnation
        opened.written = True
        self._connection.send(FrameKind.CALL, frame)

    def note_lost(self, connection: LinkConnection) -> None:
        """Replace a connection that has ended."""
        if connection is self._second:
            self._second = None
        if connection is not self._connection:
            return
        self._connection = None
        if self.closed:
            return
        self._mark_resumed()
        second = self._second
        if second is not None:
            self._second = None
            self._use(second)
        elif self.open_calls:
            self.connect()

    def _mark_resumed(self) -> None:
        for sequence, opened in list(self.open_calls.items()):
            if opened.resumes < MAX_RESUMES:
                opened.resumes += 1
                opened.frame.resumed = True
            elif self.open_calls.pop(sequence, None) is not None:
                opened.done(Reply(Fate.MAY_HAVE_RUN, Reason.PEER_LOST))

    def _fail_all(self) -> None:
        calls = list(self.open_calls.values())
        self.open_calls.clear()
        for opened in calls:
            fate = Fate.MAY_HAVE_RUN if opened.written else Fate.NOT_RUN
            opened.done(Reply(fate, Reason.PEER_LOST))
        self._close_retired()

    def note_frame(self, kind: FrameKind, struct: Any) -> None:
        """Handle a frame of the other node, which shows that it goes on."""
        self.heard_s = self.clock()
        self.pinged = False
        second = self._second
        if second is not None:
            self._second = None
            second.abort()
        self._take(kind, struct)

    def note_second(self, second: LinkConnection, kind: FrameKind, struct: Any) -> None:
        """Handle a frame that came over the second connection."""
        if second.heard_s is None:
            second.heard_s = self.clock()
        self._take(kind, struct)

    def _take(self, kind: FrameKind, struct: Any) -> None:
        if kind is FrameKind.REPLY:
            self._note_reply(struct)
        elif kind is FrameKind.REPORT:
            self.events.note_report(self.member, struct)
        elif kind is FrameKind.HELLO:
            self._note_hello(struct)
        else:
            self.events.take_frame(kind, struct, self.send)

    def _note_reply(self, reply: ttypes.RelayReply) -> None:
        load = self.member.load
        load.in_flight = reply.in_flight
        load.queued = reply.queued
        self.member.sent_since_report = 0
        opened = self.open_calls.pop(reply.sequence, None)
        if opened is not None:
            reason = Reason(reply.reason) if reply.reason else None
            fate = Fate(reply.outcome)
            opened.done(Reply(fate, reason, reply.status, reply.head, reply.body))
        self._close_retired()

    def _note_hello(self, hello: ttypes.RelayHello) -> None:
        self.member.mark_reachable()
        self.incarnation = hello.incarnation
        if not self.retired:
            self.events.note_hello(self.member, hello)

    def note_bad(self, error: BadFrameError) -> None:
        """Say that the other node sent what is no frame."""
        logger.warning("bad frame", peer=self.member.name, cause=str(error))


class LinkConnection(FrameConnection):
    """One connection of a link."""

    def __init__(self, link: PeerLink):
        super().__init__()
        self.link = link
        self.heard_s: float | None = None

    def note_frame(self, kind: FrameKind, struct: Any) -> None:
        """Hand a frame to the link."""
        if self is self.link._second:
            self.link.note_second(self, kind, struct)
        else:
            self.link.note_frame(kind, struct)

    def note_bad(self, error: BadFrameError) -> None:
        """Hand the error to the link."""
        self.link.note_bad(error)

    def note_lost(self) -> None:
        """Let the link replace the connection."""
        self.link.note_lost(self)
