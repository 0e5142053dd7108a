"""The state of one slot at a node."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from attrs import define, field

from eelgrassmount.keys.table import Entry, KeyTable, Stage
from eelgrassmount.keys.views import View
from eelgrassmount.verdict import NotRun

if TYPE_CHECKING:
    from eelgrassmount.calls.request import Outcome
    from eelgrassmount.keys.placement import NodeId


@define
class PendingOutcome:
    """The event on which calls wait for the outcome of one key."""

    event: anyio.Event = field(factory=anyio.Event)
    outcome: Outcome | None = None


@define
class KeyStore:
    """A table of keys and the calls that wait for their outcomes."""

    table: KeyTable
    pending_outcomes: dict[str, PendingOutcome] = field(factory=dict)

    def get_pending_outcome(self, key: str) -> PendingOutcome:
        """Return the pending outcome of a key, created if missing."""
        return self.pending_outcomes.setdefault(key, PendingOutcome())

    def resolve(self, key: str, outcome: Outcome | None) -> None:
        """Wake waiting calls; without an outcome they look up the key again."""
        pending_outcome = self.pending_outcomes.pop(key, None)
        if pending_outcome is not None:
            pending_outcome.outcome = outcome
            pending_outcome.event.set()

    def drop_idle_outcomes(self) -> None:
        """Resolve pending outcomes of keys that are no longer in the table."""
        idle = [key for key in self.pending_outcomes if self.table.find(key) is None]
        for key in idle:
            self.resolve(key, None)

    def complete(self, entry: Entry, outcome: Outcome, now_s: float) -> None:
        """Store the outcome of a call; a call that was not run frees its key."""
        if isinstance(outcome.verdict, NotRun):
            self.table.release(entry)
        else:
            self.table.finish(entry, outcome, now_s)
        self.resolve(entry.key, outcome)


@define
class SlotState:
    """The state of one slot at its primary or backup.

    ``synced``: the backup has the whole table under the current view.
    ``opens_at_s``: when the primary starts to run new keys. ``primary_active``: the
    backup knows that the primary runs keys. ``results``: results that the other node
    has not confirmed yet.
    """

    view: View
    key_store: KeyStore
    synced: bool = False
    primary_active: bool = False
    receiving_version: int = 0
    opens_at_s: float = 0.0
    results: list[Entry] = field(factory=list)
    changed: anyio.Event = field(factory=anyio.Event)

    @property
    def table(self) -> KeyTable:
        """The table of the slot."""
        return self.key_store.table

    def is_waiting(self, node_id: NodeId, now_s: float) -> bool:
        """Return whether the waiting time of a lost view may still be running."""
        if not self.view.lost:
            return False
        if self.view.primary == node_id:
            return now_s < self.opens_at_s
        return not self.primary_active

    def notify_waiters(self) -> None:
        """Wake the tasks that wait for a change of this slot."""
        self.changed.set()
        self.changed = anyio.Event()


def adopt_view(
    slot_state: SlotState, view: View, node_id: NodeId, now_s: float, window_s: float
) -> bool:
    """Replace the view by a later one; return whether it is later.

    Nothing is acknowledged or run under the earlier view afterwards.
    """
    earlier = slot_state.view
    if view.version <= earlier.version:
        return False
    slot_state.view = view
    slot_state.synced = False
    slot_state.primary_active = False
    slot_state.receiving_version = 0
    if view.primary == node_id:
        slot_state.opens_at_s = _find_opening_time(
            slot_state, earlier, node_id, now_s, window_s
        )
        slot_state.synced = not view.backup
    elif view.backup != node_id:
        slot_state.table.clear()
    slot_state.notify_waiters()
    return True


def _find_opening_time(
    slot_state: SlotState, earlier: View, node_id: NodeId, now_s: float, window_s: float
) -> float:
    if not slot_state.view.lost:
        return now_s
    if earlier.primary == node_id and earlier.lost:
        return slot_state.opens_at_s
    return now_s + window_s


def list_entries(slot_state: SlotState) -> list[Entry]:
    """Return the entries for a new backup, including those of running calls."""
    return list(slot_state.table.entries.values())


def has_local_runs(key_store: KeyStore) -> bool:
    """Return whether a call of any key is in progress at this node."""
    local_stages = (Stage.MARKED, Stage.RUNNING)
    return any(
        entry.stage in local_stages for entry in key_store.table.entries.values()
    )
