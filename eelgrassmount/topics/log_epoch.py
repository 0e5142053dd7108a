"""Which copy of the log an answer or an offset belongs to."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field
from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Callable

# stands for an era that is not known
UNKNOWN_EPOCH = -1


@define(eq=False)
class EpochTracker:
    """Knows the era of the log: how often it has come back from an older copy.

    Records that were written since that copy was made are gone then, and offsets are
    given out again, so that an offset means something only with its era. ``on_rise``
    is called when a later one is found, in whatever answer and by whatever node. Eras
    that are missing or fall change nothing: they come from somebody else's programs.
    """

    current: int = UNKNOWN_EPOCH
    on_advance: list[Callable[[], None]] = field(factory=list)
    _warned_causes: set[str] = field(factory=set)

    def check_answer(self, epoch: int, request_epoch: int) -> bool:
        """Take up the era of an answer; tell whether the answer can be used.

        ``asked_in`` is the era that was known when the question went out.
        """
        if epoch == UNKNOWN_EPOCH:
            if self.current != UNKNOWN_EPOCH:
                self._warn_once("missing", epoch)
            return True
        if epoch > self.current:
            return not self.advance_to(epoch)
        if epoch < self.current and request_epoch != self.current:
            # the answer was on its way as the log came back
            return False
        if epoch < self.current:
            self._warn_once("fallen", epoch)
        return True

    def advance_to(self, epoch: int) -> bool:
        """Take up the era that another node knows; tell whether it rose for this one.

        The first one that is known is no rise: nothing was read in one before.
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
