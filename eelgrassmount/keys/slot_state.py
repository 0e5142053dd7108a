"""What a node holds for one slot."""

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
class Ticket:
    """Those who wait for the outcome of one key."""

    event: anyio.Event = field(factory=anyio.Event)
    outcome: Outcome | None = None


@define
class Ledger:
    """A table of keys together with those who wait for outcomes."""

    table: KeyTable
    tickets: dict[str, Ticket] = field(factory=dict)

    def find_ticket(self, key: str) -> Ticket:
        """Return the ticket of a key, a new one if nobody waits yet."""
        return self.tickets.setdefault(key, Ticket())

    def resolve(self, key: str, outcome: Outcome | None) -> None:
        """Wake those who wait; without an outcome they begin anew."""
        ticket = self.tickets.pop(key, None)
        if ticket is not None:
            ticket.outcome = outcome
            ticket.event.set()

    def drop_idle_tickets(self) -> None:
        """Forget the tickets of keys that are no longer remembered."""
        idle = [key for key in self.tickets if self.table.find(key) is None]
        for key in idle:
            self.resolve(key, None)

    def settle(self, entry: Entry, outcome: Outcome, now_s: float) -> None:
        """Keep how the call of an entry ended; a call not run frees its key."""
        if isinstance(outcome.verdict, NotRun):
            self.table.release(entry)
        else:
            self.table.finish(entry, outcome, now_s)
        self.resolve(entry.key, outcome)


@define
class SlotHolder:
    """One slot as this node holds it.

    ``synced`` means, at the primary, that its backup has the whole table, and at
    the backup that it has received it under the present view. New keys run
    from ``open_s`` on. ``opened`` tells a backup that its primary runs keys.
    ``facts`` are endings that the other holder has not confirmed yet.
    """

    view: View
    ledger: Ledger
    synced: bool = False
    opened: bool = False
    staged: int = 0
    open_s: float = 0.0
    facts: list[Entry] = field(factory=list)
    changed: anyio.Event = field(factory=anyio.Event)

    @property
    def table(self) -> KeyTable:
        """The table of the slot."""
        return self.ledger.table

    def is_waiting(self, me: NodeId, now_s: float) -> bool:
        """Tell whether a lost view's waiting time is not known to be over."""
        if not self.view.lost:
            return False
        if self.view.primary == me:
            return now_s < self.open_s
        return not self.opened

    def announce(self) -> None:
        """Wake everything that waits for a change of this slot."""
        self.changed.set()
        self.changed = anyio.Event()


def adopt_view(
    holder: SlotHolder, view: View, me: NodeId, now_s: float, window_s: float
) -> bool:
    """Go over to a later view; tell whether it is one.

    From here on nothing is acknowledged or run under the earlier view.
    """
    earlier = holder.view
    if view.version <= earlier.version:
        return False
    holder.view = view
    holder.synced = False
    holder.opened = False
    holder.staged = 0
    if view.primary == me:
        holder.open_s = _find_opening(holder, earlier, me, now_s, window_s)
        holder.synced = not view.backup
    elif view.backup != me:
        holder.table.clear()
    holder.announce()
    return True


def _find_opening(
    holder: SlotHolder, earlier: View, me: NodeId, now_s: float, window_s: float
) -> float:
    if not holder.view.lost:
        return now_s
    if earlier.primary == me and earlier.lost:
        return holder.open_s
    return now_s + window_s


def list_copies(holder: SlotHolder) -> list[Entry]:
    """Return what a new backup has to know, the keys at work included."""
    return list(holder.table.entries.values())


def has_runs(ledger: Ledger) -> bool:
    """Tell whether a call of some key is under way at this node."""
    own = (Stage.MARKED, Stage.RUNNING)
    return any(entry.stage in own for entry in ledger.table.entries.values())
