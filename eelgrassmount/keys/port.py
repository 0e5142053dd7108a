"""Interface between the call path and the key service."""

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
        """Route the call to the owner of its key, which runs it.

        A retry of a key returns the stored outcome; a key with other content is
        refused.
        """

    def mint(self) -> str:
        """Return a new key whose owner is this incarnation of this node."""
