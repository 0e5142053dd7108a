"""What the path of a call asks of the owners of keys."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from eelgrassmount.calls.request import Call, Outcome


class Runner(Protocol):
    """Runs a call on some node of its service, with bounded retries."""

    async def __call__(self, call: Call) -> Outcome:
        """Return the outcome of the call."""


class KeyPort(Protocol):
    """Runs calls that have an idempotency key, each key at most once."""

    async def run(self, call: Call) -> Outcome:
        """Find the owner of the call's key and let it run the call.

        The same key gives the same outcome again; with other content it is
        refused.
        """

    def mint(self) -> str:
        """Return a new key whose owner is this incarnation of this node."""
