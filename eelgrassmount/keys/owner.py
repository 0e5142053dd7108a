"""Runs the calls of the keys whose slots this node is primary of."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from attrs import define
from loguru import logger

from eelgrassmount.calls.request import Outcome
from eelgrassmount.gen.ttypes import MarkQuestion, Message
from eelgrassmount.keys.marks import encode_entry
from eelgrassmount.keys.table import Entry, Stage
from eelgrassmount.peer.port import PeerFailure
from eelgrassmount.verdict import MayHaveRun, NotRun, Reason

if TYPE_CHECKING:
    from eelgrassmount.calls.request import Call
    from eelgrassmount.keys.core import Core
    from eelgrassmount.keys.follower import Follower
    from eelgrassmount.keys.holder import Ledger, SlotHolder

PAUSE_S = 0.02


@define
class Owner:
    """The primary's side of the slots."""

    core: Core
    follower: Follower

    async def run(self, holder: SlotHolder, call: Call) -> Outcome:
        """Return the outcome of a call, running it if its key is new.

        The answer is `Reason.OWNER_CHANGING`, without a time to come back, if
        this node is not, or no longer, the primary and has not run the call.
        """
        while True:
            entry = holder.table.find(call.context.key)
            if entry is not None:
                outcome = await self._repeat(holder, entry, call)
                if outcome is not None:
                    return outcome
                continue
            outcome = await self._await_ready(holder, call)
            if outcome is not None:
                return outcome
            # nothing may be awaited between finding no entry and adding one
            if holder.table.find(call.context.key) is None:
                return await self._run_new(holder, call)

    async def _repeat(
        self, holder: SlotHolder, entry: Entry, call: Call
    ) -> Outcome | None:
        if entry.stage is Stage.ELSEWHERE and self._is_runner_gone(entry):
            if entry.digest != call.context.digest:
                return refuse_reused(self.core)
            self.core.count("key-unknown-result")
            return Outcome(MayHaveRun(Reason.OWNER_UNREACHABLE))
        return await repeat_entry(self.core, holder.ledger, entry, call)

    def _is_runner_gone(self, entry: Entry) -> bool:
        roster = self.core.read_roster()
        staying = roster.known - roster.gone
        return all(node.incarnation != entry.runner for node in staying)

    async def _await_ready(self, holder: SlotHolder, call: Call) -> Outcome | None:
        core = self.core
        now_s = core.timers.read()
        limit_s = min(call.context.deadline_s, now_s + core.settings.change_wait_s)
        while holder.view.primary == core.me:
            now_s = core.timers.read()
            if holder.is_waiting(core.me, now_s):
                core.count("key-owner-waiting")
                wait_s = holder.open_s - now_s
                return Outcome(MayHaveRun(Reason.OWNER_CHANGING, wait_s))
            if holder.synced and not core.is_stalled():
                return None
            if now_s >= limit_s or not self._can_change(holder):
                core.count("key-backup-unreachable")
                return Outcome(MayHaveRun(Reason.OWNER_UNREACHABLE))
            await wait_change(holder, limit_s - now_s)
        return Outcome(MayHaveRun(Reason.OWNER_CHANGING))

    def _can_change(self, holder: SlotHolder) -> bool:
        # without the log a dead backup can't be replaced: waiting is no use
        backup_gone = self.core.read_roster().is_gone(holder.view.backup)
        return self.core.shared_state.log_reachable or not backup_gone

    async def _run_new(self, holder: SlotHolder, call: Call) -> Outcome:
        context = call.context
        if self.core.budget.full:
            return await self._refuse_full(holder, call)
        entry = Entry(
            key=context.key,
            digest=context.digest,
            runner=self.core.me.incarnation,
            mark=self.core.number_mark(),
            stage=Stage.MARKED,
            since_s=self.core.timers.read(),
        )
        holder.table.put(entry)
        ticket = holder.ledger.find_ticket(entry.key)
        self.core.tasks.start_soon(self._execute, holder, entry, call)
        return await wait_ticket(self.core, ticket, call) or Outcome(
            MayHaveRun(Reason.OWNER_CHANGING)
        )

    async def _refuse_full(self, holder: SlotHolder, call: Call) -> Outcome:
        # "not run" must be true: the backup confirms that nobody took over
        refusal = await self._mark(holder, [], call)
        if refusal is not None:
            return Outcome(refusal)
        self.core.count("key-table-full")
        return Outcome(NotRun(Reason.KEY_TABLE_FULL))

    async def _execute(self, holder: SlotHolder, entry: Entry, call: Call) -> None:
        """Mark a key and then run its call, whether or not the caller waits."""
        refusal = await self._mark(holder, [entry], call)
        if refusal is not None:
            self._give_up(holder, entry, Outcome(refusal))
            return
        entry.stage = Stage.RUNNING
        outcome = await run_guarded(self.core, call)
        holder.ledger.settle(entry, outcome, self.core.timers.read())
        self._report(holder, entry, outcome)

    def _give_up(self, holder: SlotHolder, entry: Entry, outcome: Outcome) -> None:
        holder.table.release(entry)
        holder.ledger.resolve(entry.key, outcome)
        self._report(holder, entry, Outcome(NotRun(Reason.CANCELLED)))

    def _report(self, holder: SlotHolder, entry: Entry, outcome: Outcome) -> None:
        fact = Entry(
            key=entry.key,
            digest=entry.digest,
            runner=entry.runner,
            mark=entry.mark,
            stage=Stage.DONE,
            since_s=self.core.timers.read(),
            outcome=outcome,
        )
        if holder.view.backup or holder.view.primary != self.core.me:
            self.core.add_fact(holder, fact)

    async def _mark(
        self, holder: SlotHolder, entries: list[Entry], call: Call
    ) -> NotRun | MayHaveRun | None:
        """Get marks acknowledged; ``None`` means that the call may run now."""
        while True:
            refusal = await self._await_ready(holder, call)
            if refusal is not None:
                return refusal.verdict
            view = holder.view
            if not view.backup:
                if self.core.may_run_alone():
                    return None
                if not await self.follower.catch_up():
                    self.core.count("key-owner-alone")
                    return MayHaveRun(Reason.OWNER_UNREACHABLE)
                continue
            answer = await self._ask_backup(holder, entries)
            if answer is not None and answer.accepted:
                # under a later view the mark must be acknowledged anew
                if holder.view == view and not self.core.is_stalled():
                    return None
                continue
            refusal = await self._judge_refusal(holder, view, answer, call)
            if refusal is not None:
                return refusal

    async def _ask_backup(self, holder: SlotHolder, entries: list[Entry]) -> object:
        now_s = self.core.timers.read()
        view = holder.view
        marks = [encode_entry(entry, now_s) for entry in entries]
        question = MarkQuestion(slot=view.slot, version=view.version, marks=marks)
        reply = await self.core.peers.request(
            view.backup.address,
            Message(mark_question=question),
            self.core.settings.mark_timeout_s,
        )
        return None if isinstance(reply, PeerFailure) else reply.mark_answer

    async def _judge_refusal(
        self, holder: SlotHolder, view: object, answer: object, call: Call
    ) -> NotRun | MayHaveRun | None:
        core = self.core
        if answer is not None and answer.version == view.version:
            core.count("key-table-full")
            return NotRun(Reason.KEY_TABLE_FULL)
        if answer is not None and answer.version > view.version:
            await self.follower.refresh()
        elif not self._can_change(holder):
            core.count("key-backup-unreachable")
            return MayHaveRun(Reason.OWNER_UNREACHABLE)
        left_s = call.context.deadline_s - core.timers.read()
        if left_s <= 0:
            core.count("key-backup-unreachable")
            return MayHaveRun(Reason.OWNER_UNREACHABLE)
        if holder.view == view:
            await wait_change(holder, min(left_s, PAUSE_S))
        return None


async def repeat_entry(
    core: Core, ledger: Ledger, entry: Entry, call: Call
) -> Outcome | None:
    """Return the outcome of a key met before; ``None`` means to look again."""
    if entry.digest != call.context.digest:
        return refuse_reused(core)
    if entry.outcome is not None:
        core.count("key-repeated")
        return entry.outcome
    core.count("key-joined")
    return await wait_ticket(core, ledger.find_ticket(entry.key), call)


def refuse_reused(core: Core) -> Outcome:
    """Return the refusal of a key that came with other content before."""
    core.count("key-reused")
    return Outcome(MayHaveRun(Reason.KEY_REUSED))


async def wait_ticket(core: Core, ticket: object, call: Call) -> Outcome | None:
    """Wait for the outcome of a key until the call's own deadline.

    ``None`` means that the key is free again without a run.
    """
    with anyio.move_on_after(call.context.deadline_s - core.timers.read()):
        await ticket.event.wait()
    if not ticket.event.is_set():
        core.count("key-in-progress")
        return Outcome(MayHaveRun(Reason.KEY_IN_PROGRESS))
    return ticket.outcome


async def wait_change(holder: SlotHolder, limit_s: float) -> None:
    """Wait until something about a slot changes, for a limited time."""
    with anyio.move_on_after(max(0.0, limit_s)):
        await holder.changed.wait()


async def run_guarded(core: Core, call: Call) -> Outcome:
    """Run a call; whatever goes wrong on the way, it may have run."""
    try:
        return await core.run(call)
    except Exception:
        logger.exception("running the call {} failed", call.context.call_id)
        core.count("run-failed")
        return Outcome(MayHaveRun(Reason.INTERNAL))
