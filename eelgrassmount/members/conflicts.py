"""Two incarnations that claim one address."""

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

_FREE_RAISES = 3


@define
class Conflicts:
    """Puts this incarnation above another one that claims its address.

    A restarted node does so as soon as it hears of its former incarnation.
    When it happens again and again, there are two processes; the one that is
    reached at the address goes on and the other one gives in.
    """

    roster: Roster
    rounds: Rounds
    _raises: int = 0
    _settling: bool = False

    def start_settling(self) -> None:
        """Settle a conflict, unless that is being done."""
        if not self._settling:
            self._settling = True
            self.rounds.spawn(self._settle)

    async def _settle(self) -> None:
        self._raises += 1
        if self._raises <= _FREE_RAISES or await self._reaches_itself():
            self.roster.raise_own(self.rounds.timers.read())
            self.rounds.flush_soon()
        else:
            self.roster.conflict = None
            self.roster.counts.add(Count.ADDRESS_CONFLICTS)
            logger.warning("another process is reached at the address of this node")
        self._settling = False

    async def _reaches_itself(self) -> bool:
        identity = self.roster.identity
        question = ttypes.Message(gossip=exchange.build_pull(self.roster, [0]))
        reply = await self.rounds.peers.request(
            identity.address, question, self.roster.timing.ask_s
        )
        if isinstance(reply, PeerFailure):
            return False
        if reply.gossip is None or not reply.gossip.members:
            return False
        return reply.gossip.members[0].incarnation == identity.incarnation
