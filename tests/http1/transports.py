"""A transport that stores the written bytes."""

from __future__ import annotations

from typing import Any


class MemoryTransport:
    """An in-memory replacement for the transport of a connection."""

    def __init__(self, protocol: Any = None):
        self.protocol = protocol
        self.written = b""
        self.closing = False
        self.reading = True
        self.unsent_bytes = 0

    def write(self, data: bytes) -> None:
        if not self.closing:
            self.written += data

    def close(self) -> None:
        self.closing = True

    def abort(self) -> None:
        self.closing = True

    def pause_reading(self) -> None:
        self.reading = False

    def resume_reading(self) -> None:
        self.reading = True

    def get_extra_info(self, name: str) -> None:
        return None

    def get_write_buffer_size(self) -> int:
        return self.unsent_bytes
