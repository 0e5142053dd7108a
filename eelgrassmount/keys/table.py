"""The keys that one slot, or one incarnation of a node, remembers."""

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
    """How far the call of a key has come."""

    MARKED = 0
    RUNNING = 1
    ELSEWHERE = 2
    DONE = 3


@define
class Entry:
    """One key.

    ``runner`` is the incarnation that marked the key and ``mark`` its number for
    this attempt; together they tell a late message about an earlier attempt
    from one about the present. ``since_s`` is when the stage was reached.
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
    """The bounds of all tables of a node together, and what is in use."""

    max_keys: int
    max_bytes: int
    keys: int = 0
    bytes: int = 0

    @property
    def full(self) -> bool:
        """Tell whether no new key may be taken in."""
        return self.keys >= self.max_keys or self.bytes >= self.max_bytes


@define
class KeyTable:
    """Keys with their outcomes.

    An entry whose call is done is kept for at least one key window from then
    on, whatever the bounds say: bounds only stop new keys.
    """

    budget: Budget
    entries: dict[str, Entry] = field(factory=dict)
    _done: deque[Entry] = field(factory=deque)

    def find(self, key: str) -> Entry | None:
        """Return the entry of a key."""
        return self.entries.get(key)

    def put(self, entry: Entry) -> None:
        """Take in an entry, in place of the key's earlier one."""
        self.drop(entry.key)
        self.entries[entry.key] = entry
        self.budget.keys += 1
        self.budget.bytes += _measure(entry)
        if entry.stage is Stage.DONE:
            self._done.append(entry)

    def finish(self, entry: Entry, outcome: Outcome, now_s: float) -> None:
        """Keep the outcome of an entry's call, for repeats."""
        if self.entries.get(entry.key) is not entry or entry.stage is Stage.DONE:
            return
        self.budget.bytes -= _measure(entry)
        entry.outcome = outcome
        entry.stage = Stage.DONE
        entry.since_s = now_s
        self.budget.bytes += _measure(entry)
        self._done.append(entry)

    def drop(self, key: str) -> None:
        """Forget a key."""
        entry = self.entries.pop(key, None)
        if entry is not None:
            self.budget.keys -= 1
            self.budget.bytes -= _measure(entry)

    def release(self, entry: Entry) -> None:
        """Forget an entry, unless another one has taken its place."""
        if self.entries.get(entry.key) is entry:
            self.drop(entry.key)

    def clear(self) -> None:
        """Forget all keys whose calls this node is not at work on."""
        for entry in list(self.entries.values()):
            if entry.stage not in (Stage.MARKED, Stage.RUNNING):
                self.drop(entry.key)
        self._done.clear()

    def expire(self, now_s: float, window_s: float) -> int:
        """Forget the keys that were done a window ago, and return how many."""
        dropped = 0
        while self._done and now_s - self._done[0].since_s >= window_s:
            entry = self._done.popleft()
            if self.entries.get(entry.key) is entry:
                self.drop(entry.key)
                dropped += 1
        return dropped

    def expire_marks(self, now_s: float, window_s: float) -> int:
        """Forget marks of other nodes whose runs must long have ended."""
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
    """Take in a mark of the slot's primary at its backup; tell whether it fits.

    A mark that arrives late never replaces a later one or the outcome that it
    led to. A key that this node is running itself can't be marked by another.
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
    """Take in one entry of a whole table that another node sends."""
    if table.find(entry.key) is None:
        table.put(entry)


def apply_result(table: KeyTable, result: Entry, now_s: float) -> bool:
    """Take in how a call ended that another node ran; tell whether it was new.

    ``fact.outcome`` is the outcome, ``None`` if the call was not run and the
    key is free again. A fact counts only for the very mark that it names, but
    then under any view: what happened does not depend on who is primary.
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
