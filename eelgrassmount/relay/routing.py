"""Selection of the node that a call is sent to."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import define, field

from eelgrassmount.policy.placement import (
    SIZE_SMOOTHING,
    TYPICAL_CALL_BYTES,
    compute_cost,
    compute_cross_domain_share,
    estimate_completion_s,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Collection, Container, Iterable

    from eelgrassmount.relay.members import Member, MemberTable
    from eelgrassmount.relay.routes import Route

# Relative noise on costs, so that nodes with equal information choose differently.
COST_NOISE_SHARE = 0.05
# Number of choices of which one goes to the least recently used node, to refresh its
# load.
EXPLORATION_INTERVAL = 100
# Nodes compared per choice.
MAX_CANDIDATES = 12


@define(eq=False, repr=False)
class Router:
    """Selects nodes by the expected duration of a call."""

    members: MemberTable
    failure_domain: str
    clock: Callable[[], float]
    rng: random.Random
    find_time_allowance: Callable[[Route], float] = lambda route: route.objective_s
    _choice_count: int = 0
    _mean_sizes: dict[str, float] = field(factory=dict)
    _divided_at: int = -1
    _divided: dict[str, tuple[list[Member], list[Member]]] = field(factory=dict)

    def record_size(self, route_name: str, size_bytes: int) -> None:
        """Update a route's mean size of request and response bodies."""
        known = self._mean_sizes.get(route_name, float(size_bytes))
        self._mean_sizes[route_name] = known + SIZE_SMOOTHING * (size_bytes - known)

    def keep_routes(self, knows_route: Callable[[str], bool]) -> None:
        """Remove the mean sizes of all other routes."""
        self._mean_sizes = {
            name: size for name, size in self._mean_sizes.items() if knows_route(name)
        }

    def choose(
        self, service: str, route: Route, excluded: Container[str]
    ) -> Member | None:
        """Return the best node for a call, ``None`` if there is none."""
        candidates = self._list_candidates(service, excluded)
        if not candidates:
            return None
        connected = [
            one for one in candidates if one.link is not None and one.link.is_up()
        ]
        candidates = connected or candidates
        self._choice_count += 1
        if self._choice_count % EXPLORATION_INTERVAL == 0:
            return min(candidates, key=lambda member: member.last_used_s)
        return self._find_lowest_cost(candidates, route)

    def _find_lowest_cost(self, candidates: list[Member], route: Route) -> Member:
        # This is the hot path of a node: a single loop without calls per candidate that
        # can be avoided.
        name = route.name
        local_domain = self.failure_domain
        allowance_s = self.find_time_allowance(route)
        objective_s = route.objective_s
        cross_domain_s = (
            compute_cross_domain_share(self._mean_sizes.get(name, TYPICAL_CALL_BYTES))
            * allowance_s
        )
        mean_run_s = -1.0
        draw = self.rng.random
        best = candidates[0]
        lowest = math.inf
        for member in candidates:
            load = member.load
            run_s = load.run_s.get(name)
            if run_s is None:
                if mean_run_s < 0.0:
                    mean_run_s = self._compute_mean_run_s(candidates, route)
                run_s = mean_run_s
            ahead = load.in_flight + load.queued + member.sent_since_report
            expected_s = run_s
            if ahead + 1 > load.limit:
                expected_s = estimate_completion_s(run_s, ahead, load.limit)
            cost = compute_cost(
                expected_s, allowance_s, load.failure_share, objective_s
            )
            if member.failure_domain != local_domain:
                cost += cross_domain_s
            cost *= 1.0 - COST_NOISE_SHARE + 2.0 * COST_NOISE_SHARE * draw()
            if cost < lowest:
                lowest = cost
                best = member
        return best

    def _list_candidates(self, service: str, excluded: Container[str]) -> list[Member]:
        """Return the nodes of a service that may get a call.

        Of a large service, only a random sample is considered unless none of it is
        eligible.
        """
        now_s = self.clock()
        known = self.members.list_service(service)
        considered = known
        if len(known) > MAX_CANDIDATES:
            considered = self._sample(service)
        for members in (considered, known):
            found = [
                member
                for member in members
                if member.name not in excluded and member.can_receive_calls(now_s)
            ]
            if found:
                return found
        return []

    def find_usable(
        self, service: str, name: str, excluded: Container[str]
    ) -> Member | None:
        """Return a node of a service by name, ``None`` if it may not get a call."""
        member = self.members.by_name.get(name)
        if member is None or member.service != service or name in excluded:
            return None
        return member if member.can_receive_calls(self.clock()) else None

    def list_other_nodes(self, service: str, names: Collection[str]) -> set[str]:
        """Return the names of the nodes of a service, except for ``names``."""
        known = self.members.list_service(service)
        return {member.name for member in known if member.name not in names}

    def list_failure_shares(self, service: str) -> list[float]:
        """Return the share of failed and lost runs of each server of a service."""
        return [
            one.load.failure_share + one.load.lost_share
            for one in self.members.list_service(service)
        ]

    def find_mean_run_s(self, service: str, route: Route) -> float:
        """Return the mean duration in seconds of a route's runs, 0 if unknown."""
        return self._compute_mean_run_s(self.members.list_service(service), route)

    def has_candidate(self, service: str, excluded: Container[str]) -> bool:
        """Return whether any node not in ``excluded`` may get a call."""
        return bool(self._list_candidates(service, excluded))

    def _sample(self, service: str) -> list[Member]:
        local, remote = self._divide(service)
        half = MAX_CANDIDATES // 2
        return [
            *self._draw(local, MAX_CANDIDATES - half),
            *self._draw(remote, half),
        ]

    def _draw(self, members: list[Member], count: int) -> list[Member]:
        """Return ``count`` of the members at random, or all if there are no more.

        This takes a fraction of the time of `random.Random.sample`.
        """
        size = len(members)
        if size <= count:
            return members
        draw = self.rng.random
        drawn: set[int] = set()
        while len(drawn) < count:
            drawn.add(int(draw() * size))
        return [members[index] for index in drawn]

    def _divide(self, service: str) -> tuple[list[Member], list[Member]]:
        """Return the nodes of a service in the local failure domain, and the others."""
        if self._divided_at != self.members.changes:
            self._divided_at = self.members.changes
            self._divided = {}
        found = self._divided.get(service)
        if found is None:
            local: list[Member] = []
            remote: list[Member] = []
            for member in self.members.list_service(service):
                is_local = member.failure_domain == self.failure_domain
                (local if is_local else remote).append(member)
            found = self._divided[service] = (local, remote)
        return found

    def _compute_mean_run_s(self, candidates: Iterable[Member], route: Route) -> float:
        known = [
            member.load.run_s[route.name]
            for member in candidates
            if route.name in member.load.run_s
        ]
        return sum(known) / len(known) if known else 0.0
