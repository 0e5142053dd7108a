"""The state that controllers share."""

from __future__ import annotations

from enum import IntEnum

from attrs import define, field

from eelgrassmount.config.classes import Configuration
from eelgrassmount.load.state import LoadTable
from eelgrassmount.members.table import Identity, MemberTable, ServerState


class DrainStage(IntEnum):
    """How far a graceful shutdown has come."""

    RUNNING = 0
    DRAINING = 1
    DRAINED = 2


@define
class LocalServer:
    """The backend server on this VM, from its own announcements.

    ``address`` is ``ip:port``; ``load`` is what the server claims, which is
    only shown and never decides.
    """

    service: str = ""
    address: str = ""
    state: ServerState = ServerState.ABSENT
    load: float = 0.0
    announced_s: float = 0.0


@define
class SharedNodeState:
    """Everything that one controller writes and another one reads.

    Each part has one writer: ``configuration`` the configuration follower,
    ``members`` the membership, ``loads`` the load exchange, ``server`` the
    backend listener, ``drain`` the graceful shutdown.
    """

    identity: Identity
    configuration: Configuration = field(factory=Configuration)
    members: MemberTable = field(factory=MemberTable)
    loads: LoadTable = field(factory=LoadTable)
    server: LocalServer = field(factory=LocalServer)
    drain: DrainStage = DrainStage.RUNNING
    log_reachable: bool = False

    @property
    def accepts_work(self) -> bool:
        """Tell whether this node's backend server may be given new work."""
        return (
            self.drain is DrainStage.RUNNING
            and self.server.state is ServerState.SERVING
        )
