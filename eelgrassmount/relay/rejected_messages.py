"""What others sent and was not taken up: counted, and told within bounds."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

from attrs import define, field
from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Callable

# a source that goes on is told of again after so long
LOG_INTERVAL_S = 60.0
# sources and causes that are told apart; those beyond are counted only
MAX_TRACKED_CAUSES = 256
# characters of a source or an error in a line
MAX_SHOWN_CHARS = 200


class MessageKind(StrEnum):
    """What kind of message was refused; the label of its counter."""

    ANNOUNCEMENT = "announcement"
    CONFIGURATION = "configuration"
    LEARNED = "learned-calls"
    NODE = "node-record"
    RECORD = "record"


@define(eq=False)
class RejectedMessages:
    """Counts messages that were not taken up, by kind.

    A line is written once in `LOG_INTERVAL_S` for each source and cause, so that a
    writer which never stops does not fill the logs. ``count`` raises the counter of
    a kind.

        >>> refused = RejectedMessages(clock=lambda: 0.0)
        >>> refused.record(MessageKind.NODE, "key-1", "address", "address: 'x'")
        >>> refused.totals["node-record"]
        1
    """

    clock: Callable[[], float]
    count: Callable[[str, int], None] = lambda kind, messages: None
    totals: dict[str, int] = field(factory=dict)
    _logged_s: dict[tuple[str, str, str], float] = field(factory=dict)

    def record(
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
        if self._may_log((kind, source[:MAX_SHOWN_CHARS], cause)):
            # a configuration is the operator's, and meant for all nodes
            level = "ERROR" if kind is MessageKind.CONFIGURATION else "WARNING"
            logger.log(
                level,
                "message rejected",
                kind=str(kind),
                source=source[:MAX_SHOWN_CHARS],
                cause=detail[:MAX_SHOWN_CHARS],
                refused=self.totals[kind],
            )

    def _may_log(self, key: tuple[str, str, str]) -> bool:
        now_s = self.clock()
        if key not in self._logged_s and len(self._logged_s) >= MAX_TRACKED_CAUSES:
            self._remove_expired(now_s)
            if len(self._logged_s) >= MAX_TRACKED_CAUSES:
                return False
        logged_s = self._logged_s.get(key)
        if logged_s is not None and now_s - logged_s < LOG_INTERVAL_S:
            return False
        self._logged_s[key] = now_s
        return True

    def _remove_expired(self, now_s: float) -> None:
        self._logged_s = {
            key: logged_s
            for key, logged_s in self._logged_s.items()
            if now_s - logged_s < LOG_INTERVAL_S
        }
