"""Follow the views of the slots through the log and peers, and propose views."""

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
from eelgrassmount.keys.planning import SlotStatus, plan_proposals
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

MAX_PAGE_RECORDS = 200
LONG_POLL_TIMEOUT_S = 2.0
PEER_TIMEOUT_S = 0.5
TICK_INTERVAL_S = 0.5
MIN_REFRESH_INTERVAL_S = 5.0
REFRESH_INTERVAL_PER_MEMBER_S = 0.1
MIN_BACKOFF_S = 0.5
MAX_BACKOFF_S = 10.0


@define
class Follower:
    """Keeps the views of all slots of the local failure domain up to date."""

    core: Core
    fold: ViewFold = field(factory=ViewFold)
    caught_up: bool = False
    _written_s: dict[int, float] = field(factory=dict)
    _idle_inputs: tuple[Roster, list[SlotStatus]] | None = None
    _proposing: bool = False
    _backoff_s: float = MIN_BACKOFF_S
    _retry_s: float = -math.inf
    _refreshed_s: float = -math.inf

    @property
    def stream(self) -> str:
        """The stream of the views of the local failure domain."""
        return f"slots.{self.core.shared_state.identity.failure_domain}"

    async def catch_up(self, wait_s: float = 0.0) -> bool:
        """Read the stream to its end; return whether the log was reachable."""
        while True:
            requested_s = self.core.timers.read()
            page = await self.core.log.read(
                self.stream, self.fold.next, MAX_PAGE_RECORDS, wait_s
            )
            if isinstance(page, LogFailure):
                self.core.count("view-read-failed")
                return False
            self._apply_page(page)
            if self.fold.next >= page.next:
                self._handle_stream_end(requested_s)
                return True

    def _apply_page(self, page: object) -> None:
        now_s = self.core.timers.read()
        before = dict(self.fold.written)
        self.core.adopt(fold_page(self.fold, page))
        for slot, offset in self.fold.written.items():
            if before.get(slot) != offset:
                self._written_s[slot] = now_s

    def _handle_stream_end(self, requested_s: float) -> None:
        self.caught_up = True
        self.core.confirm_views(requested_s)
        self.core.log_confirmed_s = max(self.core.log_confirmed_s, requested_s)

    async def fetch_views(self, address: str) -> bool:
        """Apply the views of another node of the failure domain; return success."""
        requested_s = self.core.timers.read()
        domain = self.core.shared_state.identity.failure_domain
        digest = compute_digest(slot_state.view for slot_state in self.core.slot_states)
        question = Message(
            slot_question=SlotQuestion(failure_domain=domain, digest=digest)
        )
        reply = await self.core.peers.request(address, question, PEER_TIMEOUT_S)
        if isinstance(reply, PeerFailure) or reply.slot_answer is None:
            return False
        views = reply.slot_answer.views
        same = reply.slot_answer.same
        if reply.slot_answer.failure_domain != domain or not (views or same):
            return False
        self.core.adopt([decode_view(view) for view in views or () if _is_valid(view)])
        self.core.confirm_views(requested_s)
        return True

    async def refresh(self) -> bool:
        """Fetch the current views from the log, or from a node that reads the log."""
        readers = self.core.read_roster().readers
        reads = self.core.node_id in readers
        if reads and await self.catch_up():
            return True
        for reader in self.core.rng.sample(readers, len(readers)):
            if reader != self.core.node_id and await self.fetch_views(reader.address):
                return True
        return not reads and await self.catch_up()

    async def answer_view_request(
        self, sender: Hello, message: Message
    ) -> Message | None:
        """Handle a request for the views; a stalled node returns none."""
        domain = self.core.shared_state.identity.failure_domain
        views = []
        if not self.core.is_stalled():
            views = [
                slot_state.view
                for slot_state in self.core.slot_states
                if slot_state.view.version
            ]
        same = bool(views) and message.slot_question.digest == compute_digest(views)
        answer = SlotAnswer(
            failure_domain=domain,
            views=[] if same else [encode_view(view) for view in views],
            same=same,
        )
        return Message(slot_answer=answer)

    async def follow_stream(self) -> None:
        """Follow the stream while this node is a reader, and poll peers otherwise."""
        await self.refresh()
        while True:
            if self.core.node_id in self.core.read_roster().readers:
                ok = await self.catch_up(LONG_POLL_TIMEOUT_S)
                await anyio.sleep(0.0 if ok else MIN_BACKOFF_S)
            else:
                await anyio.sleep(TICK_INTERVAL_S)
                await self._refresh_if_due()

    async def _refresh_if_due(self) -> None:
        now_s = self.core.timers.read()
        # the interval grows with the cluster, which bounds the load of the readers
        members = len(self.core.read_roster().known)
        interval_s = max(
            MIN_REFRESH_INTERVAL_S, REFRESH_INTERVAL_PER_MEMBER_S * members
        )
        interval_s *= self.core.rng.uniform(0.8, 1.2)
        stalled = self.core.is_stalled()
        if stalled or now_s - self._refreshed_s >= interval_s:
            self._refreshed_s = now_s
            await self.refresh()

    async def propose_periodically(self) -> None:
        """Write due proposals until cancelled."""
        while True:
            await anyio.sleep(TICK_INTERVAL_S * self.core.rng.uniform(0.8, 1.2))
            await self.propose_due()

    async def propose_due(self) -> None:
        """Write the proposals that are due, except during a backoff."""
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
        # plan again with the latest views: another node may have written first
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
        statuses = [
            SlotStatus(
                slot_state.view,
                slot_state.synced,
                slot_state.is_waiting(self.core.node_id, now_s),
            )
            for slot_state in self.core.slot_states
        ]
        # skip planning while nothing has changed since it found nothing due
        inputs = (roster, statuses)
        if inputs == self._idle_inputs:
            return self._plan_rewrites(roster, now_s)
        from_start = self.caught_up and self.fold.first == 0
        proposals = plan_proposals(statuses, roster, from_start)
        self._idle_inputs = None if proposals else inputs
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
            self._backoff_s = MIN_BACKOFF_S
            await self.catch_up()
            self._notify_holders(proposals)
            return
        # the append may have succeeded or may still succeed; a retry is safe because
        # the record names its base version
        self._back_off()
        await self.catch_up()

    def _notify_holders(self, proposals: list[Proposal]) -> None:
        """Notify new primaries and backups by an empty request with the version."""
        notified = {self.core.node_id, NO_NODE}
        for proposal in proposals:
            view = self.core.slot_states[proposal.slot].view
            for node in (view.primary, view.backup):
                if node not in notified:
                    notified.add(node)
                    self.core.tasks.start_soon(self._notify, node, view)

    async def _notify(self, node: NodeId, view: View) -> None:
        question = MarkQuestion(slot=view.slot, version=view.version, marks=[])
        message = Message(mark_question=question)
        await self.core.peers.request(node.address, message, PEER_TIMEOUT_S)

    def _back_off(self) -> None:
        now_s = self.core.timers.read()
        self._retry_s = now_s + self._backoff_s * self.core.rng.uniform(0.8, 1.2)
        self._backoff_s = min(self._backoff_s * 2, MAX_BACKOFF_S)


def compute_digest(views: Iterable[View]) -> int:
    """Return a hash of the versions of all assigned views."""
    text = ",".join(f"{view.slot}:{view.version}" for view in views if view.version)
    # fits a signed 64-bit field of the wire format
    return xxhash.xxh3_64_intdigest(text.encode()) >> 1


def encode_view(view: View) -> SlotView:
    """Return the wire form of a view."""
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
    """Return the view of a wire struct."""
    return View(
        slot=frame.slot,
        version=frame.version,
        primary=parse_node(frame.primary or ""),
        backup=parse_node(frame.backup or ""),
        lost=bool(frame.lost),
    )
