"""Interfaces for messages between nodes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from eelgrassmount.gen.ttypes import Hello, Message


@dataclass(frozen=True, slots=True)
class PeerFailure:
    """A request to another node that got no reply.

    ``sent`` is true if the other node may have received the request;
    ``incarnation`` is the process that may have received it, if known.
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
        """Send a message that has no reply; return whether it was queued."""


class Handler(Protocol):
    """Handles one kind of message.

    Handlers are registered by the name of the message's field, for example
    ``"gossip"``.
    """

    async def __call__(self, sender: Hello, message: Message) -> Message | None:
        """Return the reply, or ``None`` for a message that has none."""


Handlers = dict[str, Handler]
