"""Quarantine of requests that crash the backend servers that run them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, evolve, field, frozen

from eelgrassmount.verdict import NotRun, Reason

if TYPE_CHECKING:
    from collections.abc import Iterable

# Crashes over all servers after which requests with the same digest are refused.
MAX_CRASHES = 2
# The same limit for a digest that succeeded within ``QUARANTINE_S``.
MAX_CRASHES_AFTER_SUCCESS = 6
# Retention of a digest after its last crash or success.
QUARANTINE_S = 300.0
MAX_SUSPECTS = 1000
MAX_SUCCEEDED = 10_000
# Call ids stored for one digest.
MAX_CRASHED_CALLS = 16


@frozen
class Suspect:
    """The digest of a request that was running when backend servers crashed.

    ``calls`` are the ids of the calls that were running at a crash. They identify the
    crash, so that reports from several nodes count it once.
    """

    digest: str
    calls: frozenset[str]
    expires_s: float

    @property
    def crashes(self) -> int:
        """Return the number of crashes during calls with this digest."""
        return len(self.calls)


@define
class Quarantine:
    """Counts crashes by request digest and refuses digests with too many.

    All calls that were running on a crashed server are suspects, whether or not they
    caused the crash. A digest that succeeds is therefore cleared, and tolerates more
    crashes for a while. Crashes and clearances are shared with other nodes.
    """

    suspects: dict[str, Suspect] = field(factory=dict)
    _cleared: dict[str, Suspect] = field(factory=dict)
    _succeeded_s: dict[str, float] = field(factory=dict)

    def check(self, digest: str, now_s: float) -> NotRun | None:
        """Return a refusal if requests with this digest crashed too many servers."""
        suspect = self.suspects.get(digest)
        if suspect is None or now_s >= suspect.expires_s:
            return None
        if suspect.crashes < self._find_max_crashes(digest, now_s):
            return None
        return NotRun(Reason.QUARANTINED, suspect.expires_s - now_s)

    def _find_max_crashes(self, digest: str, now_s: float) -> int:
        succeeded_s = self._succeeded_s.get(digest)
        if succeeded_s is None or now_s - succeeded_s >= QUARANTINE_S:
            return MAX_CRASHES
        return MAX_CRASHES_AFTER_SUCCESS

    def record_crash(self, digest: str, call_id: str, now_s: float) -> bool:
        """Record a server crash during a call; return whether it was unknown."""
        calls = frozenset([call_id])
        return self.merge([Suspect(digest, calls, now_s + QUARANTINE_S)], now_s)

    def record_success(self, digest: str, now_s: float) -> None:
        """Clear a digest after a server has completed a request with it."""
        self._succeeded_s.pop(digest, None)
        self._succeeded_s[digest] = now_s
        if len(self._succeeded_s) > MAX_SUCCEEDED:
            del self._succeeded_s[next(iter(self._succeeded_s))]
        suspect = self.suspects.get(digest)
        if suspect is not None:
            self.clear([suspect])

    def clear(self, suspects: Iterable[Suspect]) -> None:
        """Stop counting these crashes; later crashes of the digests count again."""
        for suspect in suspects:
            calls = suspect.calls | self._find_cleared_calls(suspect.digest)
            self._cleared[suspect.digest] = evolve(suspect, calls=calls)
            known = self.suspects.pop(suspect.digest, None)
            if known is not None and known.calls - calls:
                remaining = evolve(known, calls=known.calls - calls)
                self.suspects[suspect.digest] = remaining
        _trim(self._cleared)

    def _find_cleared_calls(self, digest: str) -> frozenset[str]:
        cleared = self._cleared.get(digest)
        return frozenset() if cleared is None else cleared.calls

    def merge(self, suspects: Iterable[Suspect], now_s: float) -> bool:
        """Add reported crashes; return whether any of them was unknown."""
        added = [suspect for suspect in suspects if self._add(suspect, now_s)]
        _trim(self.suspects)
        return bool(added)

    def _add(self, suspect: Suspect, now_s: float) -> bool:
        known = self.suspects.get(suspect.digest)
        if known is None or now_s >= known.expires_s:
            known = Suspect(suspect.digest, frozenset(), 0.0)
        calls = suspect.calls - known.calls - self._find_cleared_calls(suspect.digest)
        if not calls or known.crashes >= MAX_CRASHED_CALLS:
            return False
        self.suspects[suspect.digest] = Suspect(
            suspect.digest,
            known.calls | calls,
            max(known.expires_s, suspect.expires_s),
        )
        return True

    def expire(self, now_s: float) -> None:
        """Remove digests whose last crash or success has expired."""
        for table in (self.suspects, self._cleared):
            for digest, suspect in list(table.items()):
                if now_s >= suspect.expires_s:
                    del table[digest]
        for digest, succeeded_s in list(self._succeeded_s.items()):
            if now_s - succeeded_s < QUARANTINE_S:
                break
            del self._succeeded_s[digest]

    def list_cleared(self) -> list[Suspect]:
        """Return the cleared suspects, latest expiry first."""
        return sorted(self._cleared.values(), key=lambda item: -item.expires_s)

    def count_refused(self, now_s: float) -> int:
        """Return the number of digests that are refused now."""
        return sum(self.check(digest, now_s) is not None for digest in self.suspects)

    def list_suspects(self) -> list[Suspect]:
        """Return the suspects, most crashes first."""
        return sorted(self.suspects.values(), key=lambda item: -item.crashes)


def _trim(table: dict[str, Suspect]) -> None:
    while len(table) > MAX_SUSPECTS:
        removed = min(table.values(), key=lambda item: (item.crashes, item.expires_s))
        del table[removed.digest]
