"""The membership of a node: what `compose` wires and other parts call."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import anyio
from loguru import logger

from eelgrassmount.blackboard import DrainStage
from eelgrassmount.members import exchange
from eelgrassmount.members.conflicts import Conflicts
from eelgrassmount.members.counts import Counts
from eelgrassmount.members.delegates import differ_in_load
from eelgrassmount.members.domains import Domains
from eelgrassmount.members.joining import Joiner
from eelgrassmount.members.timing import Timing, compute_load_interval_s
from eelgrassmount.members.roster import Roster
from eelgrassmount.members.rounds import Rounds
from eelgrassmount.members.table import MemberState, ServerState
from eelgrassmount.members.updates import MemberKey

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Sequence

    from eelgrassmount.blackboard import Blackboard
    from eelgrassmount.gen.ttypes import Gossip
    from eelgrassmount.load.state import ServiceLoad
    from eelgrassmount.log_port import LogPort
    from eelgrassmount.peer.port import Handlers, PeerPort
    from eelgrassmount.timers import TimerService
    from eelgrassmount.util.background import Background

_LEAVE_TELLS = 6
_LEAVE_S = 0.5


class Membership:
    """Keeps `Blackboard.members` and tells the other nodes of this one.

    ``describe_load`` gives the load of the local backend server. Other parts
    that have something to say in each message add a function to ``fillers``, and to
    ``observers`` one that is given each message with its sender's address::

        membership = Membership(board, timers, peers, log, rng, seeds)
        membership.fillers.append(add_version)
        await membership.start(task_group)
    """

    def __init__(
        self,
        board: Blackboard,
        timers: TimerService,
        peers: PeerPort,
        log: LogPort,
        rng: random.Random,
        seeds: Sequence[str] = (),
        counts: Counts | None = None,
        describe_load: Callable[[], ServiceLoad] | None = None,
        timing: Timing | None = None,
    ) -> None:
        self.fillers: list[Callable[[Gossip], None]] = []
        self.observers: list[Callable[[str, Gossip], None]] = []
        self._board = board
        self._timers = timers
        self.describe_load = describe_load
        self._tasks: Background | None = None
        self._load_told_s = -math.inf
        self.roster = Roster(
            board.identity,
            timing or Timing(),
            rng,
            board.members,
            counts=counts or Counts(),
        )
        self._rounds = Rounds(
            self.roster, timers, peers, self._spawn, self._fill, self._observe
        )
        self._domains = Domains(self.roster, timers, self._rounds)
        conflicts = Conflicts(self.roster, self._rounds)
        self._rounds.react = self._domains.react
        self._rounds.settle_conflict = conflicts.start_settling
        self._joiner = Joiner(
            self.roster, timers, self._rounds, log, tuple(seeds), self._is_delegate
        )

    def handlers(self) -> Handlers:
        """Return the handlers of the messages that the membership answers."""
        return {
            "gossip": self._rounds.answer_gossip,
            "ping": self._rounds.answer_ping,
        }

    async def start(self, task_group: Background) -> None:
        """Join the other nodes and keep going in ``task_group``."""
        self._tasks = task_group
        self._rounds.start()
        self._domains.start()
        self._joiner.start()
        self._timers.subscribe(self.roster.timing.round_s, self.announce_change)

    def announce_change(self) -> None:
        """Tell the other nodes what changed at this one.

        A change of the backend server's state is told at once. A change of load
        is told when it is large, and not too often; it travels with the usual
        messages. Called without a change it does nothing.
        """
        if self.roster.own.state is MemberState.LEFT:
            return
        now_s = self._timers.read()
        service = self._board.server.service
        server_state = self._compute_server_state()
        own = self.roster.own
        if (own.service, own.server_state) != (service, server_state):
            self.roster.change_own(now_s, service=service, server_state=server_state)
            self.roster.urgent[MemberKey(own.identity.address)] = None
            self._rounds.flush_soon()
            # the load of a server that just came or went is news as well
            self._load_told_s = -math.inf
        self._announce_load(now_s)

    async def leave(self) -> None:
        """Tell the other nodes that this one goes, as its last word."""
        now_s = self._timers.read()
        self.roster.change_own(
            now_s, state=MemberState.LEFT, server_state=ServerState.DRAINING
        )
        partners = self._rounds.partners
        count = min(len(partners), _LEAVE_TELLS)
        # asked, because what is only told may be lost when the process ends
        gossip = exchange.build_round(self.roster)
        with anyio.move_on_after(_LEAVE_S):
            async with anyio.create_task_group() as group:
                for address in self.roster.rng.sample(partners, count):
                    group.start_soon(self._rounds.request, address, gossip, _LEAVE_S)
        logger.info("left the membership")

    def _compute_server_state(self) -> ServerState:
        state = self._board.server.state
        if state is ServerState.ABSENT or self._board.drain is DrainStage.RUNNING:
            return state
        return ServerState.DRAINING

    def _announce_load(self, now_s: float) -> None:
        if self.describe_load is None:
            return
        interval_s = compute_load_interval_s(
            self.roster.timing, len(self.roster.table.members)
        )
        if now_s - self._load_told_s < interval_s:
            return
        load = self.describe_load()
        own = self.roster.own
        if differ_in_load(own.headroom, load.headroom) or differ_in_load(
            own.threshold, load.threshold
        ):
            self._load_told_s = now_s
            self.roster.change_own(
                now_s, headroom=load.headroom, threshold=load.threshold
            )

    def _is_delegate(self) -> bool:
        return self._domains.rank is not None

    def _spawn(self, action: Callable[..., object], *args: object) -> None:
        if self._tasks is not None:
            self._tasks.start_soon(action, *args)

    def _fill(self, gossip: Gossip) -> None:
        for filler in self.fillers:
            filler(gossip)

    def _observe(self, address: str, gossip: Gossip) -> None:
        for observer in self.observers:
            observer(address, gossip)
