"""Calls, their origin and their replies."""

from __future__ import annotations

from enum import IntEnum
from typing import TYPE_CHECKING

from attrs import define, frozen

from eelgrassmount.context import compute_digest
from eelgrassmount.policy.shedding import RequestClass

if TYPE_CHECKING:
    from eelgrassmount.relay.routes import Route
    from eelgrassmount.retry.quarantine import Quarantine
    from eelgrassmount.verdict import Reason


class Outcome(IntEnum):
    """Whether a call was answered, did not run, or may have run."""

    ANSWERED = 0
    NOT_RUN = 1
    MAY_HAVE_RUN = 2


@frozen
class Origin:
    """The client request that a call belongs to, as far as it is known.

    ``priority`` is the rank of the request; requests of rank 0 are refused last. A call
    is ``downstream`` if a running server made it, and ``within_retry`` if a run above
    it was a retry. ``remaining_runs`` estimates the runs that the request still needs,
    this one included.
    """

    priority: int
    downstream: bool = False
    within_retry: bool = False
    remaining_runs: int = 1


@define(eq=False, repr=False)
class Reply:
    """The result of one attempt of a call.

    ``head`` holds whole header lines of the server's answer. ``reason`` is set if there
    is no answer. ``wait_s`` is the time in seconds until a call that was refused by a
    rate limit could start, 0 for other replies. ``moved_to`` names the node with a free
    slot for a call that was moved from a queue.
    """

    outcome: Outcome
    reason: Reason | None = None
    status: int = 0
    head: bytes = b""
    body: bytes = b""
    wait_s: float = 0.0
    moved_to: str = ""


@define(eq=False, repr=False)
class Call:
    """A request that is forwarded to a backend server.

    ``head`` is the block of header lines that the server gets unchanged. ``deadline_s``
    is on the node's monotonic clock. ``counted_as_demand`` is set if a dispatcher has
    counted the call before, ``is_retry`` if an earlier attempt may have reached a
    server. Retries are charged to the retry budget.
    """

    request_id: str
    route: Route
    service: str
    caller_service: str
    method: str
    target: str
    head: bytes
    body: bytes
    arrived_s: float
    deadline_s: float
    origin: Origin
    counted_as_demand: bool = False
    is_retry: bool = False
    _digest: str = ""

    @property
    def request_class(self) -> RequestClass:
        """Return the class by which a client request is admitted."""
        return RequestClass(self.route.name, self.origin.priority)

    def is_quarantined(self, quarantine: Quarantine, now_s: float) -> bool:
        """Return whether this content is quarantined for crashing servers."""
        # The digest is only needed if there are suspects.
        if not quarantine.suspects:
            return False
        return quarantine.check(self.find_digest(), now_s) is not None

    def find_content(self) -> str:
        """Return what tells the content from that of most other requests."""
        return self.find_digest() if self.body else self.target

    def find_digest(self) -> str:
        """Return a digest of the content, computed on first use."""
        if not self._digest:
            path = f"{self.caller_service} {self.target}"
            self._digest = compute_digest(self.method, path, self.body)
        return self._digest
