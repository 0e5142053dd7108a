"""Run the calls of keys in the slots of which this node is primary."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from attrs import define
from loguru import logger

from eelgrassmount.calls.request import Outcome
from eelgrassmount.gen.ttypes import MarkQuestion, Message
from eelgrassmount.keys.entry_codec import encode_entry
from eelgrassmount.keys.table import Entry, Stage
from eelgrassmount.peer.port import PeerFailure
from eelgrassmount.verdict import MayHaveRun, NotRun, Reason

if TYPE_CHECKING:
    from eelgrassmount.calls.request import Call
    from eelgrassmount.keys.core import Core
    from eelgrassmount.keys.follower import Follower
    from eelgrassmount.keys.slot_state import KeyStore, SlotState

RETRY_DELAY_S = 0.02


@define
class Owner:
    """The primary's side of the slots."""

    core: Core
    follower: Follower

    async def run(self, slot_state: SlotState, call: Call) -> Outcome:
        """Return the outcome of a call, running it if its key is new.

        The outcome is `Reason.OWNER_CHANGING` without a retry time if this node is
        not the primary and has not run the call.
        """
        while True:
            entry = slot_state.table.find(call.context.key)
            if entry is not None:
                outcome = await self._replay(slot_state, entry, call)
                if outcome is not None:
                    return outcome
                continue
            outcome = await self._wait_until_ready(slot_state, call)
            if outcome is not None:
                return outcome
            # no await between this check and adding the entry, or a key may run twice
            if slot_state.table.find(call.context.key) is None:
                return await self._run_new(slot_state, call)

    async def _replay(
        self, slot_state: SlotState, entry: Entry, call: Call
    ) -> Outcome | None:
        if entry.stage is Stage.ELSEWHERE and self._is_runner_gone(entry):
            if entry.digest != call.context.digest:
                return refuse_reused(self.core)
            self.core.count("key-unknown-result")
            return Outcome(MayHaveRun(Reason.OWNER_UNREACHABLE))
        return await get_or_await_outcome(self.core, slot_state.key_store, entry, call)

    def _is_runner_gone(self, entry: Entry) -> bool:
        roster = self.core.read_roster()
        staying = roster.known - roster.gone
        return all(node.incarnation != entry.runner for node in staying)

    async def _wait_until_ready(
        self, slot_state: SlotState, call: Call
    ) -> Outcome | None:
        core = self.core
        now_s = core.timers.read()
        limit_s = min(call.context.deadline_s, now_s + core.settings.change_wait_s)
        while slot_state.view.primary == core.node_id:
            now_s = core.timers.read()
            if slot_state.is_waiting(core.node_id, now_s):
                core.count("key-owner-waiting")
                wait_s = slot_state.opens_at_s - now_s
                return Outcome(MayHaveRun(Reason.OWNER_CHANGING, wait_s))
            if slot_state.synced and not core.is_stalled():
                return None
            if now_s >= limit_s or not self._can_backup_change(slot_state):
                core.count("key-backup-unreachable")
                return Outcome(MayHaveRun(Reason.OWNER_UNREACHABLE))
            await wait_change(slot_state, limit_s - now_s)
        return Outcome(MayHaveRun(Reason.OWNER_CHANGING))

    def _can_backup_change(self, slot_state: SlotState) -> bool:
        # a dead backup can't be replaced without the log, so waiting is futile
        backup_gone = self.core.read_roster().is_gone(slot_state.view.backup)
        return self.core.shared_state.log_reachable or not backup_gone

    async def _run_new(self, slot_state: SlotState, call: Call) -> Outcome:
        context = call.context
        if self.core.budget.full:
            return await self._refuse_full(slot_state, call)
        entry = Entry(
            key=context.key,
            digest=context.digest,
            runner=self.core.node_id.incarnation,
            mark=self.core.allocate_mark_number(),
            stage=Stage.MARKED,
            since_s=self.core.timers.read(),
        )
        slot_state.table.put(entry)
        pending_outcome = slot_state.key_store.get_pending_outcome(entry.key)
        self.core.tasks.start_soon(self._execute, slot_state, entry, call)
        return await wait_for_outcome(self.core, pending_outcome, call) or Outcome(
            MayHaveRun(Reason.OWNER_CHANGING)
        )

    async def _refuse_full(self, slot_state: SlotState, call: Call) -> Outcome:
        # "not run" is only true if the backup confirms that this node is primary
        refusal = await self._mark(slot_state, [], call)
        if refusal is not None:
            return Outcome(refusal)
        self.core.count("key-table-full")
        return Outcome(NotRun(Reason.KEY_TABLE_FULL))

    async def _execute(self, slot_state: SlotState, entry: Entry, call: Call) -> None:
        """Mark a key and run its call, independently of the waiting caller."""
        refusal = await self._mark(slot_state, [entry], call)
        if refusal is not None:
            self._abandon(slot_state, entry, Outcome(refusal))
            return
        entry.stage = Stage.RUNNING
        outcome = await run_guarded(self.core, call)
        slot_state.key_store.complete(entry, outcome, self.core.timers.read())
        self._queue_result(slot_state, entry, outcome)

    def _abandon(self, slot_state: SlotState, entry: Entry, outcome: Outcome) -> None:
        slot_state.table.release(entry)
        slot_state.key_store.resolve(entry.key, outcome)
        self._queue_result(slot_state, entry, Outcome(NotRun(Reason.CANCELLED)))

    def _queue_result(
        self, slot_state: SlotState, entry: Entry, outcome: Outcome
    ) -> None:
        result = Entry(
            key=entry.key,
            digest=entry.digest,
            runner=entry.runner,
            mark=entry.mark,
            stage=Stage.DONE,
            since_s=self.core.timers.read(),
            outcome=outcome,
        )
        if slot_state.view.backup or slot_state.view.primary != self.core.node_id:
            self.core.queue_result(slot_state, result)

    async def _mark(
        self, slot_state: SlotState, entries: list[Entry], call: Call
    ) -> NotRun | MayHaveRun | None:
        """Get marks acknowledged by the backup; return ``None`` if the call may run."""
        while True:
            refusal = await self._wait_until_ready(slot_state, call)
            if refusal is not None:
                return refusal.verdict
            view = slot_state.view
            if not view.backup:
                if self.core.may_run_without_backup():
                    return None
                if not await self.follower.catch_up():
                    self.core.count("key-owner-alone")
                    return MayHaveRun(Reason.OWNER_UNREACHABLE)
                continue
            answer = await self._send_marks(slot_state, entries)
            if answer is not None and answer.accepted:
                # a later view requires a new acknowledgement
                if slot_state.view == view and not self.core.is_stalled():
                    return None
                continue
            refusal = await self._handle_refusal(slot_state, view, answer, call)
            if refusal is not None:
                return refusal

    async def _send_marks(self, slot_state: SlotState, entries: list[Entry]) -> object:
        now_s = self.core.timers.read()
        view = slot_state.view
        marks = [encode_entry(entry, now_s) for entry in entries]
        question = MarkQuestion(slot=view.slot, version=view.version, marks=marks)
        reply = await self.core.peers.request(
            view.backup.address,
            Message(mark_question=question),
            self.core.settings.mark_timeout_s,
        )
        return None if isinstance(reply, PeerFailure) else reply.mark_answer

    async def _handle_refusal(
        self, slot_state: SlotState, view: object, answer: object, call: Call
    ) -> NotRun | MayHaveRun | None:
        core = self.core
        if answer is not None and answer.version == view.version:
            core.count("key-table-full")
            return NotRun(Reason.KEY_TABLE_FULL)
        if answer is not None and answer.version > view.version:
            await self.follower.refresh()
        elif not self._can_backup_change(slot_state):
            core.count("key-backup-unreachable")
            return MayHaveRun(Reason.OWNER_UNREACHABLE)
        remaining_s = call.context.deadline_s - core.timers.read()
        if remaining_s <= 0:
            core.count("key-backup-unreachable")
            return MayHaveRun(Reason.OWNER_UNREACHABLE)
        if slot_state.view == view:
            await wait_change(slot_state, min(remaining_s, RETRY_DELAY_S))
        return None


async def get_or_await_outcome(
    core: Core, key_store: KeyStore, entry: Entry, call: Call
) -> Outcome | None:
    """Return the outcome of a known key; ``None`` requires a new lookup."""
    if entry.digest != call.context.digest:
        return refuse_reused(core)
    if entry.outcome is not None:
        core.count("key-repeated")
        return entry.outcome
    core.count("key-joined")
    return await wait_for_outcome(core, key_store.get_pending_outcome(entry.key), call)


def refuse_reused(core: Core) -> Outcome:
    """Return the refusal of a key that was first used with other content."""
    core.count("key-reused")
    return Outcome(MayHaveRun(Reason.KEY_REUSED))


async def wait_for_outcome(
    core: Core, pending_outcome: object, call: Call
) -> Outcome | None:
    """Wait for the outcome of a key until the deadline of this call.

    ``None`` means that the key was freed without a run.
    """
    with anyio.move_on_after(call.context.deadline_s - core.timers.read()):
        await pending_outcome.event.wait()
    if not pending_outcome.event.is_set():
        core.count("key-in-progress")
        return Outcome(MayHaveRun(Reason.KEY_IN_PROGRESS))
    return pending_outcome.outcome


async def wait_change(slot_state: SlotState, limit_s: float) -> None:
    """Wait for a change of a slot for at most ``limit_s``."""
    with anyio.move_on_after(max(0.0, limit_s)):
        await slot_state.changed.wait()


async def run_guarded(core: Core, call: Call) -> Outcome:
    """Run a call; after an unexpected error the outcome is *may have run*."""
    try:
        return await core.run(call)
    except Exception:
        logger.exception("running the call {} failed", call.context.call_id)
        core.count("run-failed")
        return Outcome(MayHaveRun(Reason.INTERNAL))
