"""Telling other nodes of requests that crash their servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define

from eelgrassmount.gen.ttypes import Gossip, Message, QuarantineNote
from eelgrassmount.retry.quarantine import MAX_CALLS, QUARANTINE_S, Suspect

if TYPE_CHECKING:
    from collections.abc import Iterable

    from eelgrassmount.blackboard import Blackboard
    from eelgrassmount.peer.port import PeerPort
    from eelgrassmount.retry.quarantine import Quarantine
    from eelgrassmount.timers import Clock
    from eelgrassmount.util.background import Background
    from eelgrassmount.verdict import NotRun

# the worst suspects ride on each gossip message
MAX_NOTES = 5
# nodes of each other failure domain that are told of a crash at once
FAR_NODES = 2


@define(eq=False)
class QuarantineExchange:
    """Tells others of crashes at once, and again with the gossip.

    A crash is told to all nodes of the own failure domain and a few of each
    other one. Whoever hears of it from another failure domain tells its own.
    """

    board: Blackboard
    clock: Clock
    peers: PeerPort
    quarantine: Quarantine
    tasks: Background

    def check(self, digest: str) -> NotRun | None:
        """Refuse a content that has crashed too many servers."""
        return self.quarantine.check(digest, self.clock.read())

    def count_refused(self) -> int:
        """Return how many contents are refused at present."""
        return self.quarantine.count_refused(self.clock.read())

    def note_crash(self, digest: str, call_id: str) -> None:
        """Note that a server crashed while it was running a call."""
        if self.quarantine.note_crash(digest, call_id, self.clock.read()):
            self._tell([*self._list_near(), *self._list_far()])

    def note_success(self, digest: str) -> None:
        """Note that a server has run a content to its end."""
        self.quarantine.note_success(digest, self.clock.read())

    def fill(self, gossip: Gossip) -> None:
        """Add what this node suspects to a message."""
        now_s = self.clock.read()
        self.quarantine.expire(now_s)
        suspects = self.quarantine.list_suspects()[:MAX_NOTES]
        cleared = self.quarantine.list_cleared()[:MAX_NOTES]
        gossip.quarantine = [
            *(_encode(suspect, now_s, False) for suspect in suspects),
            *(_encode(suspect, now_s, True) for suspect in cleared),
        ]

    def observe(self, address: str, gossip: Gossip) -> None:
        """Take over what another node suspects or has cleared."""
        now_s = self.clock.read()
        notes = [
            note
            for note in gossip.quarantine or ()
            if note.digest and note.calls and note.remaining_ms
        ]
        self.quarantine.clear(_decode(note, now_s) for note in notes if note.cleared)
        suspects = [_decode(note, now_s) for note in notes if not note.cleared]
        near = address in self.board.members.members
        if self.quarantine.merge(suspects, now_s) and not near:
            self._tell(self._list_near())

    def _list_near(self) -> list[str]:
        own = self.board.identity.address
        members = self.board.members.members.values()
        return [
            member.identity.address
            for member in members
            if member.present and member.identity.address != own
        ]

    def _list_far(self) -> list[str]:
        by_domain: dict[str, set[str]] = {}
        for summary in self.board.members.summaries.values():
            if summary.failure_domain != self.board.identity.failure_domain:
                found = by_domain.setdefault(summary.failure_domain, set())
                found.update(summary.addresses)
        return [
            address
            for addresses in by_domain.values()
            for address in sorted(addresses)[:FAR_NODES]
        ]

    def _tell(self, addresses: Iterable[str]) -> None:
        for address in addresses:
            gossip = Gossip()
            self.fill(gossip)
            message = Message(gossip=gossip)
            self.tasks.start_soon(self.peers.send, address, message)


def _encode(suspect: Suspect, now_s: float, cleared: bool) -> QuarantineNote:
    return QuarantineNote(
        digest=suspect.digest,
        crashes=suspect.crashes,
        remaining_ms=int((suspect.expires_s - now_s) * 1000),
        calls=sorted(suspect.calls)[:MAX_CALLS],
        cleared=cleared,
    )


def _decode(note: QuarantineNote, now_s: float) -> Suspect:
    remaining_s = min(note.remaining_ms / 1000, QUARANTINE_S)
    calls = frozenset(note.calls[:MAX_CALLS])
    return Suspect(note.digest, calls, now_s + remaining_s)
