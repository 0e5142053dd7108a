"""Reading and writing frames on a byte stream."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from attrs import define, field

from eelgrassmount.errors import OverlongFrameError, TruncatedFrameError
from eelgrassmount.peer.codec import FRAME_HEADER_BYTES, decode_payload, encode_frame

if TYPE_CHECKING:
    from anyio.abc import ByteReceiveStream, ByteSendStream

    from eelgrassmount.gen.ttypes import Message
    from eelgrassmount.peer.traffic import Traffic

_CHUNK_BYTES = 65536


@define
class FrameReader:
    """Reads messages from a byte stream."""

    stream: ByteReceiveStream
    max_frame_bytes: int
    received: Traffic | None = None
    _buffer: bytearray = field(factory=bytearray)

    async def read(self) -> Message:
        """Return the next message.

        Raises `BadFrameError` for an invalid frame, and `anyio.EndOfStream` when
        the other side has closed the stream.
        """
        while True:
            payload = self._extract_payload()
            if payload is not None:
                return decode_payload(payload)
            await self._receive()

    def _extract_payload(self) -> bytes | None:
        buffer = self._buffer
        if len(buffer) < FRAME_HEADER_BYTES:
            return None
        length = int.from_bytes(buffer[:FRAME_HEADER_BYTES], "big")
        if length > self.max_frame_bytes:
            raise OverlongFrameError(
                f"{length} bytes, allowed are {self.max_frame_bytes}"
            )
        end = FRAME_HEADER_BYTES + length
        if len(buffer) < end:
            return None
        payload = bytes(buffer[FRAME_HEADER_BYTES:end])
        del buffer[:end]
        if self.received is not None:
            self.received.add(1, end)
        return payload

    async def _receive(self) -> None:
        try:
            self._buffer += await self.stream.receive(_CHUNK_BYTES)
        except anyio.EndOfStream:
            if self._buffer:
                raise TruncatedFrameError("the stream ended within a frame") from None
            raise


@define(eq=False)
class FrameWriter:
    """Queues messages and sends them in order, in batches, from one task."""

    stream: ByteSendStream
    max_frame_bytes: int
    max_queued_bytes: int
    sent: Traffic | None = None
    _queue: list[bytes] = field(factory=list)
    _queued_bytes: int = 0
    _wake: anyio.Event = field(factory=anyio.Event)
    closed: bool = False

    def write(self, message: Message) -> bool:
        """Queue a message; return whether it was accepted.

        A message is refused if the writer is closed, if more than
        ``max_queued_bytes`` are queued, or if the message is too long.
        """
        if self.closed or self._queued_bytes > self.max_queued_bytes:
            return False
        frame = encode_frame(message)
        if len(frame) > self.max_frame_bytes + FRAME_HEADER_BYTES:
            return False
        self._queue.append(frame)
        self._queued_bytes += len(frame)
        self._wake.set()
        return True

    async def run(self) -> None:
        """Send queued messages until the stream breaks or the writer is closed."""
        while not self.closed:
            await self._wake.wait()
            self._wake = anyio.Event()
            batch = b"".join(self._queue)
            if self.sent is not None:
                self.sent.add(len(self._queue), len(batch))
            self._queue.clear()
            self._queued_bytes = 0
            await self.stream.send(batch)

    def close(self) -> None:
        """Refuse further messages and end `run`."""
        self.closed = True
        self._wake.set()
