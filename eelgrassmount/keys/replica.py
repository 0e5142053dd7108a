"""Keeps the table of a slot at its backup."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from attrs import define, field

from eelgrassmount.errors import BadFrameError
from eelgrassmount.gen.ttypes import MarkAnswer, MarkQuestion, Message, SlotTransfer
from eelgrassmount.keys.entry_codec import decode_entry, encode_entry, split_batches
from eelgrassmount.keys.placement import SLOT_COUNT
from eelgrassmount.keys.slot_state import list_copies
from eelgrassmount.keys.table import Entry, take_copy, take_fact, take_mark
from eelgrassmount.peer.port import PeerFailure
from eelgrassmount.verdict import NotRun

if TYPE_CHECKING:
    from collections.abc import Callable

    from eelgrassmount.gen.ttypes import Hello
    from eelgrassmount.keys.core import Core
    from eelgrassmount.keys.follower import Follower
    from eelgrassmount.keys.slot_state import SlotHolder

FLUSH_S = 0.05
RETRY_S = 0.2
TRANSFER_TIMEOUT_S = 2.0
_UNKNOWN_VERSION = -1


@define
class Replica:
    """The exchange between the two holders of each slot."""

    core: Core
    follower: Follower
    _busy: set[int] = field(factory=set)

    async def answer_marks(self, sender: Hello, message: Message) -> Message | None:
        """Acknowledge marks of a slot's primary, or say why not.

        Only marks under exactly the present view are acknowledged, so that
        once this node has gone over to a later view no earlier primary gets a
        key past it. Facts are taken under any view.
        """
        question = message.mark_question
        if not _is_slot(question.slot):
            return _reply(False, _UNKNOWN_VERSION)
        holder = self.core.holders[question.slot]
        await self._hear_version(holder, question.version, sender.address)
        entries = self._decode(question.marks)
        facts = [entry for entry in entries if entry.outcome is not None]
        marks = [entry for entry in entries if entry.outcome is None]
        for fact in facts:
            self._take_fact(holder, fact)
        if facts and not marks:
            return _reply(True, holder.view.version)
        if not self._is_backup_for(holder, question.version, sender):
            self.core.count("mark-refused")
            return _reply(False, _name_later(holder, question.version))
        return self._take_marks(holder, marks)

    def _take_marks(self, holder: SlotHolder, marks: list[Entry]) -> Message:
        version = holder.view.version
        if not holder.synced:
            return _reply(False, _UNKNOWN_VERSION)
        for entry in marks:
            if self.core.budget.full and holder.table.find(entry.key) is None:
                self.core.count("mark-refused-full")
                return _reply(False, version)
            if not take_mark(holder.table, entry):
                return _reply(False, _UNKNOWN_VERSION)
        holder.opened = True
        return _reply(True, version)

    def _take_fact(self, holder: SlotHolder, fact: Entry) -> None:
        free = isinstance(fact.outcome.verdict, NotRun)
        outcome = fact.outcome
        if free:
            fact.outcome = None
        if not take_fact(holder.table, fact, self.core.timers.read()):
            return
        holder.ledger.resolve(fact.key, None)
        if holder.view.primary == self.core.me:
            fact.outcome = outcome
            self.core.add_fact(holder, fact)

    def _is_backup_for(self, holder: SlotHolder, version: int, sender: Hello) -> bool:
        view = holder.view
        return (
            view.version == version
            and view.backup == self.core.me
            and view.primary.incarnation == sender.incarnation
            and not self.core.is_stalled()
        )

    async def answer_transfer(self, sender: Hello, message: Message) -> Message | None:
        """Take in a part of the whole table of a slot."""
        transfer = message.slot_transfer
        if not _is_slot(transfer.slot):
            return _reply(False, _UNKNOWN_VERSION)
        holder = self.core.holders[transfer.slot]
        await self._hear_version(holder, transfer.version, sender.address)
        if not self._is_backup_for(holder, transfer.version, sender):
            return _reply(False, _name_later(holder, transfer.version))
        if holder.staged != transfer.version:
            holder.staged = transfer.version
            holder.table.clear()
        for entry in self._decode(transfer.marks):
            take_copy(holder.table, entry)
        if transfer.last:
            holder.synced = True
            holder.announce()
        return _reply(True, holder.view.version)

    async def _hear_version(
        self, holder: SlotHolder, version: int, address: str
    ) -> None:
        if version > holder.view.version:
            await self.follower.ask_peer(address)

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
        """Bring backups up to date and send facts, for as long as it runs."""
        while True:
            await self.core.exchange_due.wait()
            self.core.exchange_due = anyio.Event()
            for holder in self.core.holders:
                if self._needs_sync(holder):
                    self._begin(self._sync, holder)
                elif holder.facts:
                    self._begin(self._send_facts, holder)

    def _begin(self, send: Callable, holder: SlotHolder) -> None:
        # one exchange for each slot at a time; a dead partner of one slot
        # does not hold up the others
        slot = holder.view.slot
        if slot not in self._busy:
            self._busy.add(slot)
            self.core.tasks.start_soon(self._exchange, send, holder)

    async def _exchange(self, send: Callable, holder: SlotHolder) -> None:
        try:
            await send(holder)
        finally:
            self._busy.discard(holder.view.slot)
            if self._needs_sync(holder) or holder.facts:
                self.core.exchange_due.set()

    def _needs_sync(self, holder: SlotHolder) -> bool:
        return holder.view.primary == self.core.me and not holder.synced

    async def _sync(self, holder: SlotHolder) -> None:
        view = holder.view
        now_s = self.core.timers.read()
        # the copies contain all that these facts say
        holder.facts.clear()
        copies = [encode_entry(entry, now_s) for entry in list_copies(holder)]
        batches = list(split_batches(copies))
        for index, batch in enumerate(batches):
            last = index == len(batches) - 1
            if not await self._send_copies(holder, batch, last):
                return
            if holder.view != view:
                return
        holder.synced = True
        self.core.count("slot-synced")
        holder.announce()

    async def _send_copies(
        self, holder: SlotHolder, batch: list[object], last: bool
    ) -> bool:
        view = holder.view
        transfer = SlotTransfer(
            slot=view.slot, version=view.version, marks=batch, last=last
        )
        reply = await self.core.peers.ask(
            view.backup.address, Message(slot_transfer=transfer), TRANSFER_TIMEOUT_S
        )
        return await self._check_reply(holder, reply)

    async def _check_reply(self, holder: SlotHolder, reply: object) -> bool:
        if isinstance(reply, PeerFailure) or reply.mark_answer is None:
            await anyio.sleep(RETRY_S)
            return False
        answer = reply.mark_answer
        if answer.version > holder.view.version:
            await self.follower.refresh()
        return bool(answer.accepted)

    async def _send_facts(self, holder: SlotHolder) -> None:
        # gather what ends in the meantime
        await anyio.sleep(FLUSH_S)
        view = holder.view
        target = view.backup if view.primary == self.core.me else view.primary
        facts = list(holder.facts)
        now_s = self.core.timers.read()
        marks = [encode_entry(fact, now_s) for fact in facts]
        for batch in split_batches(marks):
            if target and batch and not await self._send_batch(holder, target, batch):
                return
        del holder.facts[: len(facts)]

    async def _send_batch(
        self, holder: SlotHolder, target: object, batch: list[object]
    ) -> bool:
        question = MarkQuestion(
            slot=holder.view.slot, version=holder.view.version, marks=batch
        )
        reply = await self.core.peers.ask(
            target.address, Message(mark_question=question), TRANSFER_TIMEOUT_S
        )
        return await self._check_reply(holder, reply)


def _is_slot(slot: int | None) -> bool:
    return slot is not None and 0 <= slot < SLOT_COUNT


def _name_later(holder: SlotHolder, version: int) -> int:
    # a refusal under the very same version would mean a full table
    later = holder.view.version
    return later if later > version else _UNKNOWN_VERSION


def _reply(accepted: bool, version: int) -> Message:
    return Message(mark_answer=MarkAnswer(accepted=accepted, version=version))
