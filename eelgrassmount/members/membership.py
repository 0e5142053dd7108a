"""Membership of a node among the others of the deployment."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import anyio
from loguru import logger

from eelgrassmount.members import exchange
from eelgrassmount.members.conflicts import Conflicts
from eelgrassmount.members.counts import Counts
from eelgrassmount.members.delegates import has_load_changed
from eelgrassmount.members.domains import DomainExchange
from eelgrassmount.members.joining import Joiner
from eelgrassmount.members.roster import Roster
from eelgrassmount.members.rounds import Rounds
from eelgrassmount.members.table import MemberState, ServerState
from eelgrassmount.members.timing import Timing, compute_load_interval_s
from eelgrassmount.members.updates import MemberKey
from eelgrassmount.shared_node_state import DrainStage

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Sequence

    from eelgrassmount.gen.ttypes import Gossip
    from eelgrassmount.load.state import ServiceLoad
    from eelgrassmount.log_service import LogService
    from eelgrassmount.peer.port import Handlers, PeerPort
    from eelgrassmount.shared_node_state import SharedNodeState
    from eelgrassmount.timers import TimerService
    from eelgrassmount.util.background import Background

_MAX_LEAVE_RECIPIENTS = 6
_LEAVE_TIMEOUT_S = 0.5


class Membership:
    """Updates `SharedNodeState.members` and announces this node to the others.

    ``describe_load`` returns the load of the local backend server. Each function
    in ``fillers`` adds fields to messages before they are sent; each one in
    ``observers`` is called with the sender's address and a received message::

        membership = Membership(shared_state, timers, peers, log, rng, seeds)
        membership.fillers.append(add_version)
        await membership.start(task_group)
    """

    def __init__(
        self,
        shared_state: SharedNodeState,
        timers: TimerService,
        peers: PeerPort,
        log: LogService,
        rng: random.Random,
        seeds: Sequence[str] = (),
        counts: Counts | None = None,
        describe_load: Callable[[], ServiceLoad] | None = None,
        timing: Timing | None = None,
    ) -> None:
        self.fillers: list[Callable[[Gossip], None]] = []
        self.observers: list[Callable[[str, Gossip], None]] = []
        self._shared_state = shared_state
        self._timers = timers
        self.describe_load = describe_load
        self._tasks: Background | None = None
        self._load_announced_s = -math.inf
        self.roster = Roster(
            shared_state.identity,
            timing or Timing(),
            rng,
            shared_state.members,
            counts=counts or Counts(),
        )
        self._rounds = Rounds(
            self.roster, timers, peers, self._spawn, self._fill, self._observe
        )
        self._domain_exchange = DomainExchange(self.roster, timers, self._rounds)
        conflicts = Conflicts(self.roster, self._rounds)
        self._rounds.publish_urgent = self._domain_exchange.publish_urgent
        self._rounds.resolve_conflict = conflicts.start_resolving
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
        """Join the other nodes and run in ``task_group``."""
        self._tasks = task_group
        self._rounds.start()
        self._domain_exchange.start()
        self._joiner.start()
        self._timers.subscribe(
            self.roster.timing.round_interval_s, self.announce_change
        )

    def announce_change(self) -> None:
        """Announce changes of this node to the others.

        A change of the backend server's state is sent at once. A large change of
        load is sent with the next rounds of gossip, at a limited rate. Without a
        change, this does nothing.
        """
        if self.roster.local_member.state is MemberState.LEFT:
            return
        now_s = self._timers.read()
        service = self._shared_state.server.service
        server_state = self._compute_server_state()
        local = self.roster.local_member
        if (local.service, local.server_state) != (service, server_state):
            self.roster.update_local_member(
                now_s, service=service, server_state=server_state
            )
            self.roster.urgent[MemberKey(local.identity.address)] = None
            self._rounds.flush_soon()
            # the load of a server that started or stopped is announced at once
            self._load_announced_s = -math.inf
        self._announce_load(now_s)

    async def leave(self) -> None:
        """Announce that this node leaves."""
        now_s = self._timers.read()
        self.roster.update_local_member(
            now_s, state=MemberState.LEFT, server_state=ServerState.DRAINING
        )
        partners = self._rounds.partners
        count = min(len(partners), _MAX_LEAVE_RECIPIENTS)
        # sent as requests, since the process may end before a message without a
        # reply is delivered
        gossip = exchange.build_round(self.roster)
        with anyio.move_on_after(_LEAVE_TIMEOUT_S):
            async with anyio.create_task_group() as group:
                for address in self.roster.rng.sample(partners, count):
                    group.start_soon(
                        self._rounds.request, address, gossip, _LEAVE_TIMEOUT_S
                    )
        logger.info("left the membership")

    def _compute_server_state(self) -> ServerState:
        state = self._shared_state.server.state
        if (
            state is ServerState.ABSENT
            or self._shared_state.drain is DrainStage.RUNNING
        ):
            return state
        return ServerState.DRAINING

    def _announce_load(self, now_s: float) -> None:
        if self.describe_load is None:
            return
        interval_s = compute_load_interval_s(
            self.roster.timing, len(self.roster.table.members)
        )
        if now_s - self._load_announced_s < interval_s:
            return
        load = self.describe_load()
        local = self.roster.local_member
        if has_load_changed(local.headroom, load.headroom) or has_load_changed(
            local.threshold, load.threshold
        ):
            self._load_announced_s = now_s
            self.roster.update_local_member(
                now_s, headroom=load.headroom, threshold=load.threshold
            )

    def _is_delegate(self) -> bool:
        return self._domain_exchange.rank is not None

    def _spawn(self, action: Callable[..., object], *args: object) -> None:
        if self._tasks is not None:
            self._tasks.start_soon(action, *args)

    def _fill(self, gossip: Gossip) -> None:
        for filler in self.fillers:
            filler(gossip)

    def _observe(self, address: str, gossip: Gossip) -> None:
        for observer in self.observers:
            observer(address, gossip)
