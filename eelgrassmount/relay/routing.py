"""Choosing the node that a call goes to."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import define, field

from eelgrassmount.policy.placement import (
    SIZE_WEIGHT,
    USUAL_BYTES,
    expect_time,
    measure_cost,
    measure_far,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Collection, Container, Iterable

    from eelgrassmount.relay.members import Member, MemberTable
    from eelgrassmount.relay.routes import Route

# noise on the scores, so that nodes that know the same don't all choose the same
NOISE = 0.05
# every so many choices go to the node that has been unused for longest, so that
# what is believed of it is found out to be still true
EXPLORE_PERIOD = 100
# of a larger service, so many nodes are looked at for one choice
MAX_CANDIDATES = 12


@define(eq=False)
class Router:
    """Chooses by the time that a call is expected to take at each node."""

    members: MemberTable
    failure_domain: str
    clock: Callable[[], float]
    rng: random.Random
    find_allowance: Callable[[Route], float] = lambda route: route.objective_s
    _choices: int = 0
    _sizes: dict[str, float] = field(factory=dict)

    def note_size(self, route_name: str, size_bytes: int) -> None:
        """Take up the size of a call's body with that of its answer."""
        known = self._sizes.get(route_name, float(size_bytes))
        self._sizes[route_name] = known + SIZE_WEIGHT * (size_bytes - known)

    def keep_routes(self, knows_route: Callable[[str], bool]) -> None:
        """Forget the sizes of all other routes."""
        self._sizes = {
            name: size for name, size in self._sizes.items() if knows_route(name)
        }

    def choose(
        self, service: str, route: Route, excluded: Container[str]
    ) -> Member | None:
        """Return the best node for a call, ``None`` when there is none."""
        candidates = self._list_candidates(service, excluded)
        if not candidates:
            return None
        connected = [one for one in candidates if one.is_connected()]
        candidates = connected or candidates
        self._choices += 1
        if self._choices % EXPLORE_PERIOD == 0:
            return min(candidates, key=lambda member: member.last_used_s)
        return self._find_cheapest(candidates, route)

    def _find_cheapest(self, candidates: list[Member], route: Route) -> Member:
        # it is the most frequent work of a node: one pass, without calls that each
        # candidate would need anew
        name = route.name
        own_domain = self.failure_domain
        allowed_s = self.find_allowance(route)
        far_s = measure_far(self._sizes.get(name, USUAL_BYTES)) * allowed_s
        typical_s = -1.0
        draw = self.rng.random
        best = candidates[0]
        least = math.inf
        for member in candidates:
            load = member.load
            run_s = load.run_s.get(name)
            if run_s is None:
                if typical_s < 0.0:
                    typical_s = self._find_typical(candidates, route)
                run_s = typical_s
            expected_s = expect_time(
                run_s,
                load.in_flight + load.queued + member.sent_since_report,
                load.limit,
            )
            score = measure_cost(
                expected_s, allowed_s, load.failure_share, route.objective_s
            )
            if member.failure_domain != own_domain:
                score += far_s
            score *= 1.0 - NOISE + 2.0 * NOISE * draw()
            if score < least:
                least = score
                best = member
        return best

    def _list_candidates(self, service: str, excluded: Container[str]) -> list[Member]:
        """Return the nodes of a service that may be sent a call, or a sample.

        Of a large service only a sample is looked at, unless none of it can be sent
        a call.
        """
        now_s = self.clock()
        known = self.members.list_service(service)
        looked_at = known
        if len(known) > MAX_CANDIDATES:
            looked_at = self._sample(known)
        for members in (looked_at, known):
            found = [
                member
                for member in members
                if member.name not in excluded and member.can_receive_calls(now_s)
            ]
            if found:
                return found
        return []

    def list_others(self, service: str, names: Collection[str]) -> set[str]:
        """Return the names of a service's nodes but for those given."""
        known = self.members.list_service(service)
        return {member.name for member in known if member.name not in names}

    def list_failures(self, service: str) -> list[float]:
        """Return the share of runs of each server of a service that ended badly."""
        return [
            one.load.failure_share + one.load.lost_share
            for one in self.members.list_service(service)
        ]

    def find_usual(self, service: str, route: Route) -> float:
        """Return the mean duration in seconds of a route's runs, 0 if none is known."""
        return self._find_typical(self.members.list_service(service), route)

    def has_choice(self, service: str, excluded: Container[str]) -> bool:
        """Tell whether a node outside of those excluded may be sent a call."""
        return bool(self._list_candidates(service, excluded))

    def _sample(self, candidates: Collection[Member]) -> list[Member]:
        near = [one for one in candidates if self._is_near(one)]
        far = [one for one in candidates if not self._is_near(one)]
        half = MAX_CANDIDATES // 2
        chosen = self.rng.sample(near, min(len(near), MAX_CANDIDATES - half))
        return chosen + self.rng.sample(far, min(len(far), half))

    def _is_near(self, member: Member) -> bool:
        return member.failure_domain == self.failure_domain

    def _find_typical(self, candidates: Iterable[Member], route: Route) -> float:
        known = [
            member.load.run_s[route.name]
            for member in candidates
            if route.name in member.load.run_s
        ]
        return sum(known) / len(known) if known else 0.0
