"""Interface of the platform's log service."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class Record:
    """One record of a stream."""

    offset: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Page:
    """Records in offset order; ``first`` is the oldest stored offset."""

    first: int
    next: int
    records: tuple[Record, ...]


@dataclass(frozen=True, slots=True)
class Appended:
    """A record that was stored at ``offset``."""

    offset: int


@dataclass(frozen=True, slots=True)
class LogFailure:
    """A request without a valid answer.

    If ``sent`` is true, an append may have taken effect.
    """

    detail: str
    sent: bool


class LogService(Protocol):
    """Appends to and reads from the streams of the log service."""

    async def append(self, stream: str, body: bytes) -> Appended | LogFailure:
        """Append one record."""

    async def read(
        self, stream: str, offset: int, limit: int, wait_s: float
    ) -> Page | LogFailure:
        """Read records from ``offset`` on, waiting up to ``wait_s`` for one."""
