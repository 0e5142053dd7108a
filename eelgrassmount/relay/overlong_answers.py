"""Reports of answers that were given up because they are too long."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import define
from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Callable

LOG_INTERVAL_S = 1.0


@define(eq=False, repr=False)
class OverlongAnswers:
    """Counts the overlong answers of a source, and logs some of them."""

    source: str
    clock: Callable[[], float]
    count: Callable[[str], None]
    _since: int = 0
    _logged_s: float = -math.inf

    def record(self, request_id: bytes = b"") -> None:
        """Record an answer to a request, which has an id unless it is a check."""
        self.count(self.source)
        self._since += 1
        now_s = self.clock()
        if now_s - self._logged_s < LOG_INTERVAL_S:
            return
        logger.warning(
            "answer too long",
            source=self.source,
            request=request_id.decode("latin-1"),
            since=self._since,
        )
        self._logged_s = now_s
        self._since = 0
