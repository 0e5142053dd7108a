"""What controllers may ask of other nodes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from eelgrassmount.gen.ttypes import Hello, Message


@dataclass(frozen=True, slots=True)
class PeerFailure:
    """A question to another node had no answer.

    ``sent`` tells whether the other node may have received it, and
    ``incarnation`` which process it was that may have, if it is known.
    """

    address: str
    sent: bool
    incarnation: str = ""


class PeerPort(Protocol):
    """Sends messages to other nodes by their address (``ip:port``)."""

    async def request(
        self, address: str, message: Message, timeout_s: float
    ) -> Message | PeerFailure:
        """Send a message and wait for its reply."""

    async def send(self, address: str, message: Message) -> bool:
        """Send a message that has no reply; tell whether it was handed over."""


class Handler(Protocol):
    """Answers one kind of message.

    Handlers are registered under the name of the message's field, for example
    ``"gossip"``.
    """

    async def __call__(self, sender: Hello, message: Message) -> Message | None:
        """Return the reply, or ``None`` for a message that has none."""


Handlers = dict[str, Handler]
