"""Calls and what became of them."""

from __future__ import annotations

from enum import IntEnum
from typing import TYPE_CHECKING

from attrs import define, frozen

from eelgrassmount.context import compute_digest
from eelgrassmount.policy.piles import Demand

if TYPE_CHECKING:
    from eelgrassmount.relay.routes import Route
    from eelgrassmount.retry.quarantine import Quarantine
    from eelgrassmount.verdict import Reason


class Outcome(IntEnum):
    """Whether a call has its answer, or else whether it may have run."""

    ANSWERED = 0
    NOT_RUN = 1
    MAY_HAVE_RUN = 2


@frozen
class Origin:
    """The request of a client that a call belongs to, as far as it is known.

    ``priority`` is the request's rank, of which 0 is refused last. A call is
    ``downstream`` if a running server made it, and ``within_retry`` if a run that leads to it
    was a repeat. ``remaining_runs`` counts the runs that the request still needs, as far as is
    known, this one included.
    """

    priority: int
    downstream: bool = False
    within_retry: bool = False
    remaining_runs: int = 1


@define(eq=False)
class Reply:
    """What became of one sending of a call.

    ``head`` holds whole header lines of the server's answer. ``reason`` says why
    there is no answer.
    """

    outcome: Outcome
    reason: Reason | None = None
    status: int = 0
    head: bytes = b""
    body: bytes = b""


@define(eq=False)
class Call:
    """A request on its way to a backend server.

    ``head`` is the block of header lines that goes on to the server unchanged.
    ``deadline_s`` is on the node's steady clock. It was ``counted_as_demand`` when another
    gate has counted it, and goes out ``is_retry`` when an earlier sending may have reached
    a server, so that the retry budget has to hold it.
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
    def demand(self) -> Demand:
        """Return the demand that a request of a client belongs to."""
        return Demand(self.route.name, self.origin.priority)

    def is_quarantined(self, quarantine: Quarantine, now_s: float) -> bool:
        """Tell whether servers may not be given this content, which crashed others."""
        # without suspects, the digest is not worked out
        if not quarantine.suspects:
            return False
        return quarantine.check(self.find_digest(), now_s) is not None

    def find_digest(self) -> str:
        """Return a digest of the content, worked out when it is first needed."""
        if not self._digest:
            path = f"{self.caller_service} {self.target}"
            self._digest = compute_digest(self.method, path, self.body)
        return self._digest
