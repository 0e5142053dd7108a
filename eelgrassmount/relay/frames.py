"""Framing of the links between nodes: length, kind and an encoded thrift struct."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable
from enum import IntEnum
from struct import Struct
from typing import Any

from loguru import logger
from thrift.protocol import fastbinary
from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from eelgrassmount.errors import BadFrameError, OverlongFrameError
from eelgrassmount.gen import ttypes
from eelgrassmount.http1.client import enable_keep_alive
from eelgrassmount.relay.checks import check_struct

LENGTH_BYTES = 4
_HEADER = Struct(">IB")
HEADER_BYTES = _HEADER.size
MAX_FRAME_BYTES = 128 * 1024 * 1024
# Limit of the frames without the body of a request or answer, or a configuration.
MAX_SHORT_FRAME_BYTES = 8 * 1024 * 1024
# Limits the memory for a decoded list, whose entries may be encoded in one byte each.
MAX_LIST_ENTRIES = 50_000
# The last report of a connection is kept up to this size.
MAX_KEPT_REPORT_BYTES = 4096


class FrameKind(IntEnum):
    """Type of the struct in a frame."""

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
    SLOT_OFFER = 16


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
    FrameKind.SLOT_OFFER: ttypes.RelaySlotOffer,
}


_LONG_KINDS = frozenset((FrameKind.CALL, FrameKind.REPLY, FrameKind.CONFIG))
# Members of an enum are slow to look up.
_REPORT = FrameKind.REPORT
_KINDS_AND_TYPES = {
    int(kind): (kind, struct_type) for kind, struct_type in _STRUCT_TYPES.items()
}


# The accelerated codec is called directly, without the methods of the structs.
_CODEC_ARGUMENTS = {
    struct_type: [struct_type, struct_type.thrift_spec]
    for struct_type in vars(ttypes).values()
    if hasattr(struct_type, "thrift_spec")
}
# Shared by all structs, as creating a protocol takes longer than encoding a struct.
_PROTOCOL = TBinaryProtocolAccelerated(
    TMemoryBuffer(),
    # The library's default is shorter than the longest body of a request or reply.
    string_length_limit=MAX_FRAME_BYTES,
    container_length_limit=MAX_LIST_ENTRIES,
)


# Handles a frame; its last argument is a function that sends a frame back.
FrameHandler = Callable[[FrameKind, Any, Callable[[FrameKind, Any], None]], None]


def encode_struct(struct: Any) -> bytes:
    """Encode a thrift struct."""
    return fastbinary.encode_binary(struct, _CODEC_ARGUMENTS[type(struct)])


def decode_struct(struct_type: Any, payload: bytes) -> Any:
    """Decode a thrift struct and validate it with `check_struct`.

    Raises `BadFrameError`.
    """
    struct = struct_type()
    _PROTOCOL.trans = TMemoryBuffer(payload)
    try:
        fastbinary.decode_binary(struct, _PROTOCOL, _CODEC_ARGUMENTS[struct_type])
    # The accelerated decoder raises exceptions of many types on malformed input.
    except Exception as error:
        raise BadFrameError(
            f"can't decode {struct_type.__name__}: {error!r}"
        ) from error
    check_struct(struct)
    return struct


def encode_frame(kind: FrameKind, struct: Any) -> bytes:
    """Encode a frame with its length and kind."""
    payload = encode_struct(struct)
    return _HEADER.pack(len(payload) + 1, kind) + payload


def _get_max_bytes(kind: int) -> int:
    """Return the longest length of a frame of a kind."""
    return MAX_FRAME_BYTES if kind in _LONG_KINDS else MAX_SHORT_FRAME_BYTES


class FrameConnection(asyncio.Protocol, ABC):
    """A connection that splits received bytes into frames; subclasses handle them."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.closed = False
        # An incomplete frame, and the size from which it is complete.
        self._buffer = bytearray()
        self._needed_bytes = 0
        self._last_report = b""
        self._last_report_struct: Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport (called by the event loop)."""
        self.transport = transport
        enable_keep_alive(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Mark the connection closed (called by the event loop)."""
        self.closed = True
        self.handle_connection_lost()

    def send(self, kind: FrameKind, struct: Any) -> None:
        """Send a frame, or drop it if the connection is closed."""
        if not self.closed and self.transport is not None:
            self.transport.write(encode_frame(kind, struct))

    def send_encoded(self, frame: bytes) -> None:
        """Send an encoded frame, or drop it if the connection is closed."""
        if not self.closed and self.transport is not None:
            self.transport.write(frame)

    def is_sending(self) -> bool:
        """Return whether written bytes are still buffered."""
        if self.closed or self.transport is None:
            return False
        return self.transport.get_write_buffer_size() > 0

    def abort(self) -> None:
        """Close the connection without sending buffered bytes."""
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Split the bytes into frames and dispatch them (called by the event loop)."""
        buffer = data
        if self._buffer:
            self._buffer += data
            if len(self._buffer) < self._needed_bytes:
                return
            buffer = bytes(self._buffer)
        position = 0
        self._needed_bytes = 0
        size = len(buffer)
        try:
            while size - position >= HEADER_BYTES:
                length, kind = _HEADER.unpack_from(buffer, position)
                if not 1 <= length <= _get_max_bytes(kind):
                    raise OverlongFrameError(f"frame length {length} is out of range")
                end = position + LENGTH_BYTES + length
                if end > size:
                    self._needed_bytes = end - position
                    break
                self._dispatch_frame(kind, buffer[position + HEADER_BYTES : end])
                position = end
        except BadFrameError as error:
            self.handle_bad_frame(error)
            self.abort()
            return
        self._buffer = bytearray(buffer[position:]) if position < size else bytearray()

    def _dispatch_frame(self, kind: int, payload: bytes) -> None:
        known = _KINDS_AND_TYPES.get(kind)
        # Skip kinds that only later releases know.
        if known is None:
            return
        frame_kind, struct_type = known
        if frame_kind is _REPORT:
            struct = self._decode_report(payload)
        else:
            struct = decode_struct(struct_type, payload)
        try:
            self.handle_frame(frame_kind, struct)
        except Exception as error:
            # The state of the link may be inconsistent, so the connection is dropped.
            name = frame_kind.name
            logger.exception("frame handler failed", kind=name)
            raise BadFrameError(f"the handler of {name} failed") from error

    def _decode_report(self, payload: bytes) -> Any:
        """Decode a report, or return the last one if it has the same bytes.

        The reports of an idle server rarely change. Handlers must not change them.
        """
        if payload == self._last_report:
            return self._last_report_struct
        struct = decode_struct(ttypes.RelayReport, payload)
        if len(payload) <= MAX_KEPT_REPORT_BYTES:
            self._last_report = payload
            self._last_report_struct = struct
        return struct

    @abstractmethod
    def handle_frame(self, kind: FrameKind, struct: Any) -> None:
        """Handle a received frame."""

    @abstractmethod
    def handle_bad_frame(self, error: BadFrameError) -> None:
        """Handle an invalid frame; the connection is aborted afterwards."""

    @abstractmethod
    def handle_connection_lost(self) -> None:
        """Handle the loss of the connection."""
