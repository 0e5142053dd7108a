"""How many requests and calls this node still has to answer."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

from attrs import define

if TYPE_CHECKING:
    from collections.abc import Iterator


@define
class InFlight:
    """Counts requests of callers and calls of other nodes being answered."""

    requests: int = 0
    calls: int = 0

    @contextlib.contextmanager
    def track_request(self) -> Iterator[None]:
        """Count a caller's request while it is being answered."""
        self.requests += 1
        try:
            yield
        finally:
            self.requests -= 1

    @contextlib.contextmanager
    def track_call(self) -> Iterator[None]:
        """Count a call of another node while it is being answered."""
        self.calls += 1
        try:
            yield
        finally:
            self.calls -= 1
