"""Connection to another node that carries many requests at a time."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

import anyio
from attrs import define, field

from eelgrassmount.errors import BadFrameError, LinkLostError
from eelgrassmount.gen.ttypes import Message, Ping
from eelgrassmount.metrics import DropReason, LinkReason
from eelgrassmount.peer.frames import FrameReader, FrameWriter

if TYPE_CHECKING:
    from anyio.abc import SocketStream

    from eelgrassmount.gen.ttypes import Hello
    from eelgrassmount.metrics import Metrics
    from eelgrassmount.timers import Clock

# Pings in a silence timeout, on a silent link with pending requests.
PINGS_PER_SILENCE_TIMEOUT = 4
MAX_QUEUED_BYTES = 16 * 1024 * 1024


@define(eq=False)
class PendingRequest:
    """A request without a reply so far."""

    sent_s: float
    done: anyio.Event = field(factory=anyio.Event)
    reply: Message | None = None


@define(eq=False)
class Link:
    """A connection that this node opened to another node.

    Replies are matched to requests by sequence number. A reply without a pending
    request is dropped and counted.
    """

    address: str
    hello: Hello
    writer: FrameWriter
    reader: FrameReader
    stream: SocketStream
    clock: Clock
    metrics: Metrics
    _pending: dict[int, PendingRequest] = field(factory=dict)
    _sequences: itertools.count = field(factory=lambda: itertools.count(1))
    _received_s: float = 0.0
    _last_ping_s: float = 0.0
    _first_unanswered_ping_s: float | None = None
    lost: bool = False

    async def request(self, message: Message, timeout_s: float) -> Message | None:
        """Send a message and return its reply, or ``None`` after ``timeout_s``.

        Raises `LinkLostError` if the link closes first.
        """
        if self.lost:
            raise LinkLostError(self.address, sent=False)
        sequence = next(self._sequences)
        message.sequence = sequence
        message.reply = False
        pending = PendingRequest(self.clock.read())
        self._pending[sequence] = pending
        try:
            if not self.writer.write(message):
                raise LinkLostError(self.address, sent=False)
            with anyio.move_on_after(timeout_s):
                await pending.done.wait()
        finally:
            self._pending.pop(sequence, None)
        if self.lost and pending.reply is None:
            raise LinkLostError(self.address, sent=True)
        return pending.reply

    def send(self, message: Message) -> bool:
        """Send a message that has no reply."""
        message.sequence = next(self._sequences)
        message.reply = False
        return not self.lost and self.writer.write(message)

    async def run(self) -> LinkReason:
        """Send and receive messages until the link closes; return the reason."""
        self._received_s = self.clock.read()
        reason = LinkReason.CLOSED
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._send)
                reason = await self._receive()
                group.cancel_scope.cancel()
        finally:
            self.close()
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(self.stream)
        return reason

    async def _send(self) -> None:
        try:
            await self.writer.run()
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
            self.writer.close()

    async def _receive(self) -> LinkReason:
        while True:
            try:
                message = await self.reader.read()
            except BadFrameError:
                return LinkReason.BAD_FRAME
            except (
                anyio.EndOfStream,
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
            ):
                return LinkReason.SILENT if self.lost else LinkReason.CLOSED
            self._received_s = self.clock.read()
            self._first_unanswered_ping_s = None
            self._deliver(message)

    def _deliver(self, message: Message) -> None:
        pending = self._pending.get(message.sequence)
        if pending is None and message.ping is not None:
            return
        if pending is None or not message.reply:
            self.metrics.dropped_answers.labels(DropReason.LATE).inc()
            return
        if pending.reply is not None:
            self.metrics.dropped_answers.labels(DropReason.DOUBLED).inc()
            return
        pending.reply = message
        pending.done.set()

    def watch(self, silence_timeout_s: float) -> bool:
        """Ping a silent link with pending requests; return whether it timed out.

        The timeout also needs time to pass since the first unanswered ping.
        Otherwise a process that was paused would close links that work.
        """
        if not self._pending or self.lost:
            return False
        now_s = self.clock.read()
        interval_s = silence_timeout_s / PINGS_PER_SILENCE_TIMEOUT
        oldest_s = next(iter(self._pending.values())).sent_s
        quiet_s = now_s - max(oldest_s, self._received_s)
        if quiet_s >= interval_s:
            self._ping(now_s, interval_s)
        if self._first_unanswered_ping_s is None or quiet_s < silence_timeout_s:
            return False
        return now_s - self._first_unanswered_ping_s >= silence_timeout_s / 2

    def _ping(self, now_s: float, interval_s: float) -> None:
        if now_s - self._last_ping_s < interval_s:
            return
        self._last_ping_s = now_s
        if self._first_unanswered_ping_s is None:
            self._first_unanswered_ping_s = now_s
        sequence = next(self._sequences)
        self.writer.write(Message(sequence=sequence, reply=False, ping=Ping(sequence)))

    def close(self) -> None:
        """Close the link, which fails all pending requests."""
        self.lost = True
        self.writer.close()
        for pending in self._pending.values():
            pending.done.set()

    async def abort(self) -> None:
        """Close the link and its connection at once."""
        self.close()
        await anyio.aclose_forcefully(self.stream)
