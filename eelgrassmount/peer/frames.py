"""Reading and writing frames on a byte stream."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from attrs import define, field

from eelgrassmount.errors import BadFrameError, OverlongFrameError
from eelgrassmount.peer.codec import FRAME_HEADER_BYTES, decode_payload, encode_frame

if TYPE_CHECKING:
    from anyio.abc import ByteReceiveStream, ByteSendStream

    from eelgrassmount.gen.ttypes import Message

_CHUNK_BYTES = 65536


@define
class FrameReader:
    """Cuts a byte stream into messages."""

    stream: ByteReceiveStream
    max_frame_bytes: int
    _buffer: bytearray = field(factory=bytearray)

    async def read(self) -> Message:
        """Return the next message.

        Raises `BadFrameError` for a frame that can't be read, and
        `anyio.EndOfStream` when the other side has closed the stream.
        """
        header = await self._take(FRAME_HEADER_BYTES)
        length = int.from_bytes(header, "big")
        if length > self.max_frame_bytes:
            raise OverlongFrameError(
                f"{length} bytes, allowed are {self.max_frame_bytes}"
            )
        return decode_payload(await self._take(length))

    async def _take(self, length: int) -> bytes:
        while len(self._buffer) < length:
            try:
                self._buffer += await self.stream.receive(_CHUNK_BYTES)
            except anyio.EndOfStream:
                self._check_end()
                raise
        taken = bytes(self._buffer[:length])
        del self._buffer[:length]
        return taken

    def _check_end(self) -> None:
        if self._buffer:
            raise BadFrameError("the stream ended within a frame")


@define(eq=False)
class FrameWriter:
    """Sends messages in order from one task, joining those that wait."""

    stream: ByteSendStream
    max_waiting_bytes: int
    _waiting: list[bytes] = field(factory=list)
    _waiting_bytes: int = 0
    _wake: anyio.Event = field(factory=anyio.Event)
    closed: bool = False

    def write(self, message: Message) -> bool:
        """Queue a message; ``False`` when the stream takes no more."""
        if self.closed or self._waiting_bytes > self.max_waiting_bytes:
            return False
        frame = encode_frame(message)
        self._waiting.append(frame)
        self._waiting_bytes += len(frame)
        self._wake.set()
        return True

    async def run(self) -> None:
        """Send what is queued until the stream breaks."""
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            batch = b"".join(self._waiting)
            self._waiting.clear()
            self._waiting_bytes = 0
            await self.stream.send(batch)
