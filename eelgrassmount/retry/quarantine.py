"""Requests that crash the backend servers that run them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field, frozen

from eelgrassmount.verdict import NotRun, Reason

if TYPE_CHECKING:
    from collections.abc import Iterable

# crashes in all, over all servers, after which a content is refused
MAX_CRASHES = 2
# a content is forgotten this long after its last crash
QUARANTINE_S = 300.0
MAX_SUSPECTS = 1000


@frozen
class Suspect:
    """A content that was running when backend servers crashed."""

    digest: str
    crashes: int
    expires_s: float


@define
class Quarantine:
    """Counts crashes by content and refuses what has caused too many.

    Servers crash for other reasons too: everything that ran on a crashing
    server is suspected, but only a content that keeps coinciding with crashes
    reaches the limit. The counts are shared with other nodes by gossip; the
    higher count of a content wins.
    """

    suspects: dict[str, Suspect] = field(factory=dict)

    def check(self, digest: str, now_s: float) -> NotRun | None:
        """Refuse a content that has crashed too many servers."""
        suspect = self.suspects.get(digest)
        if suspect is None or suspect.crashes < MAX_CRASHES:
            return None
        if now_s >= suspect.expires_s:
            return None
        return NotRun(Reason.QUARANTINED, suspect.expires_s - now_s)

    def note_crash(self, digest: str, now_s: float) -> Suspect:
        """Count a crash of the server that was running this content."""
        known = self.suspects.get(digest)
        crashes = 1
        if known is not None and now_s < known.expires_s:
            crashes += known.crashes
        suspect = Suspect(digest, crashes, now_s + QUARANTINE_S)
        self.suspects[digest] = suspect
        self._trim()
        return suspect

    def note_success(self, digest: str) -> None:
        """Clear a content that a server has run to its end."""
        self.suspects.pop(digest, None)

    def merge(self, suspects: Iterable[Suspect]) -> None:
        """Take over what another node knows."""
        for suspect in suspects:
            known = self.suspects.get(suspect.digest)
            if known is None or suspect.crashes > known.crashes:
                self.suspects[suspect.digest] = suspect
        self._trim()

    def expire(self, now_s: float) -> None:
        """Forget contents whose last crash is long ago."""
        for digest, suspect in list(self.suspects.items()):
            if now_s >= suspect.expires_s:
                del self.suspects[digest]

    def list_suspects(self) -> list[Suspect]:
        """Return everything suspected, most crashes first."""
        return sorted(self.suspects.values(), key=lambda item: -item.crashes)

    def _trim(self) -> None:
        while len(self.suspects) > MAX_SUSPECTS:
            least = min(
                self.suspects.values(), key=lambda item: (item.crashes, item.expires_s)
            )
            del self.suspects[least.digest]
