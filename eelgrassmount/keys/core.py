"""What the parts of the key service share."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import anyio
from attrs import define, evolve, field

from eelgrassmount.keys.holder import Ledger, SlotHolder, adopt_view
from eelgrassmount.keys.placement import SLOT_COUNT, NodeId, identify_node
from eelgrassmount.keys.planning import Roster, build_roster
from eelgrassmount.keys.table import Budget, Entry, KeyTable
from eelgrassmount.keys.views import View

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable

    from anyio.abc import TaskGroup

    from eelgrassmount.keys.port import Runner
    from eelgrassmount.log_service import LogService
    from eelgrassmount.peer.port import PeerPort
    from eelgrassmount.shared_node_state import SharedNodeState
    from eelgrassmount.timers import TimerService

    Counter = Callable[[str], None]

# parts of the key window; each is far below it, so that clocks need not agree
STALL_FRACTION = 0.25
LONE_FRACTION = 0.5
ROSTER_AGE_S = 0.2
BACKLOG_S = 2.0


@define
class KeySettings:
    """Bounds and times of the key service.

    ``window_s`` is how long an outcome is kept for repeats, ``settle_s`` how
    long the members must have stayed the same before slots are moved,
    ``rewrite_s`` how old a view's record may grow on the log.
    """

    window_s: float = 600.0
    table_size: int = 100_000
    table_bytes: int = 64 * 1024 * 1024
    settle_s: float = 3.0
    rewrite_s: float = 300.0
    mark_timeout_s: float = 0.5
    change_wait_s: float = 5.0


@define
class Core:
    """State and ports of the key service, shared by its parts."""

    shared_state: SharedNodeState
    timers: TimerService
    peers: PeerPort
    log: LogService
    run: Runner
    rng: random.Random
    settings: KeySettings
    count: Counter
    me: NodeId = field(init=False)
    budget: Budget = field(init=False)
    holders: list[SlotHolder] = field(init=False)
    tasks: TaskGroup | None = None
    leaving: bool = False
    exchange_due: anyio.Event = field(factory=anyio.Event)
    marks: int = 0
    seen_s: float = field(init=False)
    stalled_s: float = math.inf
    woke_s: float = -math.inf
    lone_s: float = -math.inf
    _live: frozenset[NodeId] = frozenset()
    _roster: Roster | None = None
    _roster_s: float = -math.inf
    _basis: list[object] = field(factory=list)
    _live_since_s: float = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Set up empty slots."""
        settings = self.settings
        self.me = identify_node(self.shared_state.identity)
        self.budget = Budget(settings.table_size, settings.table_bytes)
        self.holders = [
            SlotHolder(View(slot), Ledger(KeyTable(self.budget)))
            for slot in range(SLOT_COUNT)
        ]
        self.seen_s = self.timers.read()
        self._live_since_s = self.seen_s

    def read_roster(self) -> Roster:
        """Return the failure domain's nodes as they were thought of just now."""
        now_s = self.timers.read()
        roster = self._roster
        fresh = now_s - self._roster_s < ROSTER_AGE_S
        if roster is None or not fresh or (self.leaving and self.me in roster.fit):
            self._roster = self._build_roster(now_s)
            self._roster_s = now_s
        return self._roster

    def _build_roster(self, now_s: float) -> Roster:
        members = self.shared_state.members.members.values()
        # comparing is far cheaper than building, and mostly nothing has changed
        basis = [
            self.leaving,
            *((m.identity, m.state, m.server_state) for m in members),
        ]
        if self._roster is not None and basis == self._basis:
            return self._settle(self._roster, now_s)
        self._basis = basis
        roster = build_roster(self.me, members, self.leaving)
        live = roster.known - roster.gone
        if live != self._live:
            self._live = live
            self._live_since_s = now_s
        return self._settle(roster, now_s)

    def _settle(self, roster: Roster, now_s: float) -> Roster:
        if roster.settled or now_s - self._live_since_s < self.settings.settle_s:
            return roster
        return evolve(roster, settled=True)

    def adopt(self, views: Iterable[View]) -> None:
        """Go over to all views that are later than the present ones."""
        now_s = self.timers.read()
        for view in views:
            holder = self.holders[view.slot]
            if adopt_view(holder, view, self.me, now_s, self.settings.window_s):
                self.count("view-adopted")
                self.exchange_due.set()

    def add_fact(self, holder: SlotHolder, fact: Entry) -> None:
        """Note how a call ended, for the other holder of its slot."""
        holder.facts.append(fact)
        self.exchange_due.set()

    def number_mark(self) -> int:
        """Return a number that no other mark of this incarnation has."""
        self.marks += 1
        return self.marks

    def is_stalled(self) -> bool:
        """Tell whether this process stood still and has not looked round since.

        A node that was frozen for long may have been given up for lost together
        with its partner, so it must hear of the present views before it acts.
        """
        now_s = self.timers.read()
        if now_s - self.seen_s > self.settings.window_s * STALL_FRACTION:
            self.stalled_s = now_s
            self.woke_s = now_s
            self.count("stalled")
        self.seen_s = now_s
        return self.stalled_s < math.inf

    def may_be_backlog(self) -> bool:
        """Tell whether a request that arrives now may be older than a window.

        What was sent to a frozen process waits in its sockets and is read when
        it wakes, when the key's earlier run may have been forgotten.
        """
        self.is_stalled()
        return self.timers.read() - self.woke_s < BACKLOG_S

    def confirm_views(self, asked_s: float) -> None:
        """Note that the views are those of ``asked_s`` or later."""
        if not self.is_stalled() or asked_s >= self.stalled_s:
            self.stalled_s = math.inf

    def may_run_alone(self) -> bool:
        """Tell whether a primary without a backup may still run keys.

        Nobody acknowledges its marks, so it must have read the end of the log
        not long ago: a successor waits one whole window after its record.
        """
        age_s = self.timers.read() - self.lone_s
        return age_s < self.settings.window_s * LONE_FRACTION
