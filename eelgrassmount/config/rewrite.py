"""Rewrites the version in force to the log before the log drops its record."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

from eelgrassmount.config.record import ConfigRecord, RecordKind

if TYPE_CHECKING:
    import random

    from eelgrassmount.config.fold import Fold
    from eelgrassmount.config.stream import ConfigStream, ResumePoint
    from eelgrassmount.timers import TimerService

_ID_BITS = 128
_MIN_REWRITE_INTERVAL_S = 2.0


def is_rewrite_due(
    fold: Fold,
    resume_point: ResumePoint,
    now_s: float,
    started_s: float,
    interval_s: float,
) -> bool:
    """Return whether the version in force must be rewritten.

    A rewrite is due ``interval_s`` after the last one was read (or after
    ``started_s`` if none was read). It is due earlier if the log drops records
    and the last rewrite is in the older half of the stored records.
    """
    if not fold.exact or fold.version == 0:
        return False
    seen_s = resume_point.seen_s if resume_point.offset >= 0 else started_s
    if now_s - seen_s >= interval_s:
        return True
    if resume_point.first == 0:
        return False
    stored = resume_point.next - resume_point.first
    return resume_point.offset - resume_point.first < stored // 2


def make_rewrite(fold: Fold, record_id: str) -> ConfigRecord:
    """Return the rewrite record for the version in force of an exact fold."""
    return ConfigRecord(
        kind=RecordKind.REWRITE,
        record_id=record_id,
        base=fold.version,
        version=fold.version,
        through=fold.next,
        text=fold.text,
    )


@define
class Rewriter:
    """Rewrites the version in force when a rewrite is due.

    Each node waits for a random time above ``interval_s``. Reading a rewrite
    restarts the wait, so that seldom more than one node rewrites in an interval.
    """

    stream: ConfigStream
    timers: TimerService
    rng: random.Random
    interval_s: float
    _started_s: float = field(init=False)
    _interval_s: float = field(init=False)
    _next_s: float = field(init=False)
    _running: bool = False

    def __attrs_post_init__(self) -> None:
        """Start the first interval."""
        self._started_s = self.timers.read()
        self._next_s = self._started_s
        self._randomize_interval()

    def is_due(self) -> bool:
        """Return whether this node must rewrite now."""
        now_s = self.timers.read()
        if self._running or now_s < self._next_s:
            return False
        return self._is_due_by_fold()

    async def rewrite(self) -> None:
        """Read the log to its end and append the version in force."""
        self._running = True
        try:
            if await self.stream.catch_up() and self._is_due_by_fold():
                record_id = f"{self.rng.getrandbits(_ID_BITS):032x}"
                await self.stream.append(make_rewrite(self.stream.fold, record_id))
                await self.stream.catch_up()
        finally:
            self._running = False
            self._next_s = (
                self.timers.read() + _MIN_REWRITE_INTERVAL_S * self.rng.uniform(1, 2)
            )
            self._randomize_interval()

    def _is_due_by_fold(self) -> bool:
        return is_rewrite_due(
            self.stream.fold,
            self.stream.resume_point,
            self.timers.read(),
            self._started_s,
            self._interval_s,
        )

    def _randomize_interval(self) -> None:
        self._interval_s = self.interval_s * self.rng.uniform(1.0, 1.5)
