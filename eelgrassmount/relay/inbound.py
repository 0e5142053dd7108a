"""Inbound links: calls from other nodes to the backend server of this node."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from attrs import define, field
from loguru import logger

from eelgrassmount.gen import ttypes
from eelgrassmount.relay.frames import FrameConnection, FrameKind, encode_frame
from eelgrassmount.relay.heartbeats import MS_PER_S
from eelgrassmount.relay.job import Job
from eelgrassmount.relay.messages import Call, Origin, Outcome, Reply
from eelgrassmount.verdict import Reason

if TYPE_CHECKING:
    from collections.abc import Callable

    from eelgrassmount.errors import BadFrameError
    from eelgrassmount.relay.dispatcher import Dispatcher
    from eelgrassmount.relay.frames import FrameHandler
    from eelgrassmount.relay.routes import Route

# How long a reply is stored for a sender that resumes its call.
REPLY_RETENTION_S = 6.0
# How long the highest sequence of a disconnected sender is stored. Must exceed the
# timeout of every route, so that a resumed call is recognized.
SENDER_RETENTION_S = 600.0
# How long idempotent runs continue after their link broke, until the sender reconnects.
# Runs that nobody waits for must end within half a second.
REJOIN_TIMEOUT_S = 0.3
# A sender that has sent no frame for longer gets only the reports sent to all senders.
ACTIVE_WINDOW_S = 3.0
# Members of an enum are slow to look up.
_CALL = FrameKind.CALL
_CANCEL = FrameKind.CANCEL
_HELLO = FrameKind.HELLO
_REPLY = FrameKind.REPLY


@define(eq=False, repr=False)
class ReceivedCall:
    """A call from another node: its running job, or its stored reply."""

    key: tuple[str, int]
    connection: InboundConnection
    job: Job | None = None
    reply: Reply | None = None
    finished_s: float = 0.0


@define
class SenderSequence:
    """The highest sequence of a sender, and when the sender was last connected."""

    latest: int
    last_connected_s: float


@define(eq=False, repr=False)
class InboundLinks:
    """Accepts links from other nodes.

    A call is identified by its sender, including the sender's incarnation, and its
    sequence, so that a call that arrives twice, over any connections, is recognized.
    Replies are stored for calls that are not idempotent, and for calls that finished
    while their sender was disconnected. ``senders`` holds the highest sequence of each
    sender.
    """

    incarnation: str
    dispatcher: Dispatcher
    clock: Callable[[], float]
    find_route: Callable[[str, bool], Route]
    make_hello: Callable[[], ttypes.RelayHello]
    register_peer: Callable[[ttypes.RelayHello], bool]
    handle_frame: FrameHandler
    accepting: bool = True
    connections: set[InboundConnection] = field(factory=set)
    received_calls: dict[tuple[str, int], ReceivedCall] = field(factory=dict)
    senders: dict[str, SenderSequence] = field(factory=dict)
    _server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen on the address, raising `OSError` if it can't be bound."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: InboundConnection(self), host, port, backlog=512, reuse_address=True
        )

    def end(self) -> None:
        """Stop listening and abort all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.abort()

    def broadcast(self, kind: FrameKind, struct: Any, only_active: bool = True) -> None:
        """Send a frame to the active senders, or to all connected ones."""
        frame = encode_frame(kind, struct)
        for connection in (
            self._list_active_connections() if only_active else self.connections
        ):
            connection.send_encoded(frame)

    def count_active_senders(self) -> int:
        """Return the number of connections that received a frame recently."""
        return len(self._list_active_connections())

    def _list_active_connections(self) -> list[InboundConnection]:
        oldest_s = self.clock() - ACTIVE_WINDOW_S
        return [one for one in self.connections if one.last_received_s > oldest_s]

    def record_sequence(self, sender: str, sequence: int) -> None:
        """Record the sequence of a received call."""
        sender_sequence = self.senders.get(sender)
        if sender_sequence is None:
            self.senders[sender] = SenderSequence(sequence, self.clock())
        else:
            sender_sequence.latest = max(sequence, sender_sequence.latest)

    def find_latest_sequence(self, sender: str) -> int:
        """Return the highest sequence of a sender, or 0 if the sender is unknown."""
        sender_sequence = self.senders.get(sender)
        return 0 if sender_sequence is None else sender_sequence.latest

    def expire(self) -> None:
        """Delete replies and senders whose retention time has passed."""
        now_s = self.clock()
        self._expire_senders(now_s)
        expired = [
            key
            for key, received in self.received_calls.items()
            if received.reply is not None
            and now_s - received.finished_s > REPLY_RETENTION_S
        ]
        for key in expired:
            del self.received_calls[key]

    def _expire_senders(self, now_s: float) -> None:
        present = {connection.sender for connection in self.connections}
        for sender, sender_sequence in list(self.senders.items()):
            if sender in present:
                sender_sequence.last_connected_s = now_s
            elif now_s - sender_sequence.last_connected_s > SENDER_RETENTION_S:
                del self.senders[sender]

    def count_open(self) -> int:
        """Return the number of open calls, plus connections with unsent bytes."""
        return sum(
            len(connection.jobs) + connection.is_sending()
            for connection in self.connections
        )


class InboundConnection(FrameConnection):
    """A connection that another node has opened."""

    def __init__(self, inbound_links: InboundLinks):
        super().__init__()
        self.inbound_links = inbound_links
        self.jobs: dict[int, Job] = {}
        self.sender = ""
        self.last_received_s = inbound_links.clock()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send a hello (called by the event loop)."""
        super().connection_made(transport)
        self.inbound_links.connections.add(self)
        self.send(FrameKind.HELLO, self.inbound_links.make_hello())

    def handle_connection_lost(self) -> None:
        """Cancel idempotent runs unless the sender resumes them in time."""
        if self.jobs:
            self._schedule_drop(self.inbound_links.clock())
        else:
            self._drop()

    def _schedule_drop(self, waiting_since_s: float) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(REJOIN_TIMEOUT_S, self._drop_unless_paused, waiting_since_s)

    def _drop_unless_paused(self, waiting_since_s: float) -> None:
        """Drop the remaining jobs, or wait longer if this process was paused."""
        now_s = self.inbound_links.clock()
        if now_s - waiting_since_s > 2 * REJOIN_TIMEOUT_S:
            self._schedule_drop(now_s)
        else:
            self._drop()

    def _drop(self) -> None:
        self.inbound_links.connections.discard(self)
        for sequence, job in list(self.jobs.items()):
            if job.call.route.idempotent:
                self._cancel(sequence)
        self.jobs.clear()

    def handle_bad_frame(self, error: BadFrameError) -> None:
        """Log that the peer sent an invalid frame."""
        logger.warning("bad frame", peer=self.sender, cause=str(error))

    def handle_frame(self, kind: FrameKind, struct: Any) -> None:
        """Handle a frame from the peer."""
        self.last_received_s = self.inbound_links.clock()
        if kind is _CALL:
            self._handle_call(struct)
        elif kind is _CANCEL:
            self._cancel(struct.sequence)
        elif kind is _HELLO:
            self.sender = f"{struct.node_name}/{struct.incarnation}"
            if self.inbound_links.register_peer(struct):
                self.send(FrameKind.CONFIG_REQUEST, ttypes.RelayConfigRequest(0))
        elif kind is FrameKind.PING:
            self.send(FrameKind.PING, struct)
        else:
            self.inbound_links.handle_frame(kind, struct, self.send)

    def _handle_call(self, frame: ttypes.RelayCall) -> None:
        if self._resume_call(frame):
            return
        sequence = frame.sequence
        received = ReceivedCall((self.sender, sequence), self)
        job = Job(self._read_call(frame), lambda reply: self._finish(received, reply))
        received.job = job
        self.inbound_links.received_calls[received.key] = received
        self.inbound_links.record_sequence(self.sender, sequence)
        self.jobs[sequence] = job
        if self.inbound_links.accepting:
            self.inbound_links.dispatcher.submit(job)
        else:
            job.ended = True
            job.done(Reply(Outcome.NOT_RUN, Reason.DRAINING))

    def _resume_call(self, frame: ttypes.RelayCall) -> bool:
        """Match a call with an earlier one; return whether it needs no new run."""
        received = self.inbound_links.received_calls.get((self.sender, frame.sequence))
        if received is not None:
            self._reattach(received, frame)
            return True
        if self._may_have_run(frame):
            reply = Reply(Outcome.MAY_HAVE_RUN, Reason.PEER_LOST)
            self._send_reply(frame.sequence, reply)
            return True
        return False

    def _reattach(self, received: ReceivedCall, frame: ttypes.RelayCall) -> None:
        if received.reply is not None:
            self._send_reply(frame.sequence, received.reply)
        elif frame.resumed:
            # A duplicate that is not marked comes late from an abandoned connection.
            received.connection.jobs.pop(frame.sequence, None)
            received.connection = self
            self.jobs[frame.sequence] = received.job

    def _may_have_run(self, frame: ttypes.RelayCall) -> bool:
        """Return whether an unknown call may have run before.

        A resumed call for another incarnation of this node may have run there. A sender
        numbers its calls in increasing order, so that a call whose reply has expired is
        recognized by its sequence.
        """
        if frame.resumed and frame.incarnation != self.inbound_links.incarnation:
            return True
        return frame.sequence <= self.inbound_links.find_latest_sequence(self.sender)

    def _read_call(self, frame: ttypes.RelayCall) -> Call:
        now_s = self.inbound_links.clock()
        return Call(
            frame.request_id,
            self.inbound_links.find_route(frame.route_name, frame.idempotent),
            frame.service_name,
            frame.caller_service,
            frame.method,
            frame.target,
            frame.head,
            frame.body,
            now_s,
            now_s + frame.remaining_ms / 1000,
            Origin(frame.priority, frame.inner, frame.repeated, frame.left),
            frame.asked_before,
            frame.again,
        )

    def _finish(self, received: ReceivedCall, reply: Reply) -> None:
        idempotent = received.job.call.route.idempotent
        # The job is no longer needed: a sender that resumes the call needs the reply.
        received.job = None
        sequence = received.key[1]
        connection = received.connection
        awaited = connection.jobs.pop(sequence, None) is not None
        if idempotent and not (awaited and connection.closed):
            self.inbound_links.received_calls.pop(received.key, None)
        else:
            received.reply = reply
            received.finished_s = self.inbound_links.clock()
        if awaited:
            connection._send_reply(sequence, reply)

    def _cancel(self, sequence: int) -> None:
        job = self.jobs.pop(sequence, None)
        if job is None:
            return
        self.inbound_links.dispatcher.cancel(job)
        received = self.inbound_links.received_calls.get((self.sender, sequence))
        if received is not None and received.job is job and job.ended:
            # The dispatcher does not call back for a job cancelled in its queue.
            received.job = None
            del self.inbound_links.received_calls[received.key]

    def _send_reply(self, sequence: int, reply: Reply) -> None:
        dispatcher = self.inbound_links.dispatcher
        self.send(
            _REPLY,
            ttypes.RelayReply(
                sequence,
                int(reply.outcome),
                reply.reason,
                reply.status,
                reply.head,
                reply.body,
                dispatcher.in_flight,
                dispatcher.queued,
                round(reply.wait_s * MS_PER_S) if reply.wait_s else None,
                reply.moved_to or None,
            ),
        )
