"""The state that the controllers of a node share."""

from __future__ import annotations

from enum import IntEnum

from attrs import define, field

from eelgrassmount.config.classes import Configuration
from eelgrassmount.load.state import LoadTable
from eelgrassmount.members.table import Identity, MemberTable, ServerState


class DrainStage(IntEnum):
    """The stage of a graceful shutdown."""

    RUNNING = 0
    DRAINING = 1
    DRAINED = 2


@define
class LocalServer:
    """The backend server on this VM, as it announces itself.

    ``address`` is ``ip:port``; ``load`` is the load that the server reports, which is
    only displayed.
    """

    service: str = ""
    address: str = ""
    state: ServerState = ServerState.ABSENT
    load: float = 0.0
    announced_s: float = 0.0


@define
class SharedNodeState:
    """The data that controllers exchange within a node.

    Each field has one writer: ``configuration`` the configuration follower,
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
        """Return whether this node's backend server accepts new work."""
        return (
            self.drain is DrainStage.RUNNING
            and self.server.state is ServerState.SERVING
        )
