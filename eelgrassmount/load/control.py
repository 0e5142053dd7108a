"""Facade of admission, routing and load exchange for the call path."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

from eelgrassmount.context import compute_priority
from eelgrassmount.load.admission import EntryMeters, admit_at_entry
from eelgrassmount.load.exchange import LoadExchange
from eelgrassmount.load.routing import choose_server, has_open_server
from eelgrassmount.load.servers import RoutingState
from eelgrassmount.load.shares import (
    SHARE_INTERVAL_S,
    ShareTable,
    adjust_shares,
    scale_priority,
)
from eelgrassmount.load.state import rank_call

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from eelgrassmount.config.classes import WorkClass
    from eelgrassmount.context import Context
    from eelgrassmount.load.state import ServiceLoad
    from eelgrassmount.shared_node_state import SharedNodeState
    from eelgrassmount.timers import TimerService
    from eelgrassmount.verdict import NotRun, Verdict

_REFRESH_INTERVAL_S = 0.5
_EXPIRY_INTERVAL_S = 5.0


@define
class LoadControl:
    """Admission, routing and the exchange of load reports on one node.

    The entry calls ``prioritize`` and ``admit``; each attempt at a call uses
    ``choose`` and ``record_end``; ``record_request`` follows each client request.
    """

    shared_state: SharedNodeState
    timers: TimerService
    exchange: LoadExchange = field(init=False)
    routing: RoutingState = field(init=False)
    entry_meters: EntryMeters = field(factory=EntryMeters)
    shares: ShareTable = field(factory=ShareTable)

    def __attrs_post_init__(self) -> None:
        """Subscribe to the timer service."""
        self.exchange = LoadExchange(self.shared_state.loads)
        self.routing = RoutingState(self.timers.read())
        self.timers.subscribe(SHARE_INTERVAL_S, self._adjust_shares)
        self.timers.subscribe(_REFRESH_INTERVAL_S, self._refresh_routing)
        self.timers.subscribe(_EXPIRY_INTERVAL_S, self._drop_expired_loads)

    def _adjust_shares(self) -> None:
        document = self.shared_state.configuration.document
        adjust_shares(self.shares, document, self.timers.read())

    def _refresh_routing(self) -> None:
        self.routing.refresh(self.shared_state, self.timers.read())

    def _drop_expired_loads(self) -> None:
        self.exchange.drop_expired(self.timers.read())

    def prioritize(self, work_class: WorkClass, root_id: str) -> int:
        """Return the admission priority of a new root request."""
        share = self.shares.find_share(work_class.name)
        return scale_priority(compute_priority(root_id), share)

    def admit(
        self, work_class: WorkClass, service: str, priority: int
    ) -> NotRun | None:
        """Decide on a request at its entry node; ``None`` means admitted."""
        return admit_at_entry(
            self.shared_state,
            self.entry_meters,
            work_class,
            service,
            priority,
            self.timers.rng,
            self.timers.read(),
        )

    def choose(
        self, context: Context, service: str, excluded: Collection[str]
    ) -> str | None:
        """Choose the node to send a call to, and count the call as outstanding.

        The caller must call `record_end` with the same address.
        """
        now_s = self.timers.read()
        rank = rank_call(context.tier, context.priority)
        address = choose_server(
            self.shared_state,
            self.routing,
            service,
            excluded,
            rank,
            self.timers.rng,
            now_s,
        )
        if address is not None:
            self.routing.record_start(address, now_s)
        return address

    def has_room(
        self, context: Context, service: str, excluded: Collection[str]
    ) -> bool:
        """Return whether a node that is not excluded would admit a call at once."""
        rank = rank_call(context.tier, context.priority)
        return has_open_server(
            self.shared_state, self.routing, service, excluded, rank, self.timers.read()
        )

    def record_end(
        self,
        address: str,
        service: str,
        verdict: Verdict,
        loads: Iterable[ServiceLoad],
        latency_s: float,
    ) -> None:
        """Record the end of an attempt and the loads that its answer carried."""
        now_s = self.timers.read()
        self.routing.record_end(address, verdict, latency_s, now_s)
        self.exchange.merge(address, service, loads, now_s)

    def record_request(
        self, class_name: str, complete: bool, used_services: Collection[str]
    ) -> None:
        """Record a client request that entered at this node, also if it was refused.

        ``complete`` means that it was answered within the target of its class.
        ``used_services`` names the services whose loads its answer carried.
        """
        self.shares.record_request(class_name, complete, self.timers.read())
        if used_services:
            self.exchange.learn(class_name, used_services)
