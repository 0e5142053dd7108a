"""What the parts of the key service share."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import anyio
from attrs import define, evolve, field

from eelgrassmount.keys.placement import SLOT_COUNT, NodeId, identify_node
from eelgrassmount.keys.planning import Roster, build_roster
from eelgrassmount.keys.slot_state import KeyStore, SlotState, adopt_view
from eelgrassmount.keys.table import Budget, Entry, KeyTable
from eelgrassmount.keys.views import View

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable

    from anyio.abc import TaskGroup

    from eelgrassmount.blackboard import Blackboard
    from eelgrassmount.keys.port import Runner
    from eelgrassmount.log_port import LogPort
    from eelgrassmount.peer.port import PeerPort
    from eelgrassmount.timers import TimerService

    Counter = Callable[[str], None]

# parts of the key window; each is far below it, so that clocks need not agree
STALL_WINDOW_SHARE = 0.25
MAX_UNBACKED_WINDOW_SHARE = 0.5
MAX_ROSTER_AGE_S = 0.2
BACKLOG_DURATION_S = 2.0


@define
class KeySettings:
    """Bounds and times of the key service.

    ``window_s`` is how long an outcome is kept for repeats, ``stable_s`` how
    long the members must have stayed the same before slots are moved,
    ``rewrite_s`` how old a view's record may grow on the log.
    """

    window_s: float = 600.0
    table_size: int = 100_000
    table_bytes: int = 64 * 1024 * 1024
    stable_s: float = 3.0
    rewrite_s: float = 300.0
    mark_timeout_s: float = 0.5
    change_wait_s: float = 5.0


@define
class Core:
    """State and ports of the key service, shared by its parts."""

    board: Blackboard
    timers: TimerService
    peers: PeerPort
    log: LogPort
    run: Runner
    rng: random.Random
    settings: KeySettings
    count: Counter
    node_id: NodeId = field(init=False)
    budget: Budget = field(init=False)
    slot_states: list[SlotState] = field(init=False)
    tasks: TaskGroup | None = None
    leaving: bool = False
    exchange_due: anyio.Event = field(factory=anyio.Event)
    last_mark_number: int = 0
    last_check_s: float = field(init=False)
    stalled_since_s: float = math.inf
    resumed_s: float = -math.inf
    log_confirmed_s: float = -math.inf
    _live: frozenset[NodeId] = frozenset()
    _roster: Roster | None = None
    _roster_s: float = -math.inf
    _roster_inputs: list[object] = field(factory=list)
    _live_changed_s: float = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Set up empty slots."""
        settings = self.settings
        self.node_id = identify_node(self.board.identity)
        self.budget = Budget(settings.table_size, settings.table_bytes)
        self.slot_states = [
            SlotState(View(slot), KeyStore(KeyTable(self.budget)))
            for slot in range(SLOT_COUNT)
        ]
        self.last_check_s = self.timers.read()
        self._live_changed_s = self.last_check_s

    def read_roster(self) -> Roster:
        """Return the failure domain's nodes as they were thought of just now."""
        now_s = self.timers.read()
        roster = self._roster
        fresh = now_s - self._roster_s < MAX_ROSTER_AGE_S
        if (
            roster is None
            or not fresh
            or (self.leaving and self.node_id in roster.eligible)
        ):
            self._roster = self._build_roster(now_s)
            self._roster_s = now_s
        return self._roster

    def _build_roster(self, now_s: float) -> Roster:
        members = self.board.members.members.values()
        # comparing is far cheaper than building, and mostly nothing has changed
        inputs = [
            self.leaving,
            *((m.identity, m.state, m.server_state) for m in members),
        ]
        if self._roster is not None and inputs == self._roster_inputs:
            return self._mark_stable(self._roster, now_s)
        self._roster_inputs = inputs
        roster = build_roster(self.node_id, members, self.leaving)
        live = roster.known - roster.gone
        if live != self._live:
            self._live = live
            self._live_changed_s = now_s
        return self._mark_stable(roster, now_s)

    def _mark_stable(self, roster: Roster, now_s: float) -> Roster:
        if roster.stable or now_s - self._live_changed_s < self.settings.stable_s:
            return roster
        return evolve(roster, stable=True)

    def adopt(self, views: Iterable[View]) -> None:
        """Go over to all views that are later than the present ones."""
        now_s = self.timers.read()
        for view in views:
            slot_state = self.slot_states[view.slot]
            if adopt_view(
                slot_state, view, self.node_id, now_s, self.settings.window_s
            ):
                self.count("view-adopted")
                self.exchange_due.set()

    def queue_result(self, slot_state: SlotState, result: Entry) -> None:
        """Note how a call ended, for the other holder of its slot."""
        slot_state.results.append(result)
        self.exchange_due.set()

    def allocate_mark_number(self) -> int:
        """Return a number that no other mark of this incarnation has."""
        self.last_mark_number += 1
        return self.last_mark_number

    def is_stalled(self) -> bool:
        """Tell whether this process stood still and has not looked round since.

        A node that was frozen for long may have been given up for lost together
        with its partner, so it must hear of the present views before it acts.
        """
        now_s = self.timers.read()
        if now_s - self.last_check_s > self.settings.window_s * STALL_WINDOW_SHARE:
            self.stalled_since_s = now_s
            self.resumed_s = now_s
            self.count("stalled")
        self.last_check_s = now_s
        return self.stalled_since_s < math.inf

    def may_be_backlogged(self) -> bool:
        """Tell whether a request that arrives now may be older than a window.

        What was sent to a frozen process waits in its sockets and is read when
        it wakes, when the key's earlier run may have been forgotten.
        """
        self.is_stalled()
        return self.timers.read() - self.resumed_s < BACKLOG_DURATION_S

    def confirm_views(self, requested_s: float) -> None:
        """Note that the views are those of ``requested_s`` or later."""
        if not self.is_stalled() or requested_s >= self.stalled_since_s:
            self.stalled_since_s = math.inf

    def may_run_without_backup(self) -> bool:
        """Tell whether a primary without a backup may still run keys.

        Nobody acknowledges its marks, so it must have read the end of the log
        not long ago: a successor waits one whole window after its record.
        """
        age_s = self.timers.read() - self.log_confirmed_s
        return age_s < self.settings.window_s * MAX_UNBACKED_WINDOW_SHARE
