"""The listener that other nodes connect to."""

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
from eelgrassmount.peer.link import MAX_WAITING_BYTES
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

GREETING_LIMIT_S = 5.0
_CLOSED = (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError)


@define(eq=False)
class PeerListener:
    """Accepts links of other nodes and hands their messages to handlers.

    A frame that can't be taken is counted and costs its connection, nothing
    else.
    """

    identity: Identity
    address: Address
    max_frame_bytes: int
    handlers: Handlers
    metrics: Metrics
    _group: Background | None = field(default=None)

    async def start(self, group: Background) -> None:
        """Bind the address and accept links in the given task group.

        Raises `ListenError` when the address can't be bound.
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
                await self._greet(stream)
        except OverlongFrameError:
            self._reject(FrameReason.OVER_LONG)
        except TruncatedFrameError:
            self._reject(FrameReason.TRUNCATED)
        except BadFrameError:
            self._reject(FrameReason.MALFORMED)
        except _CLOSED:
            pass
        except Exception:
            # the other links must not go with this one
            self.metrics.internal_errors.inc()
            logger.exception("a link of a peer failed")

    def _reject(self, reason: FrameReason) -> None:
        self.metrics.rejected_frames.labels(reason).inc()

    async def _greet(self, stream: SocketStream) -> None:
        received = make_traffic(self.metrics, Direction.RECEIVED)
        reader = FrameReader(stream, self.max_frame_bytes, received)
        with anyio.move_on_after(GREETING_LIMIT_S) as limit:
            greeting = await reader.read()
        if limit.cancelled_caught:
            return
        if greeting.hello is None:
            self._reject(FrameReason.UNEXPECTED)
            return
        sent = make_traffic(self.metrics, Direction.SENT)
        writer = FrameWriter(stream, self.max_frame_bytes, MAX_WAITING_BYTES, sent)
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
                self._reject(FrameReason.UNEXPECTED)
                continue
            # in the node's own group: a call outlives the link it came on
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
        # the asker waits: without its link it asks again over another one
        await anyio.aclose_forcefully(writer.stream)
