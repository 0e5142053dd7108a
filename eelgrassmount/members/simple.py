"""Full-table gossip with the seeds: the least that the thin path needs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, evolve

from eelgrassmount.gen import ttypes
from eelgrassmount.members.table import Identity, Member, MemberState, ServerState
from eelgrassmount.peer.port import PeerFailure

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from eelgrassmount.blackboard import Blackboard
    from eelgrassmount.peer.port import Handlers, PeerPort
    from eelgrassmount.timers import TimerService

PERIOD_S = 0.3


@define(eq=False)
class SimpleMembership:
    """Exchanges the whole table with the seeds and all known members."""

    board: Blackboard
    timers: TimerService
    peers: PeerPort
    seeds: tuple[str, ...]
    group: TaskGroup | None = None

    def handlers(self) -> Handlers:
        """Return the handlers by message field."""
        return {"gossip": self._handle}

    async def start(self, group: TaskGroup) -> None:
        """Exchange from now on."""
        self.group = group
        self.timers.subscribe(PERIOD_S, self._round, jitter=0.2)

    def announce_change(self) -> None:
        """Tell everybody at once."""
        self._round()

    def _round(self) -> None:
        self._refresh_self()
        known = {*self.seeds, *self.board.members.members}
        for address in known - {self.board.identity.address}:
            self.group.start_soon(self._exchange, address)

    def _refresh_self(self) -> None:
        members = self.board.members.members
        own = members.get(self.board.identity.address)
        own = own or Member(self.board.identity)
        members[self.board.identity.address] = evolve(
            own,
            heartbeat=own.heartbeat + 1,
            service=self.board.server.service,
            server_state=self.board.server.state,
        )

    async def _exchange(self, address: str) -> None:
        message = ttypes.Message(gossip=self._encode())
        reply = await self.peers.ask(address, message, 1.0)
        if not isinstance(reply, PeerFailure):
            self._merge(reply.gossip)

    async def _handle(self, sender, message):
        self._merge(message.gossip)
        return ttypes.Message(gossip=self._encode())

    def _encode(self) -> ttypes.Gossip:
        return ttypes.Gossip(
            members=[
                ttypes.Member(
                    address=member.identity.address,
                    failure_domain=member.identity.failure_domain,
                    region=member.identity.region,
                    incarnation=member.identity.incarnation,
                    heartbeat=member.heartbeat,
                    service_name=member.service,
                    server_state=int(member.server_state),
                )
                for member in self.board.members.members.values()
            ]
        )

    def _merge(self, gossip: ttypes.Gossip) -> None:
        for frame in gossip.members:
            known = self.board.members.members.get(frame.address)
            if known is None or frame.heartbeat > known.heartbeat:
                self.board.members.members[frame.address] = Member(
                    Identity(
                        frame.address,
                        frame.failure_domain,
                        frame.region,
                        frame.incarnation,
                    ),
                    frame.heartbeat,
                    MemberState.ALIVE,
                    frame.service_name,
                    ServerState(frame.server_state),
                )
