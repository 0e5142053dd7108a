"""Runs calls that have an idempotency key, each key at most once."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from attrs import define

from eelgrassmount.keys.core import Core, KeySettings
from eelgrassmount.keys.follower import TICK_INTERVAL_S, Follower
from eelgrassmount.keys.minted import MINTED_SLOT, Minter
from eelgrassmount.keys.owner import Owner
from eelgrassmount.keys.owner_router import OwnerRouter
from eelgrassmount.keys.replica import Replica
from eelgrassmount.keys.slot_state import has_local_runs

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from anyio.abc import TaskGroup

    from eelgrassmount.calls.request import Call, Outcome
    from eelgrassmount.gen.ttypes import Hello, Message
    from eelgrassmount.keys.port import Runner
    from eelgrassmount.keys.slot_state import SlotState
    from eelgrassmount.log_service import LogService
    from eelgrassmount.peer.port import Handlers, PeerPort
    from eelgrassmount.shared_node_state import SharedNodeState
    from eelgrassmount.timers import TimerService

HANDOVER_TIMEOUT_S = 20.0
_POLL_INTERVAL_S = 0.1


def _ignore(name: str) -> None:
    """Count nothing."""


@define
class KeyService:
    """The key service of one node; implements `KeyPort`.

    No call runs before `start`.
    """

    core: Core
    follower: Follower
    replica: Replica
    minter: Minter
    router: OwnerRouter

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
        """Return a service with its parts wired.

        ``run`` runs a call on a node of its service; ``count`` counts an event.
        """
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
            router=OwnerRouter(core, follower, owner, minter),
        )

    async def start(self, tasks: TaskGroup) -> None:
        """Start following views, replicating to backups and expiring keys."""
        self.core.tasks = tasks
        self.minter.record_checkpoint()
        self.core.timers.subscribe(TICK_INTERVAL_S, self._tick)
        tasks.start_soon(self.follower.follow_stream)
        tasks.start_soon(self.follower.propose_periodically)
        tasks.start_soon(self.replica.run)

    def _tick(self) -> None:
        now_s = self.core.timers.read()
        window_s = self.core.settings.window_s
        self.core.is_stalled()
        self.core.read_roster()
        self.minter.record_checkpoint()
        self.minter.expire(now_s, window_s)
        for slot_state in self.core.slot_states:
            slot_state.table.expire(now_s, window_s)
            slot_state.key_store.drop_idle_outcomes()

    def handlers(self) -> Handlers:
        """Return the handlers of messages about slots."""
        return {
            "mark_question": self.replica.answer_marks,
            "slot_transfer": self._answer_transfer,
            "slot_question": self.follower.answer_view_request,
        }

    async def _answer_transfer(self, sender: Hello, message: Message) -> Message | None:
        if message.slot_transfer.slot == MINTED_SLOT:
            return self.minter.answer_transfer(sender, message.slot_transfer)
        return await self.replica.answer_transfer(sender, message)

    def mint(self) -> str:
        """Return a new key, or an empty text while this node is leaving."""
        return self.minter.mint()

    async def run(self, call: Call) -> Outcome:
        """Route the call to the owner of its key, which runs it.

        Refusals are *may have run* if an earlier attempt of the key may have run,
        even if this attempt was certainly not run.
        """
        return await self.router.enter(call)

    async def handle_forwarded(self, call: Call) -> Outcome:
        """Handle a call that another node routed to the owner of its key."""
        return await self.router.receive(call)

    def handle_version(self, version: int, address: str) -> None:
        """Fetch views from a node that announces a newer ``version``."""
        if version > self.find_version() and self.core.tasks is not None:
            self.core.tasks.start_soon(self.follower.fetch_views, address)

    def find_version(self) -> int:
        """Return the latest version of all views, for gossip."""
        return max(slot_state.view.version for slot_state in self.core.slot_states)

    async def hand_over(self) -> None:
        """Move slots and minted keys to other nodes during a graceful shutdown.

        Calls in progress finish first. Return when no slot needs this node, or after
        `HANDOVER_TIMEOUT_S`.
        """
        self.core.leaving = True
        with anyio.move_on_after(HANDOVER_TIMEOUT_S):
            await self._leave_slots()
            while not self.minter.idle:
                await anyio.sleep(_POLL_INTERVAL_S)
            await self.minter.hand_over()

    async def _leave_slots(self) -> None:
        while any(self._is_needed(slot_state) for slot_state in self.core.slot_states):
            await self.follower.propose_due()
            await anyio.sleep(_POLL_INTERVAL_S)

    def _is_needed(self, slot_state: SlotState) -> bool:
        view = slot_state.view
        if has_local_runs(slot_state.key_store) or slot_state.results:
            return True
        if len(self.core.read_roster().eligible) == 0:
            return False
        return self.core.node_id in (view.primary, view.backup)
