"""Follows the views of the slots on the log and among peers, and proposes."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import anyio
import xxhash
from attrs import define, field

from eelgrassmount.gen.ttypes import (
    MarkQuestion,
    Message,
    SlotAnswer,
    SlotQuestion,
    SlotView,
)
from eelgrassmount.keys.placement import NO_NODE, SLOT_COUNT, NodeId
from eelgrassmount.keys.planning import SlotStanding, plan_proposals
from eelgrassmount.keys.views import (
    Proposal,
    View,
    ViewFold,
    encode_proposals,
    fold_page,
    format_node,
    parse_node,
    rewrite_view,
)
from eelgrassmount.log_service import Appended, LogFailure
from eelgrassmount.peer.port import PeerFailure

if TYPE_CHECKING:
    from collections.abc import Iterable

    from eelgrassmount.gen.ttypes import Hello
    from eelgrassmount.keys.core import Core
    from eelgrassmount.keys.planning import Roster

PAGE_LIMIT = 200
POLL_WAIT_S = 2.0
ASK_TIMEOUT_S = 0.5
TICK_S = 0.5
LISTEN_S = 5.0
LISTEN_SHARE_S = 0.1
FIRST_BACKOFF_S = 0.5
MAX_BACKOFF_S = 10.0


@define
class Follower:
    """Keeps the views of all slots of the own failure domain up to date."""

    core: Core
    fold: ViewFold = field(factory=ViewFold)
    caught_up: bool = False
    _written_s: dict[int, float] = field(factory=dict)
    _idle_basis: tuple[Roster, list[SlotStanding]] | None = None
    _proposing: bool = False
    _backoff_s: float = FIRST_BACKOFF_S
    _retry_s: float = -math.inf
    _listened_s: float = -math.inf

    @property
    def stream(self) -> str:
        """The stream of the own failure domain's views."""
        return f"slots.{self.core.shared_state.identity.failure_domain}"

    async def catch_up(self, wait_s: float = 0.0) -> bool:
        """Read the stream to its end; tell whether the log answered."""
        while True:
            asked_s = self.core.timers.read()
            page = await self.core.log.read(
                self.stream, self.fold.next, PAGE_LIMIT, wait_s
            )
            if isinstance(page, LogFailure):
                self.core.count("view-read-failed")
                return False
            self._take_page(page)
            if self.fold.next >= page.next:
                self._reach_end(asked_s)
                return True

    def _take_page(self, page: object) -> None:
        now_s = self.core.timers.read()
        before = dict(self.fold.written)
        self.core.adopt(fold_page(self.fold, page))
        for slot, offset in self.fold.written.items():
            if before.get(slot) != offset:
                self._written_s[slot] = now_s

    def _reach_end(self, asked_s: float) -> None:
        self.caught_up = True
        self.core.confirm_views(asked_s)
        self.core.lone_s = max(self.core.lone_s, asked_s)

    async def ask_peer(self, address: str) -> bool:
        """Take over the views that another node of the failure domain knows."""
        asked_s = self.core.timers.read()
        domain = self.core.shared_state.identity.failure_domain
        digest = compute_digest(holder.view for holder in self.core.holders)
        question = Message(
            slot_question=SlotQuestion(failure_domain=domain, digest=digest)
        )
        reply = await self.core.peers.request(address, question, ASK_TIMEOUT_S)
        if isinstance(reply, PeerFailure) or reply.slot_answer is None:
            return False
        views = reply.slot_answer.views
        same = reply.slot_answer.same
        if reply.slot_answer.failure_domain != domain or not (views or same):
            return False
        self.core.adopt([decode_view(view) for view in views or () if _is_valid(view)])
        self.core.confirm_views(asked_s)
        return True

    async def refresh(self) -> bool:
        """Hear of the present views, from the log or else from a reader of it."""
        readers = self.core.read_roster().readers
        reads = self.core.me in readers
        if reads and await self.catch_up():
            return True
        for reader in self.core.rng.sample(readers, len(readers)):
            if reader != self.core.me and await self.ask_peer(reader.address):
                return True
        return not reads and await self.catch_up()

    async def answer(self, sender: Hello, message: Message) -> Message | None:
        """Answer a question for the views; a stalled node knows none."""
        domain = self.core.shared_state.identity.failure_domain
        views = []
        if not self.core.is_stalled():
            views = [holder.view for holder in self.core.holders if holder.view.version]
        same = bool(views) and message.slot_question.digest == compute_digest(views)
        answer = SlotAnswer(
            failure_domain=domain,
            views=[] if same else [encode_view(view) for view in views],
            same=same,
        )
        return Message(slot_answer=answer)

    async def tail(self) -> None:
        """Follow the stream while this node is one of its readers."""
        await self.refresh()
        while True:
            if self.core.me in self.core.read_roster().readers:
                ok = await self.catch_up(POLL_WAIT_S)
                await anyio.sleep(0.0 if ok else FIRST_BACKOFF_S)
            else:
                await anyio.sleep(TICK_S)
                await self._listen()

    async def _listen(self) -> None:
        now_s = self.core.timers.read()
        # however many members ask, the readers answer equally often
        members = len(self.core.read_roster().known)
        interval_s = max(LISTEN_S, LISTEN_SHARE_S * members)
        interval_s *= self.core.rng.uniform(0.8, 1.2)
        stalled = self.core.is_stalled()
        if stalled or now_s - self._listened_s >= interval_s:
            self._listened_s = now_s
            await self.refresh()

    async def steward(self) -> None:
        """Propose views where this node should, for as long as it runs."""
        while True:
            await anyio.sleep(TICK_S * self.core.rng.uniform(0.8, 1.2))
            await self.propose_due()

    async def propose_due(self) -> None:
        """Write the proposals that are due, unless the log needs a rest."""
        if self._proposing or self.core.timers.read() < self._retry_s:
            return
        self._proposing = True
        try:
            await self._propose()
        finally:
            self._proposing = False

    async def _propose(self) -> None:
        roster = self.core.read_roster()
        if not self._plan(roster):
            return
        # plan again on the latest views: others may have been faster
        if not await self.catch_up():
            self._back_off()
            return
        proposals = self._plan(roster)
        if proposals:
            await self._write(proposals)

    def _plan(self, roster: Roster) -> list[Proposal]:
        if self.core.is_stalled():
            return []
        now_s = self.core.timers.read()
        standings = [
            SlotStanding(
                holder.view, holder.synced, holder.is_waiting(self.core.me, now_s)
            )
            for holder in self.core.holders
        ]
        # most of the time nothing has changed and nothing is due
        basis = (roster, standings)
        if basis == self._idle_basis:
            return self._plan_rewrites(roster, now_s)
        from_start = self.caught_up and self.fold.first == 0
        proposals = plan_proposals(standings, roster, from_start)
        self._idle_basis = None if proposals else basis
        return proposals or self._plan_rewrites(roster, now_s)

    def _plan_rewrites(self, roster: Roster, now_s: float) -> list[Proposal]:
        if not roster.is_delegate:
            return []
        age_s = self.core.settings.rewrite_s
        old = [
            view
            for view in self.fold.views
            if view.version and now_s - self._written_s.get(view.slot, now_s) >= age_s
        ]
        return [rewrite_view(view) for view in old]

    async def _write(self, proposals: list[Proposal]) -> None:
        self.core.count("view-proposed")
        result = await self.core.log.append(self.stream, encode_proposals(proposals))
        if isinstance(result, Appended):
            self._backoff_s = FIRST_BACKOFF_S
            await self.catch_up()
            self._tell_holders(proposals)
            return
        # the record may stand or may still come: it names its base, so writing
        # it a second time can't set a view twice
        self._back_off()
        await self.catch_up()

    def _tell_holders(self, proposals: list[Proposal]) -> None:
        """Let new holders know at once: a question of a later version does so."""
        told = {self.core.me, NO_NODE}
        for proposal in proposals:
            view = self.core.holders[proposal.slot].view
            for node in (view.primary, view.backup):
                if node not in told:
                    told.add(node)
                    self.core.tasks.start_soon(self._tell, node, view)

    async def _tell(self, node: NodeId, view: View) -> None:
        question = MarkQuestion(slot=view.slot, version=view.version, marks=[])
        message = Message(mark_question=question)
        await self.core.peers.request(node.address, message, ASK_TIMEOUT_S)

    def _back_off(self) -> None:
        now_s = self.core.timers.read()
        self._retry_s = now_s + self._backoff_s * self.core.rng.uniform(0.8, 1.2)
        self._backoff_s = min(self._backoff_s * 2, MAX_BACKOFF_S)


def compute_digest(views: Iterable[View]) -> int:
    """Return a number that is the same for the same views."""
    text = ",".join(f"{view.slot}:{view.version}" for view in views if view.version)
    # a signed number on the wire
    return xxhash.xxh3_64_intdigest(text.encode()) >> 1


def encode_view(view: View) -> SlotView:
    """Return a view as it goes to other nodes."""
    return SlotView(
        slot=view.slot,
        version=view.version,
        primary=format_node(view.primary),
        backup=format_node(view.backup),
        lost=view.lost,
    )


def _is_valid(frame: SlotView) -> bool:
    if frame.slot is None or frame.version is None:
        return False
    return 0 <= frame.slot < SLOT_COUNT and frame.version > 0


def decode_view(frame: SlotView) -> View:
    """Return a view that another node sent."""
    return View(
        slot=frame.slot,
        version=frame.version,
        primary=parse_node(frame.primary or ""),
        backup=parse_node(frame.backup or ""),
        lost=bool(frame.lost),
    )
