"""The table of keys of one slot, or of one incarnation of a node."""

from __future__ import annotations

from collections import deque
from enum import IntEnum
from typing import TYPE_CHECKING

from attrs import define, field

from eelgrassmount.verdict import Answered

if TYPE_CHECKING:
    from eelgrassmount.calls.request import Outcome

MAX_RUN_S = 3600.0
_ENTRY_BYTES = 512


class Stage(IntEnum):
    """The progress of a key's call."""

    MARKED = 0
    RUNNING = 1
    ELSEWHERE = 2
    DONE = 3


@define
class Entry:
    """One key.

    ``runner`` is the incarnation that marked the key and ``mark`` its number for
    this attempt. Both identify the attempt, so that late messages about earlier
    attempts are ignored. ``since_s`` is the time at which the stage was reached.
    """

    key: str
    digest: str
    runner: str
    mark: int
    stage: Stage
    since_s: float
    outcome: Outcome | None = None


@define
class Budget:
    """The limits and current use of all tables of a node together."""

    max_keys: int
    max_bytes: int
    keys: int = 0
    bytes: int = 0

    @property
    def full(self) -> bool:
        """Return whether new keys must be refused."""
        return self.keys >= self.max_keys or self.bytes >= self.max_bytes


@define
class KeyTable:
    """Keys with their outcomes.

    A completed entry is retained for at least one key window. The budget limits only
    new keys.
    """

    budget: Budget
    entries: dict[str, Entry] = field(factory=dict)
    _done: deque[Entry] = field(factory=deque)

    def find(self, key: str) -> Entry | None:
        """Return the entry of a key."""
        return self.entries.get(key)

    def put(self, entry: Entry) -> None:
        """Add an entry, replacing an earlier one of the key."""
        self.drop(entry.key)
        self.entries[entry.key] = entry
        self.budget.keys += 1
        self.budget.bytes += _measure(entry)
        if entry.stage is Stage.DONE:
            self._done.append(entry)

    def finish(self, entry: Entry, outcome: Outcome, now_s: float) -> None:
        """Store the outcome of an entry's call for retries."""
        if self.entries.get(entry.key) is not entry or entry.stage is Stage.DONE:
            return
        self.budget.bytes -= _measure(entry)
        entry.outcome = outcome
        entry.stage = Stage.DONE
        entry.since_s = now_s
        self.budget.bytes += _measure(entry)
        self._done.append(entry)

    def drop(self, key: str) -> None:
        """Remove a key."""
        entry = self.entries.pop(key, None)
        if entry is not None:
            self.budget.keys -= 1
            self.budget.bytes -= _measure(entry)

    def release(self, entry: Entry) -> None:
        """Remove an entry unless it has been replaced."""
        if self.entries.get(entry.key) is entry:
            self.drop(entry.key)

    def clear(self) -> None:
        """Remove all keys except those whose calls are in progress at this node."""
        for entry in list(self.entries.values()):
            if entry.stage not in (Stage.MARKED, Stage.RUNNING):
                self.drop(entry.key)
        self._done.clear()

    def expire(self, now_s: float, window_s: float) -> int:
        """Remove the keys completed a window ago and return their number."""
        dropped = 0
        while self._done and now_s - self._done[0].since_s >= window_s:
            entry = self._done.popleft()
            if self.entries.get(entry.key) is entry:
                self.drop(entry.key)
                dropped += 1
        return dropped

    def expire_marks(self, now_s: float, window_s: float) -> int:
        """Remove marks of other nodes that are older than any run can be."""
        limit_s = window_s + MAX_RUN_S
        old = [
            entry.key
            for entry in self.entries.values()
            if entry.stage is Stage.ELSEWHERE and now_s - entry.since_s >= limit_s
        ]
        for key in old:
            self.drop(key)
        return len(old)


def apply_mark(table: KeyTable, entry: Entry) -> bool:
    """Apply a mark of the primary at the backup; return whether it is accepted.

    A late mark never replaces a newer mark or its outcome. A key that runs at this
    node can't be marked by another node.
    """
    present = table.find(entry.key)
    if present is None:
        table.put(entry)
        return True
    if present.runner == entry.runner and present.mark >= entry.mark:
        return True
    if present.stage is Stage.RUNNING:
        return False
    table.put(entry)
    return True


def apply_copy(table: KeyTable, entry: Entry) -> None:
    """Add an entry of a transferred table unless the key is present."""
    if table.find(entry.key) is None:
        table.put(entry)


def apply_result(table: KeyTable, result: Entry, now_s: float) -> bool:
    """Apply the result of a call that another node ran; return whether it was new.

    ``result.outcome`` is ``None`` if the call was not run, which frees the key. A
    result applies only to the mark that it names, but under any view: the result of
    a call does not depend on the current primary.
    """
    present = table.find(result.key)
    if present is None or present.stage is not Stage.ELSEWHERE:
        return False
    if (present.runner, present.mark) != (result.runner, result.mark):
        return False
    if result.outcome is None:
        table.drop(result.key)
    else:
        table.finish(present, result.outcome, now_s)
    return True


def _measure(entry: Entry) -> int:
    if entry.outcome is None or not isinstance(entry.outcome.verdict, Answered):
        return _ENTRY_BYTES
    return _ENTRY_BYTES + len(entry.outcome.verdict.body)
