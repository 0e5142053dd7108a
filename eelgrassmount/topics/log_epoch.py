"""Tracks the epoch of the log, which tells copies of the log apart."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field
from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Callable

UNKNOWN_EPOCH = -1


@define(eq=False, repr=False)
class EpochTracker:
    """Tracks the epoch of the log: the number of restorations from an older copy.

    A restoration drops the records written after the copy was made and assigns their
    offsets again, so an offset is valid only within its epoch. ``on_advance`` callbacks
    run when an answer or a peer reveals a later epoch. Missing or lower epochs change
    nothing, since they come from other programs that write to the log.
    """

    current: int = UNKNOWN_EPOCH
    on_advance: list[Callable[[], None]] = field(factory=list)
    _warned_causes: set[str] = field(factory=set)

    def check_answer(self, epoch: int, request_epoch: int) -> bool:
        """Apply the epoch of an answer, and return whether the answer is valid.

        ``request_epoch`` is the epoch that was known when the request was sent.
        """
        if epoch == UNKNOWN_EPOCH:
            if self.current != UNKNOWN_EPOCH:
                self._warn_once("missing", epoch)
            return True
        if epoch > self.current:
            return not self.advance_to(epoch)
        if epoch < self.current and request_epoch != self.current:
            # The log was restored while the answer was on its way.
            return False
        if epoch < self.current:
            self._warn_once("fallen", epoch)
        return True

    def advance_to(self, epoch: int) -> bool:
        """Adopt a later epoch from an answer or a peer, and return whether it advanced.

        The first known epoch is no advance, as no offsets of an earlier one are in use.
        """
        if epoch <= self.current:
            return False
        previous = self.current
        self.current = epoch
        if previous == UNKNOWN_EPOCH:
            return False
        logger.warning("log restored from an older copy", era=epoch, before=previous)
        for notify in self.on_advance:
            notify()
        return True

    def _warn_once(self, cause: str, epoch: int) -> None:
        if cause not in self._warned_causes:
            self._warned_causes.add(cause)
            logger.warning(
                "era of the log ignored", cause=cause, era=epoch, known=self.current
            )
