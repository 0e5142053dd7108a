"""Metrics of the calls to the log."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define

from eelgrassmount.log_service import LogFailure
from eelgrassmount.metrics import LogError

if TYPE_CHECKING:
    from eelgrassmount.log_service import Appended, LogService, Page
    from eelgrassmount.metrics import Metrics


@define(eq=False)
class MeteredLog:
    """Forwards calls to ``log`` and counts appends and failures."""

    log: LogService
    metrics: Metrics

    async def append(self, stream: str, body: bytes) -> Appended | LogFailure:
        """Append one record."""
        self.metrics.log_appends.labels(stream).inc()
        result = await self.log.append(stream, body)
        self._count_failure(result)
        return result

    async def read(
        self, stream: str, offset: int, limit: int, wait_s: float
    ) -> Page | LogFailure:
        """Read records from ``offset`` on, waiting up to ``wait_s`` for one."""
        result = await self.log.read(stream, offset, limit, wait_s)
        self._count_failure(result)
        return result

    def _count_failure(self, result: Appended | Page | LogFailure) -> None:
        if not isinstance(result, LogFailure):
            return
        kind = LogError.TIMEOUT if result.sent else LogError.UNREACHABLE
        self.metrics.log_errors.labels(kind).inc()
