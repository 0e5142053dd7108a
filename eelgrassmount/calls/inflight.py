"""Counts of requests and calls that this node has yet to answer."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

from attrs import define

if TYPE_CHECKING:
    from collections.abc import Iterator


@define
class InFlight:
    """Counts the callers' requests and other nodes' calls in progress."""

    requests: int = 0
    calls: int = 0

    @contextlib.contextmanager
    def track_request(self) -> Iterator[None]:
        """Count a caller's request until it is answered."""
        self.requests += 1
        try:
            yield
        finally:
            self.requests -= 1

    @contextlib.contextmanager
    def track_call(self) -> Iterator[None]:
        """Count another node's call until it is answered."""
        self.calls += 1
        try:
            yield
        finally:
            self.calls -= 1
