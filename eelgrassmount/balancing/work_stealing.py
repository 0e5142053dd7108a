"""Moves queued calls to servers of the same service that have free slots."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import define

from eelgrassmount.gen import ttypes
from eelgrassmount.policy.work_stealing import (
    QueueState,
    choose_longest_queue,
    count_offered_slots,
    estimate_wait_s,
)
from eelgrassmount.relay.frames import FrameKind

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from eelgrassmount.relay.dispatcher import Dispatcher
    from eelgrassmount.relay.members import Member, MemberLoad
    from eelgrassmount.relay.shared_state import SharedState

# Shortest interval between two offers of a node.
OFFER_INTERVAL_S = 0.02


@define(eq=False)
class WorkStealing:
    """Offers free slots of the local server, and gives up calls to other servers.

    The node with free slots asks the node with the longest queue. That node takes calls
    out of its queue and tells their senders that they have not run and where a slot is
    free. ``count_moved`` is called with the number of calls that were given up.
    """

    state: SharedState
    dispatcher: Dispatcher
    count_moved: Callable[[int], None] = lambda calls: None
    offers: int = 0
    moved: int = 0
    _last_offer_s: float = -math.inf

    def offer_slots(self) -> None:
        """Offer free slots to the node of the service with the longest queue."""
        state = self.state
        now_s = state.clock()
        too_soon = now_s - self._last_offer_s < OFFER_INTERVAL_S
        if too_soon or not state.table.features.moves_calls:
            return
        slots = self._count_slots(now_s)
        if not slots:
            return
        self._last_offer_s = now_s
        name = choose_longest_queue(self._list_queues())
        if name is None:
            return
        self.offers += 1
        offer = ttypes.RelaySlotOffer(state.name, state.server.service, slots)
        state.members.by_name[name].link.send(FrameKind.SLOT_OFFER, offer)

    def handle_offer(self, offer: ttypes.RelaySlotOffer) -> None:
        """Give up queued calls for which another node offers free slots."""
        state = self.state
        member = state.members.by_name.get(offer.node_name)
        is_known = member is not None and member.service == state.server.service
        if not is_known or offer.service_name != state.server.service:
            return
        if offer.node_name == state.name or not state.table.features.moves_calls:
            return
        moved = self.dispatcher.move_queued(offer.slots, offer.node_name)
        self.moved += moved
        self.count_moved(moved)

    def _count_slots(self, now_s: float) -> int:
        server = self.state.server
        limited = server.rate_limit.per_s is not None
        if limited or self.state.closing or server.find_refusal_reason(now_s):
            return 0
        dispatcher = self.dispatcher
        limit = server.compute_concurrency_limit()
        return count_offered_slots(dispatcher.in_flight, dispatcher.queued, limit)

    def _list_queues(self) -> Iterator[QueueState]:
        state = self.state
        for member in state.members.list_service(state.server.service):
            if member.name != state.name and self._has_queue(member):
                load = member.load
                wait_s = estimate_wait_s(load.queued, load.limit, _compute_run_s(load))
                is_local = member.failure_domain == state.failure_domain
                yield QueueState(member.name, wait_s, is_local)

    def _has_queue(self, member: Member) -> bool:
        return member.load.queued > 0 and member.is_connected()


def _compute_run_s(load: MemberLoad) -> float:
    """Return the mean duration of the runs of a server's routes."""
    return sum(load.run_s.values()) / len(load.run_s) if load.run_s else 0.0
