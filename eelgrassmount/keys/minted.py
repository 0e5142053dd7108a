"""Keys that the system mints: the incarnation that minted one alone may run it."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from attrs import define, field, frozen

from eelgrassmount.calls.request import Outcome
from eelgrassmount.errors import BadFrameError
from eelgrassmount.gen.ttypes import MarkAnswer, Message, SlotTransfer
from eelgrassmount.keys.holder import Ledger, has_runs
from eelgrassmount.keys.marks import decode_entry, encode_entry, split_batches
from eelgrassmount.keys.owner import repeat_entry, run_guarded, wait_ticket
from eelgrassmount.keys.placement import choose_heirs
from eelgrassmount.keys.syntax import check_identity, compute_seal, format_minted
from eelgrassmount.keys.table import Entry, KeyTable, Stage, take_copy
from eelgrassmount.peer.port import PeerFailure
from eelgrassmount.verdict import MayHaveRun, NotRun, Reason

if TYPE_CHECKING:
    from eelgrassmount.calls.request import Call
    from eelgrassmount.gen.ttypes import Hello
    from eelgrassmount.keys.core import Core
    from eelgrassmount.keys.syntax import MintedKey

MINTED_SLOT = -1
CHECKPOINTS = 16
TRANSFER_TIMEOUT_S = 2.0
_SECRET_BYTES = 16


@frozen
class Checkpoint:
    """The numbers below ``number`` had been minted at ``taken_s``."""

    taken_s: float
    number: int


@define
class Inheritance:
    """What an incarnation that has left for good handed over.

    A number from ``horizon`` on without an entry was never run, and never
    will be, once ``whole`` is set.
    """

    ledger: Ledger
    horizon: int
    taken_s: float
    whole: bool = False


@define
class Minter:
    """Mints keys, runs their calls and answers for those who have left."""

    core: Core
    ledger: Ledger = field(init=False)
    inherited: dict[str, Inheritance] = field(factory=dict)
    sealed: bool = False
    _secret: bytes = field(init=False, repr=False)
    _next: int = 0
    _checkpoints: deque[Checkpoint] = field(factory=deque)

    def __attrs_post_init__(self) -> None:
        """Choose the secret of this incarnation."""
        check_identity(self.core.shared_state.identity)
        self.ledger = Ledger(KeyTable(self.core.budget))
        self._secret = self.core.rng.randbytes(_SECRET_BYTES)

    def mint(self) -> str:
        """Return a new key, empty once this node answers for no new ones."""
        if self.sealed or self.core.leaving:
            return ""
        number = self._next
        self._next += 1
        return format_minted(self.core.shared_state.identity, number, self._secret)

    def note_checkpoint(self) -> None:
        """Note which numbers are minted by now."""
        now_s = self.core.timers.read()
        interval_s = self.core.settings.window_s / CHECKPOINTS
        if self._checkpoints and now_s - self._checkpoints[-1].taken_s < interval_s:
            return
        self._checkpoints.append(Checkpoint(now_s, self._next))

    def find_horizon(self) -> int:
        """Return the number below which a key without an entry is refused.

        Every key minted more than a window ago lies below it, so that a key
        whose entry has expired can't pass for a new one.
        """
        oldest_s = self.core.timers.read() - self.core.settings.window_s
        for checkpoint in self._checkpoints:
            if checkpoint.taken_s >= oldest_s:
                return checkpoint.number
        return self._next

    def expire(self, now_s: float, window_s: float) -> None:
        """Forget what was done a window ago."""
        self.ledger.table.expire(now_s, window_s)
        while len(self._checkpoints) > 1:
            if self._checkpoints[0].taken_s >= now_s - window_s:
                break
            self._checkpoints.popleft()
        for incarnation, inheritance in list(self.inherited.items()):
            if now_s - inheritance.taken_s >= window_s:
                inheritance.ledger.table.clear()
                del self.inherited[incarnation]

    async def run(self, key: MintedKey, call: Call) -> Outcome:
        """Run the call of a key that this incarnation minted."""
        while True:
            entry = self.ledger.table.find(key.text)
            if entry is None:
                return await self._run_new(key, call)
            outcome = await repeat_entry(self.core, self.ledger, entry, call)
            if outcome is not None:
                return outcome

    async def _run_new(self, key: MintedKey, call: Call) -> Outcome:
        refusal = self._refuse_new(key)
        if refusal is not None:
            self.core.count(f"minted-{refusal.reason.value}")
            return Outcome(refusal)
        entry = Entry(
            key=key.text,
            digest=call.context.digest,
            runner=self.core.me.incarnation,
            mark=self.core.number_mark(),
            stage=Stage.RUNNING,
            since_s=self.core.timers.read(),
        )
        self.ledger.table.put(entry)
        ticket = self.ledger.find_ticket(entry.key)
        self.core.tasks.start_soon(self._execute, entry, call)
        outcome = await wait_ticket(self.core, ticket, call)
        return outcome or Outcome(MayHaveRun(Reason.INTERNAL))

    def _refuse_new(self, key: MintedKey) -> NotRun | MayHaveRun | None:
        if key.number >= self._next or key.seal != compute_seal(
            key.number, self._secret
        ):
            return NotRun(Reason.KEY_MALFORMED)
        if key.number < self.find_horizon():
            return MayHaveRun(Reason.KEY_EXPIRED)
        if self.sealed:
            return NotRun(Reason.DRAINING)
        if self.core.budget.full:
            return NotRun(Reason.KEY_TABLE_FULL)
        return None

    async def _execute(self, entry: Entry, call: Call) -> None:
        outcome = await run_guarded(self.core, call)
        self.ledger.settle(entry, outcome, self.core.timers.read())

    async def answer_for(self, key: MintedKey, call: Call) -> Outcome | None:
        """Answer for an incarnation that has left, if its answers are here."""
        inheritance = self.inherited.get(key.incarnation)
        if inheritance is None or not inheritance.whole:
            return None
        entry = inheritance.ledger.table.find(key.text)
        if entry is not None:
            return await repeat_entry(self.core, inheritance.ledger, entry, call)
        self.core.count("minted-heir-expired")
        if key.number < inheritance.horizon:
            return Outcome(MayHaveRun(Reason.KEY_EXPIRED))
        return Outcome(NotRun(Reason.KEY_EXPIRED))

    @property
    def idle(self) -> bool:
        """Tell whether no call of a minted key is under way."""
        return not has_runs(self.ledger)

    async def hand_over(self) -> int:
        """Give the answers to the heirs; return how many heirs have them all.

        From now on this node runs no minted key any more.
        """
        self.sealed = True
        now_s = self.core.timers.read()
        entries = list(self.ledger.table.entries.values())
        batches = list(split_batches(encode_entry(entry, now_s) for entry in entries))
        served = 0
        for heir in choose_heirs(self.core.me.incarnation, self.core.read_roster().fit):
            if await self._send_all(heir.address, batches):
                served += 1
        return served

    async def _send_all(self, address: str, batches: list[list[object]]) -> bool:
        for index, batch in enumerate(batches):
            transfer = SlotTransfer(
                slot=MINTED_SLOT,
                version=self.find_horizon(),
                marks=batch,
                last=index == len(batches) - 1,
            )
            reply = await self.core.peers.request(
                address, Message(slot_transfer=transfer), TRANSFER_TIMEOUT_S
            )
            if isinstance(reply, PeerFailure) or not reply.mark_answer.accepted:
                return False
        return True

    def answer_transfer(self, sender: Hello, transfer: SlotTransfer) -> Message:
        """Take in a part of what a leaving incarnation hands over."""
        now_s = self.core.timers.read()
        inheritance = self.inherited.get(sender.incarnation)
        if inheritance is None:
            ledger = Ledger(KeyTable(self.core.budget))
            inheritance = Inheritance(ledger, transfer.version, now_s)
            self.inherited[sender.incarnation] = inheritance
        try:
            for mark in transfer.marks or ():
                take_copy(inheritance.ledger.table, decode_entry(mark, now_s))
        except (BadFrameError, ValueError):
            # never whole: what is missing must not be called "not run"
            return _reply(False)
        inheritance.whole = inheritance.whole or bool(transfer.last)
        return _reply(True)


def _reply(accepted: bool) -> Message:
    return Message(mark_answer=MarkAnswer(accepted=accepted, version=0))
