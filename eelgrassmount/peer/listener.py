"""Listener for connections of other nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from attrs import define, field
from loguru import logger

from eelgrassmount.errors import (
    BadFrameError,
    ListenError,
    OverlongFrameError,
    TruncatedFrameError,
)
from eelgrassmount.gen.ttypes import Message
from eelgrassmount.metrics import Direction, FrameReason
from eelgrassmount.peer.frames import FrameReader, FrameWriter
from eelgrassmount.peer.link import MAX_QUEUED_BYTES
from eelgrassmount.peer.pool import make_hello
from eelgrassmount.peer.traffic import make_traffic

if TYPE_CHECKING:
    from anyio import MultiListener
    from anyio.abc import SocketStream

    from eelgrassmount.gen.ttypes import Hello
    from eelgrassmount.members.table import Identity
    from eelgrassmount.metrics import Metrics
    from eelgrassmount.peer.port import Handler, Handlers
    from eelgrassmount.util.addresses import Address
    from eelgrassmount.util.background import Background

HANDSHAKE_TIMEOUT_S = 5.0
_CLOSED = (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError)


@define(eq=False)
class PeerListener:
    """Accepts connections of other nodes and passes their messages to handlers.

    An invalid frame is counted and closes its connection only.
    """

    identity: Identity
    address: Address
    max_frame_bytes: int
    handlers: Handlers
    metrics: Metrics
    _group: Background | None = field(default=None)

    async def start(self, group: Background) -> None:
        """Bind the address and accept connections in the given task group.

        Raises `ListenError` if the address cannot be bound.
        """
        try:
            listener = await anyio.create_tcp_listener(
                local_host=self.address.host, local_port=self.address.port
            )
        except OSError as error:
            raise ListenError(str(self.address), str(error)) from error
        self._group = group
        group.start_soon(self._accept, listener)

    async def _accept(self, listener: MultiListener[SocketStream]) -> None:
        async with listener:
            await listener.serve(self._serve)

    async def _serve(self, stream: SocketStream) -> None:
        try:
            async with stream:
                await self._handshake(stream)
        except OverlongFrameError:
            self._count_rejected_frame(FrameReason.OVER_LONG)
        except TruncatedFrameError:
            self._count_rejected_frame(FrameReason.TRUNCATED)
        except BadFrameError:
            self._count_rejected_frame(FrameReason.MALFORMED)
        except _CLOSED:
            pass
        except Exception:
            # a fault in one connection must not close the others
            self.metrics.internal_errors.inc()
            logger.exception("connection of a peer failed")

    def _count_rejected_frame(self, reason: FrameReason) -> None:
        self.metrics.rejected_frames.labels(reason).inc()

    async def _handshake(self, stream: SocketStream) -> None:
        received = make_traffic(self.metrics, Direction.RECEIVED)
        reader = FrameReader(stream, self.max_frame_bytes, received)
        with anyio.move_on_after(HANDSHAKE_TIMEOUT_S) as limit:
            greeting = await reader.read()
        if limit.cancelled_caught:
            return
        if greeting.hello is None:
            self._count_rejected_frame(FrameReason.UNEXPECTED)
            return
        sent = make_traffic(self.metrics, Direction.SENT)
        writer = FrameWriter(stream, self.max_frame_bytes, MAX_QUEUED_BYTES, sent)
        hello = make_hello(self.identity)
        writer.write(Message(sequence=greeting.sequence, reply=True, hello=hello))
        self._group.start_soon(_send, writer, stream)
        try:
            await self._read_all(reader, writer, greeting.hello)
        finally:
            writer.close()

    async def _read_all(
        self, reader: FrameReader, writer: FrameWriter, sender: Hello
    ) -> None:
        while True:
            message = await reader.read()
            if message.ping is not None and not message.ping.address:
                message.reply = True
                writer.write(message)
                continue
            handler = self._find_handler(message)
            if handler is None:
                self._count_rejected_frame(FrameReason.UNEXPECTED)
                continue
            # in the node's task group, since a call continues after its connection
            # is closed
            self._group.start_soon(_handle, handler, sender, message, writer)

    def _find_handler(self, message: Message) -> Handler | None:
        for name, handler in self.handlers.items():
            if getattr(message, name) is not None:
                return handler
        return None


async def _send(writer: FrameWriter, stream: SocketStream) -> None:
    try:
        await writer.run()
    except _CLOSED:
        pass
    finally:
        writer.close()
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(stream)


async def _handle(
    handler: Handler, sender: Hello, message: Message, writer: FrameWriter
) -> None:
    reply = await handler(sender, message)
    if reply is None:
        return
    reply.sequence = message.sequence
    reply.reply = True
    if not writer.write(reply):
        # the reply could not be queued: without the connection, the sender learns
        # of the loss and can retry
        await anyio.aclose_forcefully(writer.stream)
