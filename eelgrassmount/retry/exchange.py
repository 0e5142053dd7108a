"""Telling other nodes of requests that crash their servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define

from eelgrassmount.gen.ttypes import QuarantineNote
from eelgrassmount.retry.quarantine import QUARANTINE_S, Suspect

if TYPE_CHECKING:
    from eelgrassmount.gen.ttypes import Gossip
    from eelgrassmount.retry.quarantine import Quarantine
    from eelgrassmount.timers import Clock

# the worst suspects ride on each gossip message
MAX_NOTES = 5


@define(eq=False)
class QuarantineExchange:
    """Adds the worst suspects to gossip and takes over those of others."""

    quarantine: Quarantine
    clock: Clock

    def fill(self, gossip: Gossip) -> None:
        """Add what this node suspects to a message."""
        now_s = self.clock.read()
        self.quarantine.expire(now_s)
        gossip.quarantine = [
            QuarantineNote(
                digest=suspect.digest,
                crashes=suspect.crashes,
                remaining_ms=int((suspect.expires_s - now_s) * 1000),
            )
            for suspect in self.quarantine.list_suspects()[:MAX_NOTES]
        ]

    def observe(self, address: str, gossip: Gossip) -> None:
        """Take over what another node suspects."""
        now_s = self.clock.read()
        self.quarantine.merge(
            Suspect(
                note.digest,
                note.crashes,
                now_s + min(note.remaining_ms / 1000, QUARANTINE_S),
            )
            for note in gossip.quarantine or ()
            if note.digest and note.crashes and note.remaining_ms
        )
