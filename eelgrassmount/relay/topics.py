"""Following a topic of the log."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from attrs import define, field
from loguru import logger

from eelgrassmount.relay.store import FailureKind, StoreFailure
from eelgrassmount.util.backoff import Backoff

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from eelgrassmount.relay.store import Batch, Snapshot, Store, StoredRecord

# a read waits this long for news; connections that fell silent are found by the
# system's probes, so that a long wait costs nothing but saves calls
WAIT_S = 25.0
# records that come in quick succession are read together
GATHER_S = 0.2
RETRY_BASE_S = 0.2
RETRY_LIMIT_S = 1.5


@define(eq=False)
class TopicFollower:
    """Reads the newest record of each key and then what is appended.

    ``take`` gets the records of a batch; ``on_unreadable`` is told how many were left
    out of it. A log that can't be reached is asked again for as long as it takes.
    """

    store: Store
    topic: str
    take: Callable[[tuple[StoredRecord, ...]], None]
    rng: random.Random
    on_unreadable: Callable[[str, int], None] = lambda topic, count: None
    reachable: bool = True
    _backoff: Backoff = field(init=False)
    _next: int | None = None

    def __attrs_post_init__(self) -> None:
        """Prepare the waits between failures."""
        self._backoff = Backoff(self.rng, RETRY_BASE_S, RETRY_LIMIT_S)

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        while True:
            failure = await self._read_on()
            if failure is None:
                self._note_reached()
                continue
            if failure.kind in (FailureKind.DELETED, FailureKind.MALFORMED):
                self._next = None
            self._note_failure(failure)
            await asyncio.sleep(self._backoff.fail())

    async def _read_on(self) -> StoreFailure | None:
        if self._next is None:
            snapshot = await self.store.read_newest(self.topic)
            if isinstance(snapshot, StoreFailure):
                return snapshot
            self._next = snapshot.end
            self._hand_on(snapshot)
            return None
        batch = await self.store.read(self.topic, self._next, WAIT_S)
        if isinstance(batch, StoreFailure):
            return batch
        self._next = batch.next_offset
        if batch.records or batch.unreadable:
            self._hand_on(batch)
            await asyncio.sleep(GATHER_S)
        return None

    def _hand_on(self, read: Snapshot | Batch) -> None:
        """Hand records on together, or one by one if one of them can't be taken.

        A record that nobody foresaw must not end the follower, and the node with it.
        """
        if read.unreadable:
            self.on_unreadable(self.topic, read.unreadable)
        try:
            self.take(read.records)
        except Exception:
            logger.exception("records not taken together", topic=self.topic)
            for record in read.records:
                self._hand_on_one(record)

    def _hand_on_one(self, record: StoredRecord) -> None:
        try:
            self.take((record,))
        except Exception:
            logger.exception("record not taken", topic=self.topic, key=record.key)

    def _note_reached(self) -> None:
        self._backoff.reset()
        if not self.reachable:
            self.reachable = True
            logger.info("log regained", topic=self.topic)

    def _note_failure(self, failure: StoreFailure) -> None:
        if self.reachable:
            self.reachable = False
            logger.warning(
                "log lost", topic=self.topic, kind=failure.kind, detail=failure.detail
            )
