"""Writes the version in force to the log again before it is dropped there."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

from eelgrassmount.config.record import ConfigRecord, RecordKind

if TYPE_CHECKING:
    import random

    from eelgrassmount.config.fold import Fold
    from eelgrassmount.config.stream import Anchor, ConfigStream
    from eelgrassmount.timers import TimerService

_ID_BITS = 128
_MIN_PERIOD_S = 2.0


def is_rewrite_due(
    fold: Fold, anchor: Anchor, now_s: float, start_s: float, period_s: float
) -> bool:
    """Tell whether the version in force must be written again.

    That is so ``period_s`` seconds after the last rewrite was seen (or, if none
    was, after ``start_s``), and earlier when the log has begun to drop records and
    the last rewrite stands among the older half of those that it keeps.
    """
    if not fold.exact or fold.version == 0:
        return False
    seen_s = anchor.seen_s if anchor.offset >= 0 else start_s
    if now_s - seen_s >= period_s:
        return True
    if anchor.first == 0:
        return False
    kept = anchor.next - anchor.first
    return anchor.offset - anchor.first < kept // 2


def make_rewrite(fold: Fold, record_id: str) -> ConfigRecord:
    """Return the record that states the version in force of an exact fold."""
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
    """Rewrites when it is due, seldom more than once for all nodes together.

    Each node waits a random part longer than ``period_s``, and the rewrite of the
    first one starts the wait of all the others again.
    """

    stream: ConfigStream
    timers: TimerService
    rng: random.Random
    period_s: float
    _start_s: float = field(init=False)
    _period_s: float = field(init=False)
    _next_s: float = field(init=False)
    _running: bool = False

    def __attrs_post_init__(self) -> None:
        """Begin to wait."""
        self._start_s = self.timers.read()
        self._next_s = self._start_s
        self._vary()

    def is_due(self) -> bool:
        """Tell whether to rewrite now."""
        now_s = self.timers.read()
        if self._running or now_s < self._next_s:
            return False
        return self._is_due_by_fold()

    async def rewrite(self) -> None:
        """Write the version in force, as of the end of the log."""
        self._running = True
        try:
            if await self.stream.catch_up() and self._is_due_by_fold():
                record_id = f"{self.rng.getrandbits(_ID_BITS):032x}"
                await self.stream.append(make_rewrite(self.stream.fold, record_id))
                await self.stream.catch_up()
        finally:
            self._running = False
            self._next_s = self.timers.read() + _MIN_PERIOD_S * self.rng.uniform(1, 2)
            self._vary()

    def _is_due_by_fold(self) -> bool:
        return is_rewrite_due(
            self.stream.fold,
            self.stream.anchor,
            self.timers.read(),
            self._start_s,
            self._period_s,
        )

    def _vary(self) -> None:
        self._period_s = self.period_s * self.rng.uniform(1.0, 1.5)
