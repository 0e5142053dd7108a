"""The log that all nodes share, as the relay uses it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from attrs import field, frozen


class FailureKind(StrEnum):
    """Why a call to the log gave no result."""

    UNREACHABLE = "unreachable"  # no connection: nothing was done
    REJECTED = "turned-away"  # nothing was done, the log is busy or refuses us
    LIMITED = "limited"  # too many calls
    CONFLICT = "conflict"  # the condition does not hold
    DELETED = "deleted"  # the records are gone
    OUTDATED = "outdated"  # the answer is of a copy that the log has replaced
    FULL = "full"
    UNANSWERED = "unanswered"  # may have been done, or be done later
    MALFORMED = "malformed"


@dataclass(frozen=True, slots=True)
class StoreFailure:
    """A call without a result; ``detail`` is for people."""

    kind: FailureKind
    detail: str = ""


@frozen
class StoredRecord:
    """The newest record of a key; an empty value means that the key is dropped.

    ``offset`` is where it stands in its topic, -1 where that is not known.
    """

    key: str
    value: bytes
    offset: int = field(default=-1, eq=False)


@frozen
class Snapshot:
    """The newest record of each key, and the offset where later ones begin.

    ``unreadable`` counts records that were left out.
    """

    records: tuple[StoredRecord, ...]
    end: int
    unreadable: int = 0


@frozen
class Batch:
    """Records read in order, and the offset behind them.

    ``unreadable`` counts records that were left out.
    """

    records: tuple[StoredRecord, ...]
    next_offset: int
    unreadable: int = 0


class Store(Protocol):
    """Keyed topics: the newest record of each key is kept for good."""

    async def append(self, topic: str, key: str, value: bytes) -> int | StoreFailure:
        """Append a record and return its offset."""

    async def read_newest(self, topic: str) -> Snapshot | StoreFailure:
        """Return the newest record of each key."""

    async def read(
        self, topic: str, offset: int, wait_s: float
    ) -> Batch | StoreFailure:
        """Return the records from ``offset`` on, waiting for one if there is none."""
