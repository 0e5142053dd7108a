"""One connection to another node, with many questions outstanding on it."""

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

# pings on a quiet link with questions outstanding, for each silence limit
PINGS_PER_SILENCE = 4
MAX_WAITING_BYTES = 16 * 1024 * 1024


@define(eq=False)
class Waiter:
    """One question outstanding on a link."""

    asked_s: float
    done: anyio.Event = field(factory=anyio.Event)
    reply: Message | None = None


@define(eq=False)
class Link:
    """A connection that this node opened to another one.

    Replies are matched to questions by sequence number; one that matches none
    is dropped and counted.
    """

    address: str
    hello: Hello
    writer: FrameWriter
    reader: FrameReader
    stream: SocketStream
    clock: Clock
    metrics: Metrics
    _waiters: dict[int, Waiter] = field(factory=dict)
    _sequences: itertools.count = field(factory=lambda: itertools.count(1))
    _received_s: float = 0.0
    _pinged_s: float = 0.0
    _unanswered_s: float | None = None
    lost: bool = False

    async def request(self, message: Message, timeout_s: float) -> Message | None:
        """Send a message and return its reply, ``None`` after ``timeout_s``.

        Raises `LinkLostError` when the link ends first.
        """
        if self.lost:
            raise LinkLostError(self.address, sent=False)
        sequence = next(self._sequences)
        message.sequence = sequence
        message.reply = False
        waiter = Waiter(self.clock.read())
        self._waiters[sequence] = waiter
        try:
            if not self.writer.write(message):
                raise LinkLostError(self.address, sent=False)
            with anyio.move_on_after(timeout_s):
                await waiter.done.wait()
        finally:
            self._waiters.pop(sequence, None)
        if self.lost and waiter.reply is None:
            raise LinkLostError(self.address, sent=True)
        return waiter.reply

    def send(self, message: Message) -> bool:
        """Send a message that has no reply."""
        message.sequence = next(self._sequences)
        message.reply = False
        return not self.lost and self.writer.write(message)

    async def run(self) -> LinkReason:
        """Carry messages until the link ends and return why it ended."""
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
            self._unanswered_s = None
            self._deliver(message)

    def _deliver(self, message: Message) -> None:
        waiter = self._waiters.get(message.sequence)
        if waiter is None and message.ping is not None:
            return
        if waiter is None or not message.reply:
            self.metrics.dropped_answers.labels(DropReason.LATE).inc()
            return
        if waiter.reply is not None:
            self.metrics.dropped_answers.labels(DropReason.DOUBLED).inc()
            return
        waiter.reply = message
        waiter.done.set()

    def watch(self, silence_s: float) -> bool:
        """Ping a quiet link that is waited on; tell whether it went silent.

        Silence counts only from the first ping that was not answered, so that
        a process that was frozen itself looks at its links before it blames them.
        """
        if not self._waiters or self.lost:
            return False
        now_s = self.clock.read()
        interval_s = silence_s / PINGS_PER_SILENCE
        oldest_s = next(iter(self._waiters.values())).asked_s
        quiet_s = now_s - max(oldest_s, self._received_s)
        if quiet_s >= interval_s:
            self._ping(now_s, interval_s)
        if self._unanswered_s is None or quiet_s < silence_s:
            return False
        return now_s - self._unanswered_s >= silence_s / 2

    def _ping(self, now_s: float, interval_s: float) -> None:
        if now_s - self._pinged_s < interval_s:
            return
        self._pinged_s = now_s
        if self._unanswered_s is None:
            self._unanswered_s = now_s
        sequence = next(self._sequences)
        self.writer.write(Message(sequence=sequence, reply=False, ping=Ping(sequence)))

    def close(self) -> None:
        """End the link: everything outstanding on it is lost."""
        self.lost = True
        self.writer.close()
        for waiter in self._waiters.values():
            waiter.done.set()

    async def abort(self) -> None:
        """Close the link and its connection at once."""
        self.close()
        await anyio.aclose_forcefully(self.stream)
