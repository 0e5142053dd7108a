"""Runs calls that have an idempotency key, each key at most once."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from attrs import define

from eelgrassmount.keys.core import Core, KeySettings
from eelgrassmount.keys.follower import TICK_S, Follower
from eelgrassmount.keys.holder import has_runs
from eelgrassmount.keys.minted import MINTED_SLOT, Minter
from eelgrassmount.keys.owner import Owner
from eelgrassmount.keys.replica import Replica
from eelgrassmount.keys.routes import OwnerRoutes

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from anyio.abc import TaskGroup

    from eelgrassmount.calls.request import Call, Outcome
    from eelgrassmount.gen.ttypes import Hello, Message
    from eelgrassmount.keys.holder import SlotHolder
    from eelgrassmount.keys.port import Runner
    from eelgrassmount.log_service import LogService
    from eelgrassmount.peer.port import Handlers, PeerPort
    from eelgrassmount.shared_node_state import SharedNodeState
    from eelgrassmount.timers import TimerService

HAND_OVER_S = 20.0
_POLL_S = 0.1


def _ignore(name: str) -> None:
    """Count nothing."""


@define
class KeyService:
    """The at-most-once part of one node; implements `KeyPort`.

    ``run`` of the constructor runs a call on some node of its service;
    ``count`` counts an event by its name. Nothing is run before `start`.
    """

    core: Core
    follower: Follower
    replica: Replica
    minter: Minter
    routes: OwnerRoutes

    @classmethod
    def create(
        cls,
        shared_state: SharedNodeState,
        timers: TimerService,
        peers: PeerPort,
        log: LogService,
        run: Runner,
        rng: random.Random,
        settings: KeySettings | None = None,
        count: Callable[[str], None] = _ignore,
    ) -> KeyService:
        """Return a service with its parts wired up."""
        settings = settings or KeySettings()
        core = Core(shared_state, timers, peers, log, run, rng, settings, count)
        follower = Follower(core)
        owner = Owner(core, follower)
        minter = Minter(core)
        return cls(
            core=core,
            follower=follower,
            replica=Replica(core, follower),
            minter=minter,
            routes=OwnerRoutes(core, follower, owner, minter),
        )

    async def start(self, tasks: TaskGroup) -> None:
        """Begin to follow views, to keep backups and to expire keys."""
        self.core.tasks = tasks
        self.minter.note_checkpoint()
        self.core.timers.subscribe(TICK_S, self._tick)
        tasks.start_soon(self.follower.tail)
        tasks.start_soon(self.follower.steward)
        tasks.start_soon(self.replica.run)

    def _tick(self) -> None:
        now_s = self.core.timers.read()
        window_s = self.core.settings.window_s
        self.core.is_stalled()
        self.core.read_roster()
        self.minter.note_checkpoint()
        self.minter.expire(now_s, window_s)
        for holder in self.core.holders:
            holder.table.expire(now_s, window_s)
            holder.ledger.drop_idle_tickets()

    def handlers(self) -> Handlers:
        """Return what answers the messages about slots."""
        return {
            "mark_question": self.replica.answer_marks,
            "slot_transfer": self._answer_transfer,
            "slot_question": self.follower.answer,
        }

    async def _answer_transfer(self, sender: Hello, message: Message) -> Message | None:
        if message.slot_transfer.slot == MINTED_SLOT:
            return self.minter.answer_transfer(sender, message.slot_transfer)
        return await self.replica.answer_transfer(sender, message)

    def mint(self) -> str:
        """Return a new key, empty while this node is leaving."""
        return self.minter.mint()

    async def run(self, call: Call) -> Outcome:
        """Find the owner of the call's key and let it run the call.

        Refusals are *may have run* wherever an earlier sending of the key may
        have been run, also when this very sending certainly was not.
        """
        return await self.routes.enter(call)

    async def handle_own(self, call: Call) -> Outcome:
        """Act on a call that another node sent to the owner of its key."""
        return await self.routes.receive(call)

    def hear_version(self, version: int, address: str) -> None:
        """Note that a node of this failure domain knows a view of ``version``."""
        if version > self.find_version() and self.core.tasks is not None:
            self.core.tasks.start_soon(self.follower.ask_peer, address)

    def find_version(self) -> int:
        """Return the latest version among all slots' views, for gossip."""
        return max(holder.view.version for holder in self.core.holders)

    async def hand_over(self) -> None:
        """Give slots and answers to others, as part of a graceful shutdown.

        Calls under way are finished first. Returns when no slot needs this
        node any more, or after `HAND_OVER_S` at the latest.
        """
        self.core.leaving = True
        with anyio.move_on_after(HAND_OVER_S):
            await self._leave_slots()
            while not self.minter.idle:
                await anyio.sleep(_POLL_S)
            await self.minter.hand_over()

    async def _leave_slots(self) -> None:
        while any(self._is_needed(holder) for holder in self.core.holders):
            await self.follower.propose_due()
            await anyio.sleep(_POLL_S)

    def _is_needed(self, holder: SlotHolder) -> bool:
        view = holder.view
        if has_runs(holder.ledger) or holder.facts:
            return True
        if len(self.core.read_roster().fit) == 0:
            return False
        return self.core.me in (view.primary, view.backup)
