"""Follows a topic of the log."""

from __future__ import annotations

import math
import time
from typing import TYPE_CHECKING

import anyio
from attrs import define, field
from loguru import logger

from eelgrassmount.topics.store import FailureKind, StoreFailure
from eelgrassmount.util.backoff import Backoff

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from eelgrassmount.topics.store import Batch, Snapshot, Store, StoredRecord

# Time for which a read waits for new records, so that few reads suffice. A read whose
# answer was lost while its connection stays open ends no earlier.
READ_WAIT_S = 25.0
# The same for a node that checks for all others whether the log has new records.
CHECK_WAIT_S = 0.75
# Delay after a batch, so that records in quick succession are read together.
BATCH_DELAY_S = 0.2
FIRST_RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 1.5
_RESTARTED = StoreFailure(FailureKind.OUTDATED, "sent before a restart")


@define(eq=False, repr=False)
class TopicFollower:
    """Reads the newest record of each key of a topic, then the records appended to it.

    It reads only while reading is requested with `set_wanted`. ``apply`` receives the
    records of a batch; ``on_read`` then receives the same records and the offset behind
    them. ``on_unreadable`` receives the number of records that could not be read.
    Failed reads are retried without end, at intervals that grow from ``first_retry_s``
    to ``retry_limit_s``, from start to start. ``find_wait_s`` returns how long the next
    read waits. The first read after a failure does not wait for new records, as its
    answer may reveal that the log was restored from an older copy. The result of a read
    that was sent before a `restart` is discarded, also if it arrives at the same time.
    ``on_change`` is called when `is_current` may have changed because of a read.

    All records that the log accepted before ``confirmed_s`` have been applied.
    """

    store: Store
    topic: str
    apply: Callable[[tuple[StoredRecord, ...]], None]
    rng: random.Random
    on_unreadable: Callable[[str, int], None] = lambda topic, count: None
    on_read: Callable[[tuple[StoredRecord, ...], int], None] = lambda records, end: None
    find_wait_s: Callable[[], float] = lambda: READ_WAIT_S
    on_change: Callable[[], None] = lambda: None
    reachable: bool = True
    first_retry_s: float = FIRST_RETRY_DELAY_S
    retry_limit_s: float = MAX_RETRY_DELAY_S
    next_offset: int | None = None
    clock: Callable[[], float] = time.monotonic
    confirmed_s: float = -math.inf
    _backoff: Backoff = field(init=False)
    _resume: anyio.Event | None = None
    _scope: anyio.CancelScope | None = None
    _is_wanted: bool = True
    _has_read: bool = False
    _skip_wait: bool = False
    _restarts: int = 0
    _wait_s: float = 0.0
    _is_delaying: bool = False

    def __attrs_post_init__(self) -> None:
        """Create the backoff between failed reads."""
        self._backoff = Backoff(self.rng)

    def is_current(self) -> bool:
        """Return whether the applied records are current, as far as is known.

        They are current while the newest records are read again after a deletion, since
        the log answers then.
        """
        return self._is_wanted and self.reachable and self._has_read

    def set_wanted(self, wanted: bool) -> None:
        """Start or stop reading; stopping cancels a read that waits for records."""
        if wanted == self._is_wanted:
            return
        self._is_wanted = wanted
        if wanted:
            self._require_read()
            if self._resume is not None:
                self._resume.set()
        elif self._scope is not None:
            self._scope.cancel()

    def set_retry_intervals(self, first_s: float, limit_s: float) -> None:
        """Set the first and the longest retry interval; a shorter one ends a delay."""
        if limit_s < self.retry_limit_s and self._is_delaying:
            self._scope.cancel()
        self.first_retry_s = first_s
        self.retry_limit_s = limit_s

    def check_now(self) -> None:
        """Read again at once instead of waiting longer for an answer.

        A new connection is used, since the answer may have been lost.
        """
        if self._wait_s > CHECK_WAIT_S:
            self._skip_wait = True
            self._scope.cancel()

    def verify(self) -> None:
        """Do the same, and claim nothing until there is an answer."""
        if self._wait_s > CHECK_WAIT_S:
            self._require_read()
            self._scope.cancel()
            self.on_change()

    def _require_read(self) -> None:
        """Let only the next read show that the log answers; it does not wait."""
        self._skip_wait = self._skip_wait or self._has_read
        self._has_read = False

    def skip_to(self, offset: int) -> None:
        """Continue from an offset if all records before it are known from elsewhere.

        A read that already waits uses its earlier offset, so records may repeat.
        """
        if self.next_offset is None or offset > self.next_offset:
            self.next_offset = offset

    def restart(self) -> None:
        """Read the newest records again after offsets have become invalid."""
        self._restarts += 1
        self.next_offset = None
        self.confirmed_s = -math.inf
        # Has no effect on a read whose answer has arrived.
        if self._scope is not None:
            self._scope.cancel()

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        while True:
            if not self._is_wanted:
                self._resume = anyio.Event()
                await self._resume.wait()
            with anyio.CancelScope() as self._scope:
                await self._read_once()
            self._wait_s = 0.0
            self._is_delaying = False

    async def _read_once(self) -> None:
        started_s = self.clock()
        failure = await self._read_next()
        if failure is None:
            self._record_success()
            return
        self._skip_wait = True
        if failure.kind is FailureKind.OUTDATED:
            return
        if failure.kind in (FailureKind.DELETED, FailureKind.MALFORMED):
            self.next_offset = None
        if failure.kind is FailureKind.DELETED:
            logger.info("records of the log deleted", topic=self.topic)
        else:
            self._record_failure(failure)
        self._backoff.limit_s = self.retry_limit_s
        self._backoff.base_s = self.first_retry_s
        elapsed_s = self.clock() - started_s
        self._is_delaying = True
        await anyio.sleep(max(0.0, self._backoff.fail() - elapsed_s))

    async def _read_next(self) -> StoreFailure | None:
        restarts = self._restarts
        sent_s = self.clock()
        if self.next_offset is None:
            snapshot = await self.store.read_newest(self.topic)
            if isinstance(snapshot, StoreFailure):
                return snapshot
            if self._restarts != restarts:
                return _RESTARTED
            self.next_offset = snapshot.end
            self._apply_batch(snapshot)
            self.on_read(snapshot.records, snapshot.end)
            self.confirmed_s = sent_s
            return None
        wait_s = self._wait_s = 0.0 if self._skip_wait else self.find_wait_s()
        batch = await self.store.read(self.topic, self.next_offset, wait_s)
        self._wait_s = 0.0
        if isinstance(batch, StoreFailure):
            return batch
        if self._restarts != restarts:
            return _RESTARTED
        self._skip_wait = False
        self.next_offset = max(self.next_offset, batch.next_offset)
        elapsed_s = self.clock() - sent_s
        if batch.records or batch.unreadable:
            self.confirmed_s = sent_s
            self._apply_batch(batch)
            self.on_read(batch.records, batch.next_offset)
            await anyio.sleep(BATCH_DELAY_S)
        elif elapsed_s >= wait_s:
            # The log has waited, and no record came.
            self.confirmed_s = sent_s + wait_s
        else:
            self.confirmed_s = sent_s
            await anyio.sleep(max(0.0, min(wait_s, CHECK_WAIT_S) - elapsed_s))
        return None

    def _apply_batch(self, read: Snapshot | Batch) -> None:
        """Apply records together, or one by one if one of them raises an exception.

        An unexpected record must not stop the follower, and with it the node.
        """
        if read.unreadable:
            self.on_unreadable(self.topic, read.unreadable)
        try:
            self.apply(read.records)
        except Exception:
            logger.exception("batch of records not applied", topic=self.topic)
            for record in read.records:
                self._apply_record(record)

    def _apply_record(self, record: StoredRecord) -> None:
        try:
            self.apply((record,))
        except Exception:
            logger.exception("record not applied", topic=self.topic, key=record.key)

    def _record_success(self) -> None:
        was_current = self.is_current()
        self._has_read = True
        self._backoff.reset()
        if not self.reachable:
            self.reachable = True
            logger.info("log regained", topic=self.topic)
        if not was_current:
            self.on_change()

    def _record_failure(self, failure: StoreFailure) -> None:
        if self.reachable:
            self.reachable = False
            logger.warning(
                "log lost", topic=self.topic, kind=failure.kind, detail=failure.detail
            )
            self.on_change()
