"""Interface of the log that all nodes share."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from attrs import field, frozen


class FailureKind(StrEnum):
    """Why a call to the log gave no result."""

    UNREACHABLE = "unreachable"  # no connection; the call had no effect
    REJECTED = "turned-away"  # rejected without effect, e.g. because the log is busy
    LIMITED = "limited"  # rate limit exceeded
    CONFLICT = "conflict"  # precondition failed
    DELETED = "deleted"  # the records were deleted
    OUTDATED = "outdated"  # the answer is of an earlier log epoch
    FULL = "full"
    UNANSWERED = "unanswered"  # the call may have taken effect, or may later
    MALFORMED = "malformed"


@dataclass(frozen=True, slots=True)
class StoreFailure:
    """A call without a result; ``detail`` is meant for operators."""

    kind: FailureKind
    detail: str = ""


@frozen
class StoredRecord:
    """The newest record of a key; an empty value means that the key was deleted.

    ``offset`` is the position in the topic, -1 if it is unknown.
    """

    key: str
    value: bytes
    offset: int = field(default=-1, eq=False)


@frozen
class Snapshot:
    """The newest record of each key, and the offset of the next record.

    ``unreadable`` counts records that could not be read.
    """

    records: tuple[StoredRecord, ...]
    end: int
    unreadable: int = 0


@frozen
class Batch:
    """Records read in order, and the offset of the next record.

    ``unreadable`` counts records that could not be read.
    """

    records: tuple[StoredRecord, ...]
    next_offset: int
    unreadable: int = 0


class Store(Protocol):
    """Keyed topics, which retain the newest record of each key."""

    async def append(self, topic: str, key: str, value: bytes) -> int | StoreFailure:
        """Append a record and return its offset."""

    async def read_newest(self, topic: str) -> Snapshot | StoreFailure:
        """Return the newest record of each key."""

    async def read(
        self, topic: str, offset: int, wait_s: float
    ) -> Batch | StoreFailure:
        """Return the records from ``offset`` on; wait for one if there is none."""
