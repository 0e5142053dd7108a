"""Keys minted by nodes: only the incarnation that minted a key may run it."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from attrs import define, field, frozen

from eelgrassmount.calls.request import Outcome
from eelgrassmount.errors import BadFrameError
from eelgrassmount.gen.ttypes import MarkAnswer, Message, SlotTransfer
from eelgrassmount.keys.entry_codec import decode_entry, encode_entry, split_batches
from eelgrassmount.keys.owner import get_or_await_outcome, run_guarded, wait_for_outcome
from eelgrassmount.keys.placement import choose_successors
from eelgrassmount.keys.slot_state import KeyStore, has_local_runs
from eelgrassmount.keys.syntax import check_identity, compute_mac, format_minted
from eelgrassmount.keys.table import Entry, KeyTable, Stage, apply_copy
from eelgrassmount.peer.port import PeerFailure
from eelgrassmount.verdict import MayHaveRun, NotRun, Reason

if TYPE_CHECKING:
    from eelgrassmount.calls.request import Call
    from eelgrassmount.gen.ttypes import Hello
    from eelgrassmount.keys.core import Core
    from eelgrassmount.keys.syntax import MintedKey

MINTED_SLOT = -1
CHECKPOINTS_PER_WINDOW = 16
TRANSFER_TIMEOUT_S = 2.0
_SECRET_BYTES = 16


@frozen
class Checkpoint:
    """Numbers below ``number`` were minted by ``recorded_s``."""

    recorded_s: float
    number: int


@define
class ReceivedHandover:
    """The keys that a departed incarnation handed over.

    Once ``complete`` is set, a number from ``horizon`` on without an entry has not
    run and never will.
    """

    key_store: KeyStore
    horizon: int
    recorded_s: float
    complete: bool = False


@define
class Minter:
    """Mints keys, runs their calls and answers for departed incarnations."""

    core: Core
    key_store: KeyStore = field(init=False)
    handovers: dict[str, ReceivedHandover] = field(factory=dict)
    closed: bool = False
    _secret: bytes = field(init=False, repr=False)
    _next: int = 0
    _checkpoints: deque[Checkpoint] = field(factory=deque)

    def __attrs_post_init__(self) -> None:
        """Generate the secret of this incarnation."""
        check_identity(self.core.shared_state.identity)
        self.key_store = KeyStore(KeyTable(self.core.budget))
        self._secret = self.core.rng.randbytes(_SECRET_BYTES)

    def mint(self) -> str:
        """Return a new key, or an empty text while this node shuts down."""
        if self.closed or self.core.leaving:
            return ""
        number = self._next
        self._next += 1
        return format_minted(self.core.shared_state.identity, number, self._secret)

    def record_checkpoint(self) -> None:
        """Record the numbers minted so far, unless a checkpoint is recent."""
        now_s = self.core.timers.read()
        interval_s = self.core.settings.window_s / CHECKPOINTS_PER_WINDOW
        if self._checkpoints and now_s - self._checkpoints[-1].recorded_s < interval_s:
            return
        self._checkpoints.append(Checkpoint(now_s, self._next))

    def find_horizon(self) -> int:
        """Return the number below which a key without an entry is refused.

        All keys minted more than a window ago are below it, so that a key with an
        expired entry can't run again.
        """
        oldest_s = self.core.timers.read() - self.core.settings.window_s
        for checkpoint in self._checkpoints:
            if checkpoint.recorded_s >= oldest_s:
                return checkpoint.number
        return self._next

    def expire(self, now_s: float, window_s: float) -> None:
        """Remove keys, checkpoints and handovers that are older than a window."""
        self.key_store.table.expire(now_s, window_s)
        while len(self._checkpoints) > 1:
            if self._checkpoints[0].recorded_s >= now_s - window_s:
                break
            self._checkpoints.popleft()
        for incarnation, handover in list(self.handovers.items()):
            if now_s - handover.recorded_s >= window_s:
                handover.key_store.table.clear()
                del self.handovers[incarnation]

    async def run(self, key: MintedKey, call: Call) -> Outcome:
        """Run the call of a key that this incarnation minted."""
        while True:
            entry = self.key_store.table.find(key.text)
            if entry is None:
                return await self._run_new(key, call)
            outcome = await get_or_await_outcome(self.core, self.key_store, entry, call)
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
            runner=self.core.node_id.incarnation,
            mark=self.core.allocate_mark_number(),
            stage=Stage.RUNNING,
            since_s=self.core.timers.read(),
        )
        self.key_store.table.put(entry)
        pending_outcome = self.key_store.get_pending_outcome(entry.key)
        self.core.tasks.start_soon(self._execute, entry, call)
        outcome = await wait_for_outcome(self.core, pending_outcome, call)
        return outcome or Outcome(MayHaveRun(Reason.INTERNAL))

    def _refuse_new(self, key: MintedKey) -> NotRun | MayHaveRun | None:
        if key.number >= self._next or key.mac != compute_mac(key.number, self._secret):
            return NotRun(Reason.KEY_MALFORMED)
        if key.number < self.find_horizon():
            return MayHaveRun(Reason.KEY_EXPIRED)
        if self.closed:
            return NotRun(Reason.DRAINING)
        if self.core.budget.full:
            return NotRun(Reason.KEY_TABLE_FULL)
        return None

    async def _execute(self, entry: Entry, call: Call) -> None:
        outcome = await run_guarded(self.core, call)
        self.key_store.complete(entry, outcome, self.core.timers.read())

    async def answer_for_departed(self, key: MintedKey, call: Call) -> Outcome | None:
        """Answer for a departed incarnation, or return ``None`` without its keys."""
        handover = self.handovers.get(key.incarnation)
        if handover is None or not handover.complete:
            return None
        entry = handover.key_store.table.find(key.text)
        if entry is not None:
            return await get_or_await_outcome(
                self.core, handover.key_store, entry, call
            )
        self.core.count("minted-heir-expired")
        if key.number < handover.horizon:
            return Outcome(MayHaveRun(Reason.KEY_EXPIRED))
        return Outcome(NotRun(Reason.KEY_EXPIRED))

    @property
    def idle(self) -> bool:
        """Return whether no call of a minted key is in progress."""
        return not has_local_runs(self.key_store)

    async def hand_over(self) -> int:
        """Send all entries to the successors; return how many received them all.

        This node runs no minted key afterwards.
        """
        self.closed = True
        now_s = self.core.timers.read()
        entries = list(self.key_store.table.entries.values())
        batches = list(split_batches(encode_entry(entry, now_s) for entry in entries))
        served = 0
        for successor in choose_successors(
            self.core.node_id.incarnation, self.core.read_roster().eligible
        ):
            if await self._send_all(successor.address, batches):
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
        """Apply one batch of the keys of a leaving incarnation."""
        now_s = self.core.timers.read()
        handover = self.handovers.get(sender.incarnation)
        if handover is None:
            key_store = KeyStore(KeyTable(self.core.budget))
            handover = ReceivedHandover(key_store, transfer.version, now_s)
            self.handovers[sender.incarnation] = handover
        try:
            for mark in transfer.marks or ():
                apply_copy(handover.key_store.table, decode_entry(mark, now_s))
        except (BadFrameError, ValueError):
            # not complete: a missing entry must not be reported as "not run"
            return _reply(False)
        handover.complete = handover.complete or bool(transfer.last)
        return _reply(True)


def _reply(accepted: bool) -> Message:
    return Message(mark_answer=MarkAnswer(accepted=accepted, version=0))
