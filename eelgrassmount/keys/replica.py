"""Replicate the table of a slot from its primary to its backup."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from attrs import define, field

from eelgrassmount.errors import BadFrameError
from eelgrassmount.gen.ttypes import MarkAnswer, MarkQuestion, Message, SlotTransfer
from eelgrassmount.keys.entry_codec import decode_entry, encode_entry, split_batches
from eelgrassmount.keys.placement import SLOT_COUNT
from eelgrassmount.keys.slot_state import list_entries
from eelgrassmount.keys.table import Entry, apply_copy, apply_mark, apply_result
from eelgrassmount.peer.port import PeerFailure
from eelgrassmount.verdict import NotRun

if TYPE_CHECKING:
    from collections.abc import Callable

    from eelgrassmount.gen.ttypes import Hello
    from eelgrassmount.keys.core import Core
    from eelgrassmount.keys.follower import Follower
    from eelgrassmount.keys.slot_state import SlotState

RESULT_BATCH_DELAY_S = 0.05
RETRY_DELAY_S = 0.2
TRANSFER_TIMEOUT_S = 2.0
_UNKNOWN_VERSION = -1


@define
class Replica:
    """Exchanges table entries between the primary and the backup of each slot."""

    core: Core
    follower: Follower
    _active_slots: set[int] = field(factory=set)

    async def answer_marks(self, sender: Hello, message: Message) -> Message | None:
        """Handle marks and results of the primary; acknowledge or refuse the marks.

        Marks are acknowledged only under the current view, so that an earlier primary
        can't run keys after a view change. Results are accepted under any view.
        """
        question = message.mark_question
        if not _is_slot(question.slot):
            return _reply(False, _UNKNOWN_VERSION)
        slot_state = self.core.slot_states[question.slot]
        await self._fetch_newer_views(slot_state, question.version, sender.address)
        entries = self._decode(question.marks)
        results = [entry for entry in entries if entry.outcome is not None]
        marks = [entry for entry in entries if entry.outcome is None]
        for result in results:
            self._apply_result(slot_state, result)
        if results and not marks:
            return _reply(True, slot_state.view.version)
        if not self._is_backup_for(slot_state, question.version, sender):
            self.core.count("mark-refused")
            return _reply(False, _get_newer_version(slot_state, question.version))
        return self._apply_marks(slot_state, marks)

    def _apply_marks(self, slot_state: SlotState, marks: list[Entry]) -> Message:
        version = slot_state.view.version
        if not slot_state.synced:
            return _reply(False, _UNKNOWN_VERSION)
        for entry in marks:
            if self.core.budget.full and slot_state.table.find(entry.key) is None:
                self.core.count("mark-refused-full")
                return _reply(False, version)
            if not apply_mark(slot_state.table, entry):
                return _reply(False, _UNKNOWN_VERSION)
        slot_state.primary_active = True
        return _reply(True, version)

    def _apply_result(self, slot_state: SlotState, result: Entry) -> None:
        free = isinstance(result.outcome.verdict, NotRun)
        outcome = result.outcome
        if free:
            result.outcome = None
        if not apply_result(slot_state.table, result, self.core.timers.read()):
            return
        slot_state.key_store.resolve(result.key, None)
        if slot_state.view.primary == self.core.node_id:
            result.outcome = outcome
            self.core.queue_result(slot_state, result)

    def _is_backup_for(
        self, slot_state: SlotState, version: int, sender: Hello
    ) -> bool:
        view = slot_state.view
        return (
            view.version == version
            and view.backup == self.core.node_id
            and view.primary.incarnation == sender.incarnation
            and not self.core.is_stalled()
        )

    async def answer_transfer(self, sender: Hello, message: Message) -> Message | None:
        """Apply one batch of a transferred table."""
        transfer = message.slot_transfer
        if not _is_slot(transfer.slot):
            return _reply(False, _UNKNOWN_VERSION)
        slot_state = self.core.slot_states[transfer.slot]
        await self._fetch_newer_views(slot_state, transfer.version, sender.address)
        if not self._is_backup_for(slot_state, transfer.version, sender):
            return _reply(False, _get_newer_version(slot_state, transfer.version))
        if slot_state.receiving_version != transfer.version:
            slot_state.receiving_version = transfer.version
            slot_state.table.clear()
        for entry in self._decode(transfer.marks):
            apply_copy(slot_state.table, entry)
        if transfer.last:
            slot_state.synced = True
            slot_state.notify_waiters()
        return _reply(True, slot_state.view.version)

    async def _fetch_newer_views(
        self, slot_state: SlotState, version: int, address: str
    ) -> None:
        if version > slot_state.view.version:
            await self.follower.fetch_views(address)

    def _decode(self, marks: list[object] | None) -> list[Entry]:
        now_s = self.core.timers.read()
        entries = []
        for mark in marks or ():
            try:
                entries.append(decode_entry(mark, now_s))
            except (BadFrameError, ValueError):
                self.core.count("mark-malformed")
        return entries

    async def run(self) -> None:
        """Synchronize backups and send results until cancelled."""
        while True:
            await self.core.exchange_due.wait()
            self.core.exchange_due = anyio.Event()
            for slot_state in self.core.slot_states:
                if self._needs_sync(slot_state):
                    self._start_exchange(self._sync, slot_state)
                elif slot_state.results:
                    self._start_exchange(self._send_results, slot_state)

    def _start_exchange(self, send: Callable, slot_state: SlotState) -> None:
        # slots have separate exchanges, so that a dead node of one slot doesn't delay
        # the others
        slot = slot_state.view.slot
        if slot not in self._active_slots:
            self._active_slots.add(slot)
            self.core.tasks.start_soon(self._exchange, send, slot_state)

    async def _exchange(self, send: Callable, slot_state: SlotState) -> None:
        try:
            await send(slot_state)
        finally:
            self._active_slots.discard(slot_state.view.slot)
            if self._needs_sync(slot_state) or slot_state.results:
                self.core.exchange_due.set()

    def _needs_sync(self, slot_state: SlotState) -> bool:
        return slot_state.view.primary == self.core.node_id and not slot_state.synced

    async def _sync(self, slot_state: SlotState) -> None:
        view = slot_state.view
        now_s = self.core.timers.read()
        # the transferred entries include these results
        slot_state.results.clear()
        copies = [encode_entry(entry, now_s) for entry in list_entries(slot_state)]
        batches = list(split_batches(copies))
        for index, batch in enumerate(batches):
            last = index == len(batches) - 1
            if not await self._send_copies(slot_state, batch, last):
                return
            if slot_state.view != view:
                return
        slot_state.synced = True
        self.core.count("slot-synced")
        slot_state.notify_waiters()

    async def _send_copies(
        self, slot_state: SlotState, batch: list[object], last: bool
    ) -> bool:
        view = slot_state.view
        transfer = SlotTransfer(
            slot=view.slot, version=view.version, marks=batch, last=last
        )
        reply = await self.core.peers.request(
            view.backup.address, Message(slot_transfer=transfer), TRANSFER_TIMEOUT_S
        )
        return await self._check_reply(slot_state, reply)

    async def _check_reply(self, slot_state: SlotState, reply: object) -> bool:
        if isinstance(reply, PeerFailure) or reply.mark_answer is None:
            await anyio.sleep(RETRY_DELAY_S)
            return False
        answer = reply.mark_answer
        if answer.version > slot_state.view.version:
            await self.follower.refresh()
        return bool(answer.accepted)

    async def _send_results(self, slot_state: SlotState) -> None:
        # collect further results for one batch
        await anyio.sleep(RESULT_BATCH_DELAY_S)
        view = slot_state.view
        target = view.backup if view.primary == self.core.node_id else view.primary
        results = list(slot_state.results)
        now_s = self.core.timers.read()
        marks = [encode_entry(result, now_s) for result in results]
        for batch in split_batches(marks):
            if (
                target
                and batch
                and not await self._send_batch(slot_state, target, batch)
            ):
                return
        del slot_state.results[: len(results)]

    async def _send_batch(
        self, slot_state: SlotState, target: object, batch: list[object]
    ) -> bool:
        question = MarkQuestion(
            slot=slot_state.view.slot, version=slot_state.view.version, marks=batch
        )
        reply = await self.core.peers.request(
            target.address, Message(mark_question=question), TRANSFER_TIMEOUT_S
        )
        return await self._check_reply(slot_state, reply)


def _is_slot(slot: int | None) -> bool:
    return slot is not None and 0 <= slot < SLOT_COUNT


def _get_newer_version(slot_state: SlotState, version: int) -> int:
    # a refusal that names the same version means that the table is full
    later = slot_state.view.version
    return later if later > version else _UNKNOWN_VERSION


def _reply(accepted: bool, version: int) -> Message:
    return Message(mark_answer=MarkAnswer(accepted=accepted, version=version))
