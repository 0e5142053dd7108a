"""What a server has said about itself, as other nodes remember it.

The node beside a server forgets on a restart that its server limits its rate or will
stop. The nodes that send it calls tell it again with the first frame of their link.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

from eelgrassmount.gen import ttypes
from eelgrassmount.relay.heartbeats import UNKNOWN_START, ServerIncarnation

if TYPE_CHECKING:
    from eelgrassmount.relay.server import LocalServer


@frozen
class ServerNotice:
    """The announced stop and the rate limit of one incarnation of a server.

    ``rate_limit_per_s`` is ``None`` without a limit.
    """

    incarnation: ServerIncarnation
    leaving: bool
    rate_limit_per_s: float | None

    def concerns(self, incarnation: ServerIncarnation) -> bool:
        """Return whether this is about an incarnation, as far as is known."""
        starts = {self.incarnation.started_ms, incarnation.started_ms}
        same_start = len(starts) == 1 or UNKNOWN_START in starts
        return self.incarnation.identity == incarnation.identity and same_start


def write_notice(notice: ServerNotice | None) -> ttypes.ServerNotice | None:
    """Encode a notice."""
    if notice is None:
        return None
    return ttypes.ServerNotice(
        notice.incarnation.identity,
        notice.incarnation.started_ms,
        notice.leaving,
        notice.rate_limit_per_s,
    )


def read_notice(notice: ttypes.ServerNotice | None) -> ServerNotice | None:
    """Decode a notice."""
    if notice is None:
        return None
    incarnation = ServerIncarnation(notice.identity, notice.started_ms)
    return ServerNotice(incarnation, notice.leaving, notice.rate_limit)


def make_notice(server: LocalServer) -> ServerNotice | None:
    """Return the notice on the local server, ``None`` if it takes all calls."""
    if server.incarnation is None:
        return None
    leaving = server.is_leaving()
    rate_limit_per_s = server.rate_limit.per_s
    if not leaving and rate_limit_per_s is None:
        return None
    return ServerNotice(server.incarnation, leaving, rate_limit_per_s)
