"""Requests that crash the backend servers that run them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, evolve, field, frozen

from eelgrassmount.verdict import NotRun, Reason

if TYPE_CHECKING:
    from collections.abc import Iterable

# crashes in all, over all servers, after which a content is refused
MAX_CRASHES = 2
# the same for a content that a server has run to its end not long ago
MAX_CRASHES_AFTER_SUCCESS = 6
# a content is forgotten this long after its last crash, or its last success
QUARANTINE_S = 300.0
MAX_SUSPECTS = 1000
MAX_SUCCEEDED = 10_000
# crashes of one content that are told apart
MAX_CRASHED_CALLS = 16


@frozen
class Suspect:
    """A content that was running when backend servers crashed.

    ``calls`` are the ids of the calls that coincided with a crash, by which nodes
    that hear of the same crash in different ways count it once.
    """

    digest: str
    calls: frozenset[str]
    expires_s: float

    @property
    def crashes(self) -> int:
        """Return how many crashes it coincided with."""
        return len(self.calls)


@define
class Quarantine:
    """Counts crashes by content and refuses what has caused too many.

    Servers crash for other reasons too, and everything that ran on a crashing
    server is suspected. So a content that completes is cleared, and one that has
    lately completed, as a popular lookup, is refused only after many crashes
    in a row. Crashes and clearances are shared with other nodes.
    """

    suspects: dict[str, Suspect] = field(factory=dict)
    _cleared: dict[str, Suspect] = field(factory=dict)
    _succeeded_s: dict[str, float] = field(factory=dict)

    def check(self, digest: str, now_s: float) -> NotRun | None:
        """Refuse a content that has crashed too many servers."""
        suspect = self.suspects.get(digest)
        if suspect is None or now_s >= suspect.expires_s:
            return None
        if suspect.crashes < self._find_limit(digest, now_s):
            return None
        return NotRun(Reason.QUARANTINED, suspect.expires_s - now_s)

    def _find_limit(self, digest: str, now_s: float) -> int:
        proven_s = self._succeeded_s.get(digest)
        if proven_s is None or now_s - proven_s >= QUARANTINE_S:
            return MAX_CRASHES
        return MAX_CRASHES_AFTER_SUCCESS

    def record_crash(self, digest: str, call_id: str, now_s: float) -> bool:
        """Note a crash of the server that was running a call; tell if it is news."""
        calls = frozenset([call_id])
        return self.merge([Suspect(digest, calls, now_s + QUARANTINE_S)], now_s)

    def record_success(self, digest: str, now_s: float) -> None:
        """Clear a content that a server has run to its end."""
        self._succeeded_s.pop(digest, None)
        self._succeeded_s[digest] = now_s
        if len(self._succeeded_s) > MAX_SUCCEEDED:
            del self._succeeded_s[next(iter(self._succeeded_s))]
        suspect = self.suspects.get(digest)
        if suspect is not None:
            self.clear([suspect])

    def clear(self, suspects: Iterable[Suspect]) -> None:
        """Hold crashes no longer against contents that have completed since."""
        for suspect in suspects:
            calls = suspect.calls | self._find_cleared(suspect.digest)
            self._cleared[suspect.digest] = evolve(suspect, calls=calls)
            known = self.suspects.pop(suspect.digest, None)
            if known is not None and known.calls - calls:
                left = evolve(known, calls=known.calls - calls)
                self.suspects[suspect.digest] = left
        _trim(self._cleared)

    def _find_cleared(self, digest: str) -> frozenset[str]:
        cleared = self._cleared.get(digest)
        return frozenset() if cleared is None else cleared.calls

    def merge(self, suspects: Iterable[Suspect], now_s: float) -> bool:
        """Take over what is known of crashes; tell whether anything was news."""
        news = [suspect for suspect in suspects if self._take(suspect, now_s)]
        _trim(self.suspects)
        return bool(news)

    def _take(self, suspect: Suspect, now_s: float) -> bool:
        known = self.suspects.get(suspect.digest)
        if known is None or now_s >= known.expires_s:
            known = Suspect(suspect.digest, frozenset(), 0.0)
        calls = suspect.calls - known.calls - self._find_cleared(suspect.digest)
        if not calls or known.crashes >= MAX_CRASHED_CALLS:
            return False
        self.suspects[suspect.digest] = Suspect(
            suspect.digest,
            known.calls | calls,
            max(known.expires_s, suspect.expires_s),
        )
        return True

    def expire(self, now_s: float) -> None:
        """Forget contents whose last crash or success is long ago."""
        for table in (self.suspects, self._cleared):
            for digest, suspect in list(table.items()):
                if now_s >= suspect.expires_s:
                    del table[digest]
        for digest, proven_s in list(self._succeeded_s.items()):
            if now_s - proven_s < QUARANTINE_S:
                break
            del self._succeeded_s[digest]

    def list_cleared(self) -> list[Suspect]:
        """Return what has been cleared, the latest first."""
        return sorted(self._cleared.values(), key=lambda item: -item.expires_s)

    def count_refused(self, now_s: float) -> int:
        """Return how many contents are refused at present."""
        return sum(self.check(digest, now_s) is not None for digest in self.suspects)

    def list_suspects(self) -> list[Suspect]:
        """Return everything suspected, most crashes first."""
        return sorted(self.suspects.values(), key=lambda item: -item.crashes)


def _trim(table: dict[str, Suspect]) -> None:
    while len(table) > MAX_SUSPECTS:
        least = min(table.values(), key=lambda item: (item.crashes, item.expires_s))
        del table[least.digest]
