"""Resolves conflicts between two incarnations that claim one address."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define
from loguru import logger

from eelgrassmount.gen import ttypes
from eelgrassmount.members import exchange
from eelgrassmount.members.counts import Count
from eelgrassmount.peer.port import PeerFailure

if TYPE_CHECKING:
    from eelgrassmount.members.roster import Roster
    from eelgrassmount.members.rounds import Rounds

_MAX_UNCHECKED_SUPERSESSIONS = 3


@define
class Conflicts:
    """Lets this incarnation supersede another that claims its address.

    A restarted node does so when it receives a report about its former
    incarnation. Repeated conflicts mean that two processes run; then only the
    process that is reachable at the address continues to supersede the other.
    """

    roster: Roster
    rounds: Rounds
    _supersessions: int = 0
    _resolving: bool = False

    def start_resolving(self) -> None:
        """Start to resolve a conflict, unless a resolution is running."""
        if not self._resolving:
            self._resolving = True
            self.rounds.spawn(self._resolve)

    async def _resolve(self) -> None:
        self._supersessions += 1
        if (
            self._supersessions <= _MAX_UNCHECKED_SUPERSESSIONS
            or await self._is_reachable()
        ):
            self.roster.supersede_conflict(self.rounds.timers.read())
            self.rounds.flush_soon()
        else:
            self.roster.conflict = None
            self.roster.counts.add(Count.ADDRESS_CONFLICTS)
            logger.warning("another process answers at the address of this node")
        self._resolving = False

    async def _is_reachable(self) -> bool:
        identity = self.roster.identity
        question = ttypes.Message(gossip=exchange.build_pull(self.roster, [0]))
        reply = await self.rounds.peers.request(
            identity.address, question, self.roster.timing.request_timeout_s
        )
        if isinstance(reply, PeerFailure):
            return False
        if reply.gossip is None or not reply.gossip.members:
            return False
        return reply.gossip.members[0].incarnation == identity.incarnation
