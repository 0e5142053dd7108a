"""Counts and logs rejected messages of peers and of the log."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

from attrs import define, field
from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Callable

# Minimum time between two log lines on the same source and cause.
LOG_INTERVAL_S = 60.0
# Causes beyond this are counted but not logged.
MAX_TRACKED_CAUSES = 256
# Maximum length of a source or detail in a log line.
MAX_SHOWN_CHARS = 200


class MessageKind(StrEnum):
    """Kind of a rejected message; also the label of its metric."""

    ANNOUNCEMENT = "announcement"
    ANSWER = "answer"
    CONFIGURATION = "configuration"
    LEARNED = "learned-calls"
    NODE = "node-record"
    RECORD = "record"


@define(eq=False, repr=False)
class RejectedMessages:
    """Counts rejected messages by kind and logs them at a limited rate.

    Each source and cause is logged once per `LOG_INTERVAL_S`, so that a faulty writer
    cannot flood the logs. ``count`` increments the metric of a kind.

        >>> rejected = RejectedMessages(clock=lambda: 0.0)
        >>> rejected.record(MessageKind.NODE, "key-1", "address", "address: 'x'")
        >>> rejected.totals["node-record"]
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
        """Count messages and log them unless the same cause was logged recently.

        ``cause`` identifies the cause and must come from a small set; ``detail`` is
        free text.
        """
        self.totals[kind] = self.totals.get(kind, 0) + messages
        self.count(kind, messages)
        if self._may_log((kind, source[:MAX_SHOWN_CHARS], cause)):
            # Configurations come from the operator and concern all nodes.
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
