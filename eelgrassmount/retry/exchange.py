"""Exchange of quarantined requests between nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define

from eelgrassmount.gen.ttypes import Gossip, Message, QuarantineNote
from eelgrassmount.retry.quarantine import MAX_CRASHED_CALLS, QUARANTINE_S, Suspect

if TYPE_CHECKING:
    from collections.abc import Iterable

    from eelgrassmount.peer.port import PeerPort
    from eelgrassmount.retry.quarantine import Quarantine
    from eelgrassmount.shared_node_state import SharedNodeState
    from eelgrassmount.timers import Clock
    from eelgrassmount.util.background import Background
    from eelgrassmount.verdict import NotRun

# Suspects, and clearances, in one gossip message.
MAX_NOTES = 5
# Nodes of each remote failure domain that this node notifies of a crash.
MAX_NODES_PER_REMOTE_DOMAIN = 2


@define(eq=False)
class QuarantineExchange:
    """Reports crashes to other nodes, at once and in the regular gossip.

    A crash is reported to all nodes of the local failure domain and to a few nodes of
    each remote one. These forward the report within their own failure domain.
    """

    shared_state: SharedNodeState
    clock: Clock
    peers: PeerPort
    quarantine: Quarantine
    tasks: Background

    def check(self, digest: str) -> NotRun | None:
        """Return a refusal if requests with this digest crashed too many servers."""
        return self.quarantine.check(digest, self.clock.read())

    def count_refused(self) -> int:
        """Return the number of digests that are refused now."""
        return self.quarantine.count_refused(self.clock.read())

    def record_crash(self, digest: str, call_id: str) -> None:
        """Record a server crash during a call and report it to other nodes."""
        if self.quarantine.record_crash(digest, call_id, self.clock.read()):
            self._send([*self._list_local_nodes(), *self._list_remote_nodes()])

    def record_success(self, digest: str) -> None:
        """Record that a server has completed a request with this digest."""
        self.quarantine.record_success(digest, self.clock.read())

    def fill(self, gossip: Gossip) -> None:
        """Add this node's suspects and clearances to a gossip message."""
        now_s = self.clock.read()
        self.quarantine.expire(now_s)
        suspects = self.quarantine.list_suspects()[:MAX_NOTES]
        cleared = self.quarantine.list_cleared()[:MAX_NOTES]
        gossip.quarantine = [
            *(_encode(suspect, now_s, False) for suspect in suspects),
            *(_encode(suspect, now_s, True) for suspect in cleared),
        ]

    def observe(self, address: str, gossip: Gossip) -> None:
        """Apply the suspects and clearances of another node."""
        now_s = self.clock.read()
        notes = [
            note
            for note in gossip.quarantine or ()
            if note.digest and note.calls and note.remaining_ms
        ]
        self.quarantine.clear(_decode(note, now_s) for note in notes if note.cleared)
        suspects = [_decode(note, now_s) for note in notes if not note.cleared]
        same_domain = address in self.shared_state.members.members
        if self.quarantine.merge(suspects, now_s) and not same_domain:
            self._send(self._list_local_nodes())

    def _list_local_nodes(self) -> list[str]:
        local_address = self.shared_state.identity.address
        members = self.shared_state.members.members.values()
        return [
            member.identity.address
            for member in members
            if member.present and member.identity.address != local_address
        ]

    def _list_remote_nodes(self) -> list[str]:
        by_domain: dict[str, set[str]] = {}
        for summary in self.shared_state.members.summaries.values():
            if summary.failure_domain != self.shared_state.identity.failure_domain:
                nodes = by_domain.setdefault(summary.failure_domain, set())
                nodes.update(summary.addresses)
        return [
            address
            for addresses in by_domain.values()
            for address in sorted(addresses)[:MAX_NODES_PER_REMOTE_DOMAIN]
        ]

    def _send(self, addresses: Iterable[str]) -> None:
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
        calls=sorted(suspect.calls)[:MAX_CRASHED_CALLS],
        cleared=cleared,
    )


def _decode(note: QuarantineNote, now_s: float) -> Suspect:
    remaining_s = min(note.remaining_ms / 1000, QUARANTINE_S)
    calls = frozenset(note.calls[:MAX_CRASHED_CALLS])
    return Suspect(note.digest, calls, now_s + remaining_s)
