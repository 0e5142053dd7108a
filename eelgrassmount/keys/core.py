"""State and ports that the parts of the key service share."""

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

    from eelgrassmount.keys.port import Runner
    from eelgrassmount.log_service import LogService
    from eelgrassmount.peer.port import PeerPort
    from eelgrassmount.shared_node_state import SharedNodeState
    from eelgrassmount.timers import TimerService

    Counter = Callable[[str], None]

# shares of the key window, small enough to tolerate clock differences between nodes
STALL_WINDOW_SHARE = 0.25
MAX_UNBACKED_WINDOW_SHARE = 0.5
MAX_ROSTER_AGE_S = 0.2
BACKLOG_DURATION_S = 2.0


@define
class KeySettings:
    """Bounds and times of the key service.

    ``window_s``: how long an outcome is stored for retries. ``stable_s``: how long
    membership must be unchanged before slots move. ``rewrite_s``: maximum age of a
    view's record on the log before it is written again.
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

    shared_state: SharedNodeState
    timers: TimerService
    peers: PeerPort
    log: LogService
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
    stall_detected_s: float = math.inf
    resumed_s: float = -math.inf
    log_confirmed_s: float = -math.inf
    _live: frozenset[NodeId] = frozenset()
    _roster: Roster | None = None
    _roster_s: float = -math.inf
    _roster_inputs: list[object] = field(factory=list)
    _live_changed_s: float = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the empty state of each slot."""
        settings = self.settings
        self.node_id = identify_node(self.shared_state.identity)
        self.budget = Budget(settings.table_size, settings.table_bytes)
        self.slot_states = [
            SlotState(View(slot), KeyStore(KeyTable(self.budget)))
            for slot in range(SLOT_COUNT)
        ]
        self.last_check_s = self.timers.read()
        self._live_changed_s = self.last_check_s

    def read_roster(self) -> Roster:
        """Return the nodes of the failure domain, at most `MAX_ROSTER_AGE_S` old."""
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
        members = self.shared_state.members.members.values()
        # rebuild the roster only after a change: building costs more than comparing
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
        """Replace views by later versions."""
        now_s = self.timers.read()
        for view in views:
            slot_state = self.slot_states[view.slot]
            if adopt_view(
                slot_state, view, self.node_id, now_s, self.settings.window_s
            ):
                self.count("view-adopted")
                self.exchange_due.set()

    def queue_result(self, slot_state: SlotState, result: Entry) -> None:
        """Queue the result of a call for the other node that holds its slot."""
        slot_state.results.append(result)
        self.exchange_due.set()

    def allocate_mark_number(self) -> int:
        """Return a mark number that is unique within this incarnation."""
        self.last_mark_number += 1
        return self.last_mark_number

    def is_stalled(self) -> bool:
        """Return whether this process was suspended and has not read the views since.

        While a node is suspended, other nodes may replace it and its partner. It must
        read the current views before it acts.
        """
        now_s = self.timers.read()
        if now_s - self.last_check_s > self.settings.window_s * STALL_WINDOW_SHARE:
            self.stall_detected_s = now_s
            self.resumed_s = now_s
            self.count("stalled")
        self.last_check_s = now_s
        return self.stall_detected_s < math.inf

    def may_be_backlogged(self) -> bool:
        """Return whether a request read now may be older than a key window.

        Requests to a suspended process wait in its sockets. When the process reads
        them, the outcome of an earlier run of the key may have expired.
        """
        self.is_stalled()
        return self.timers.read() - self.resumed_s < BACKLOG_DURATION_S

    def confirm_views(self, requested_s: float) -> None:
        """Record that the views are at least as recent as ``requested_s``."""
        if not self.is_stalled() or requested_s >= self.stall_detected_s:
            self.stall_detected_s = math.inf

    def may_run_without_backup(self) -> bool:
        """Return whether a primary without a backup may run keys.

        No backup acknowledges its marks, so it must have read the end of the log
        recently. A successor waits one key window after its record.
        """
        age_s = self.timers.read() - self.log_confirmed_s
        return age_s < self.settings.window_s * MAX_UNBACKED_WINDOW_SHARE
