"""What others sent and was not taken up: counted, and told within bounds."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

from attrs import define, field
from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Callable

# a source that goes on is told of again after so long
LINE_PERIOD_S = 60.0
# sources and causes that are told apart; those beyond are counted only
MAX_TOLD = 256
# characters of a source or an error in a line
MAX_SHOWN = 200


class MessageKind(StrEnum):
    """What kind of message was refused; the label of its counter."""

    ANNOUNCEMENT = "announcement"
    CONFIGURATION = "configuration"
    LEARNED = "learned-calls"
    NODE = "node-record"
    RECORD = "record"


@define(eq=False)
class RefusedMessages:
    """Counts messages that were not taken up, by kind.

    A line is written once in `LINE_PERIOD_S` for each source and cause, so that a
    writer which never stops does not fill the logs. ``count`` raises the counter of
    a kind.

        >>> refused = RefusedMessages(clock=lambda: 0.0)
        >>> refused.note(MessageKind.NODE, "key-1", "address", "address: 'x'")
        >>> refused.totals["node-record"]
        1
    """

    clock: Callable[[], float]
    count: Callable[[str, int], None] = lambda kind, messages: None
    totals: dict[str, int] = field(factory=dict)
    _told_s: dict[tuple[str, str, str], float] = field(factory=dict)

    def note(
        self,
        kind: MessageKind,
        source: str,
        cause: str,
        detail: str,
        messages: int = 1,
    ) -> None:
        """Count messages; ``cause`` is one of a few, ``detail`` is for people."""
        self.totals[kind] = self.totals.get(kind, 0) + messages
        self.count(kind, messages)
        if self._may_tell((kind, source[:MAX_SHOWN], cause)):
            # a configuration is the operator's, and meant for all nodes
            level = "ERROR" if kind is MessageKind.CONFIGURATION else "WARNING"
            logger.log(
                level,
                "message not taken up",
                kind=str(kind),
                source=source[:MAX_SHOWN],
                cause=detail[:MAX_SHOWN],
                refused=self.totals[kind],
            )

    def _may_tell(self, key: tuple[str, str, str]) -> bool:
        now_s = self.clock()
        if key not in self._told_s and len(self._told_s) >= MAX_TOLD:
            self._forget(now_s)
            if len(self._told_s) >= MAX_TOLD:
                return False
        told_s = self._told_s.get(key)
        if told_s is not None and now_s - told_s < LINE_PERIOD_S:
            return False
        self._told_s[key] = now_s
        return True

    def _forget(self, now_s: float) -> None:
        self._told_s = {
            key: told_s
            for key, told_s in self._told_s.items()
            if now_s - told_s < LINE_PERIOD_S
        }
