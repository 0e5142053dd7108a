"""Which copy of the log an answer or an offset belongs to."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field
from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Callable

# stands for an era that is not known
UNKNOWN_ERA = -1


@define(eq=False)
class EraWatch:
    """Knows the era of the log: how often it has come back from an older copy.

    Records that were written since that copy was made are gone then, and offsets are
    given out again, so that an offset means something only with its era. ``on_rise``
    is called when a later one is found, in whatever answer and by whatever node. Eras
    that are missing or fall change nothing: they come from somebody else's programs.
    """

    current: int = UNKNOWN_ERA
    on_rise: list[Callable[[], None]] = field(factory=list)
    _told: set[str] = field(factory=set)

    def note_answer(self, era: int, asked_in: int) -> bool:
        """Take up the era of an answer; tell whether the answer can be used.

        ``asked_in`` is the era that was known when the question went out.
        """
        if era == UNKNOWN_ERA:
            if self.current != UNKNOWN_ERA:
                self._tell_once("missing", era)
            return True
        if era > self.current:
            return not self.note_heard(era)
        if era < self.current and asked_in != self.current:
            # the answer was on its way as the log came back
            return False
        if era < self.current:
            self._tell_once("fallen", era)
        return True

    def note_heard(self, era: int) -> bool:
        """Take up the era that another node knows; tell whether it rose for this one.

        The first one that is known is no rise: nothing was read in one before.
        """
        if era <= self.current:
            return False
        before = self.current
        self.current = era
        if before == UNKNOWN_ERA:
            return False
        logger.warning("log came back older", era=era, before=before)
        for notify in self.on_rise:
            notify()
        return True

    def _tell_once(self, cause: str, era: int) -> None:
        if cause not in self._told:
            self._told.add(cause)
            logger.warning(
                "era of the log not taken up", cause=cause, era=era, known=self.current
            )
