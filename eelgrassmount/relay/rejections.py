"""Rejected shares of services, as their dispatchers measure and report them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field, frozen
from loguru import logger

from eelgrassmount.gen import ttypes
from eelgrassmount.policy.completion import (
    OfferedClass,
    compute_begin_fractions,
    compute_rejected_share,
)
from eelgrassmount.policy.retries import (
    compute_planned_allowance,
    count_budget_requests,
)
from eelgrassmount.relay.budget import BucketCounter
from eelgrassmount.relay.members import MAX_REPORT_AGE_S

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from eelgrassmount.policy.shedding import RequestClass
    from eelgrassmount.relay.budget import RetryBudget
    from eelgrassmount.relay.members import Member
    from eelgrassmount.relay.shared_state import SharedState

# Answers of this long are counted.
MEASURED_S = 1.0
BUCKETS = 10
# Smaller shares count as none.
MIN_REJECTED_SHARE = 0.02
# A service counts as rejecting calls from this share on, until it falls below the one
# above.
BEGIN_REJECTED_SHARE = 0.1
PPM = 1_000_000


@frozen
class Rejections:
    """Calls that a server rejects, with the requests that limit its retries.

    ``requests`` is the number of requests in each part of the last two windows of the
    retry budget, the latest first.
    """

    share: float
    requests: tuple[int, ...]


def write_rejections(found: Rejections | None) -> ttypes.ServerRejections | None:
    """Return the wire form of rejections."""
    if found is None:
        return None
    return ttypes.ServerRejections(round(found.share * PPM), list(found.requests))


def read_rejections(struct: ttypes.ServerRejections | None) -> Rejections | None:
    """Return the rejections in a report of another node."""
    if struct is None:
        return None
    return Rejections(struct.rejected_ppm / PPM, tuple(struct.requests))


def _make_counter() -> BucketCounter:
    return BucketCounter(MEASURED_S / BUCKETS, BUCKETS)


@define(eq=False)
class RejectionMeter:
    """Measures the share of recent calls that the local server has rejected."""

    clock: Callable[[], float]
    _answers: BucketCounter = field(factory=_make_counter)
    _rejections: BucketCounter = field(factory=_make_counter)

    def record(self, rejected: bool) -> None:
        """Record an answer of the server."""
        now_s = self.clock()
        self._answers.add(now_s)
        if rejected:
            self._rejections.add(now_s)

    def compute_share(self) -> float:
        """Return the rejected share of recent calls, 0 if hardly any were rejected."""
        now_s = self.clock()
        share = compute_rejected_share(
            self._rejections.count(now_s, 0, BUCKETS),
            self._answers.count(now_s, 0, BUCKETS),
        )
        return share if share >= MIN_REJECTED_SHARE else 0.0


@define(eq=False)
class ServiceRejections:
    """Which services reject calls, and which requests to begin meanwhile.

    ``shares`` has the rejected share of each service that rejects calls, and
    ``begin_fractions`` the classes of which only a part is begun. Both are empty unless
    the configuration turns on planned retries.
    """

    state: SharedState
    meter: RejectionMeter
    budget: RetryBudget
    shares: dict[str, float] = field(factory=dict)
    begin_fractions: dict[RequestClass, float] = field(factory=dict)

    def is_enabled(self) -> bool:
        """Return whether the configuration turns on planned retries."""
        return self.state.table.features.plans_retries

    def record_answer(self, rejected: bool) -> None:
        """Record an answer of the local server."""
        if self.is_enabled():
            self.meter.record(rejected)

    def measure_local(self) -> Rejections | None:
        """Return the rejections of the local server, ``None`` without any."""
        share = self.meter.compute_share() if self.is_enabled() else 0.0
        if not share:
            return None
        requests = self.budget.list_request_parts(self.state.server.service)
        return Rejections(share, tuple(requests))

    def find_begin_fraction(self, request_class: RequestClass) -> float:
        """Return the fraction of the requests of a class to begin."""
        return self.begin_fractions.get(request_class, 1.0)

    def find_other_requests(self, service: str) -> list[tuple[int, ...]] | None:
        """Return the requests of the other dispatchers of a service.

        ``None`` unless all of them have reported recently that they reject calls.
        """
        state = self.state
        members = state.members.list_service(service)
        others = [member for member in members if member.name != state.name]
        found = self._list_recent(others)
        complete = len(found) == len(others) and None not in found
        return [one.requests for one in found] if complete else None

    def update(self) -> None:
        """Update the shares and the fractions to begin from recent reports."""
        self.begin_fractions = {}
        services = self.state.members.by_service if self.is_enabled() else {}
        for service in {*services, *self.shares}:
            members = services.get(service, {})
            found = self._list_recent(members.values())
            self._update_share(service, found)
            if service in self.shares:
                self._limit_begun(service, found)

    def _list_recent(self, members: Collection[Member]) -> list[Rejections | None]:
        """Return the recently reported rejections of servers that accept calls."""
        oldest_s = self.state.clock() - MAX_REPORT_AGE_S
        return [
            one.load.rejections
            for one in members
            if one.load.reported_s > oldest_s and one.load.accepting
        ]

    def _update_share(self, service: str, found: list[Rejections | None]) -> None:
        total = sum(one.share for one in found if one is not None)
        share = total / len(found) if found else 0.0
        known = service in self.shares
        if share >= (MIN_REJECTED_SHARE if known else BEGIN_REJECTED_SHARE):
            self.shares[service] = share
        else:
            self.shares.pop(service, None)
        if known != (service in self.shares):
            logger.info(
                "service accepts all calls" if known else "service rejects calls",
                service=service,
                share=round(share, 2),
                servers=len(found),
            )

    def _limit_begun(self, service: str, found: list[Rejections | None]) -> None:
        offered = self._list_offered(service)
        retries_per_s = self._count_retries_per_s(found)
        fractions = compute_begin_fractions(
            offered, self.shares[service], retries_per_s
        )
        for request_class, fraction in fractions.items():
            known = self.find_begin_fraction(request_class)
            if fraction < known:
                self.begin_fractions[request_class] = fraction

    def _list_offered(self, service: str) -> list[OfferedClass]:
        """Return the offered requests that make calls to a service."""
        state = self.state
        offered = []
        for request_class, rate in state.cluster_counts.offered.items():
            route = state.table.routes.get(request_class.route_name)
            if route is None or state.graph.is_called_by_servers(route.name):
                continue
            calls = state.graph.count_calls_by_service(route, state.table)
            if calls.get(service):
                offered.append(
                    OfferedClass(request_class, rate, calls[service], route.idempotent)
                )
        return offered

    def _count_retries_per_s(self, found: list[Rejections | None]) -> float:
        """Return the retries per second that the dispatchers of a service may send.

        Dispatchers that reject nothing don't report their requests, and count as the
        others.
        """
        known = [one.requests for one in found if one is not None]
        total = [sum(counts) for counts in zip(*known, strict=True)]
        requests = count_budget_requests(total, []) * len(found) / len(known)
        budget = self.budget
        allowed = compute_planned_allowance(requests, budget.ratio, budget.slack, 1)
        return allowed.total / budget.window_s
