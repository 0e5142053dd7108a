"""Frames of the links between nodes: a length, a kind and a thrift struct."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable
from enum import IntEnum
from typing import Any

from loguru import logger
from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from eelgrassmount.errors import BadFrameError, OverlongFrameError
from eelgrassmount.gen import ttypes
from eelgrassmount.http1.client import watch_silence
from eelgrassmount.relay.checks import check_struct

LENGTH_BYTES = 4
HEADER_BYTES = LENGTH_BYTES + 1
MAX_FRAME_BYTES = 128 * 1024 * 1024
# entries of one list; reports and records have some hundred. An entry may be written
# as one byte and takes some hundred once it is decoded
MAX_LIST_ENTRIES = 50_000


class FrameKind(IntEnum):
    """What a frame carries."""

    HELLO = 1
    CALL = 2
    REPLY = 3
    CANCEL = 4
    REPORT = 5
    SUSPECTS = 6
    CONFIG_REQUEST = 7
    CONFIG = 8
    PING = 9
    SUBSCRIBE = 10
    NEWS = 11
    QUOTA_ASK = 12
    QUOTA_GRANTS = 13
    QUOTA_BORROW = 14
    QUOTA_LOAN = 15


QUOTA_KINDS = frozenset(
    (
        FrameKind.QUOTA_ASK,
        FrameKind.QUOTA_GRANTS,
        FrameKind.QUOTA_BORROW,
        FrameKind.QUOTA_LOAN,
    )
)
_STRUCT_TYPES = {
    FrameKind.HELLO: ttypes.RelayHello,
    FrameKind.CALL: ttypes.RelayCall,
    FrameKind.REPLY: ttypes.RelayReply,
    FrameKind.CANCEL: ttypes.RelayCancel,
    FrameKind.REPORT: ttypes.RelayReport,
    FrameKind.SUSPECTS: ttypes.RelaySuspects,
    FrameKind.CONFIG_REQUEST: ttypes.RelayConfigRequest,
    FrameKind.CONFIG: ttypes.RelayConfig,
    FrameKind.PING: ttypes.RelayConfigRequest,
    FrameKind.SUBSCRIBE: ttypes.RelaySubscribe,
    FrameKind.NEWS: ttypes.RelayNews,
    FrameKind.QUOTA_ASK: ttypes.RelayQuotaAsk,
    FrameKind.QUOTA_GRANTS: ttypes.RelayQuotaGrants,
    FrameKind.QUOTA_BORROW: ttypes.RelayQuotaBorrow,
    FrameKind.QUOTA_LOAN: ttypes.RelayQuotaLoan,
}


# used for all structs, one after the other: to make one takes longer than to encode
_PROTOCOL = TBinaryProtocolAccelerated(
    TMemoryBuffer(),
    # a body may be as long as a frame; by the library's own limit, a longer one would
    # be taken for a bad frame and the link dropped
    string_length_limit=MAX_FRAME_BYTES,
    container_length_limit=MAX_LIST_ENTRIES,
)


# handles a frame; the function that it is given sends one back
FrameHandler = Callable[[FrameKind, Any, Callable[[FrameKind, Any], None]], None]


def encode_struct(struct: Any) -> bytes:
    """Return a thrift struct as bytes."""
    buffer = _PROTOCOL.trans = TMemoryBuffer()
    struct.write(_PROTOCOL)
    return buffer.getvalue()


def decode_struct(struct_type: Any, payload: bytes) -> Any:
    """Return a thrift struct, raising `BadFrameError` if there is none.

    All its fields are there and within their range, see `check_struct`.
    """
    struct = struct_type()
    _PROTOCOL.trans = TMemoryBuffer(payload)
    try:
        struct.read(_PROTOCOL)
    # the accelerated decoder raises many types on malformed input
    except Exception as error:
        raise BadFrameError(f"not a {struct_type.__name__}: {error!r}") from error
    check_struct(struct)
    return struct


def encode_frame(kind: FrameKind, struct: Any) -> bytes:
    """Return a whole frame."""
    payload = encode_struct(struct)
    return (len(payload) + 1).to_bytes(LENGTH_BYTES, "big") + bytes((kind,)) + payload


class FrameConnection(asyncio.Protocol, ABC):
    """A connection that carries frames; subclasses say what they mean."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.closed = False
        self._buffer = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Note the transport (called by the event loop)."""
        self.transport = transport
        watch_silence(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell that the connection is gone."""
        self.closed = True
        self.handle_connection_lost()

    def send(self, kind: FrameKind, struct: Any) -> None:
        """Send a frame; nothing is sent on a connection that is gone."""
        if not self.closed and self.transport is not None:
            self.transport.write(encode_frame(kind, struct))

    def send_encoded(self, frame: bytes) -> None:
        """Send a frame that is encoded already."""
        if not self.closed and self.transport is not None:
            self.transport.write(frame)

    def is_sending(self) -> bool:
        """Tell whether bytes wait for the other end to read."""
        if self.closed or self.transport is None:
            return False
        return self.transport.get_write_buffer_size() > 0

    def abort(self) -> None:
        """Drop the connection at once."""
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Cut the bytes into frames and hand each on."""
        buffer = self._buffer + data if self._buffer else data
        position = 0
        size = len(buffer)
        try:
            while size - position >= HEADER_BYTES:
                length = int.from_bytes(buffer[position : position + 4], "big")
                if not 1 <= length <= MAX_FRAME_BYTES:
                    raise OverlongFrameError(f"a frame of {length} bytes")
                end = position + LENGTH_BYTES + length
                if end > size:
                    break
                kind = buffer[position + LENGTH_BYTES]
                self._dispatch_frame(kind, buffer[position + HEADER_BYTES : end])
                position = end
        except BadFrameError as error:
            self.handle_bad_frame(error)
            self.abort()
            return
        self._buffer = buffer[position:] if position else buffer

    def _dispatch_frame(self, kind: int, payload: bytes) -> None:
        struct_type = _STRUCT_TYPES.get(kind)
        # kinds of later releases are skipped
        if struct_type is None:
            return
        struct = decode_struct(struct_type, payload)
        try:
            self.handle_frame(FrameKind(kind), struct)
        except Exception as error:
            # what this end believes of the link can't be trusted any more
            name = FrameKind(kind).name
            logger.exception("frame handler failed", kind=name)
            raise BadFrameError(f"the handler of {name} failed") from error

    @abstractmethod
    def handle_frame(self, kind: FrameKind, struct: Any) -> None:
        """Handle a frame."""

    @abstractmethod
    def handle_bad_frame(self, error: BadFrameError) -> None:
        """Handle bytes that are no frame; the connection is dropped after it."""

    @abstractmethod
    def handle_connection_lost(self) -> None:
        """Handle the end of the connection."""
