"""Routes, services and limits of the active configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field, frozen

from eelgrassmount.http1.server import ServerLimits
from eelgrassmount.policy.features import Features, choose_features
from eelgrassmount.teams.directory import TeamDirectory

if TYPE_CHECKING:
    from collections.abc import Iterable

    from eelgrassmount.teams.directory import Team

# Rank of the least urgent requests.
MAX_RANK = 1_000_000


@frozen
class Target:
    """A service that a route leads to, with its weight."""

    service: str
    weight: float


@frozen
class Route:
    """How requests of one host and path prefix are handled.

    ``name`` is the same in all versions for a host and prefix. ``objective_s`` is the
    latency objective, ``timeout_s`` the longest time that a request may take. Routes of
    ``priority`` 0 are refused last. ``max_attempts`` limits the backend servers that
    may get one request. If teams are configured, ``needs_key`` is set if requests
    need an API key of a team. ``is_bulk`` is set for routes with large responses.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    targets: tuple[Target, ...]
    timeout_s: float
    objective_s: float
    max_attempts: int
    priority: int
    needs_key: bool = False
    is_bulk: bool = False

    def compute_shares(self) -> dict[str, float]:
        """Return the share of the requests that goes to each service."""
        total = sum(target.weight for target in self.targets)
        shares: dict[str, float] = {}
        for target in self.targets:
            share = target.weight / total if total else 0.0
            shares[target.service] = shares.get(target.service, 0.0) + share
        return shares


@frozen
class Service:
    """A service of the configuration."""

    name: str
    health_path: str
    max_connections: int


@define(eq=False, repr=False)
class RouteTable:
    """A complete configuration; version 0 means none.

    The route with the longest matching path prefix of a host applies::

        table = RouteTable.build(7, routes, services, ServerLimits())
        route = table.find("shop.example", "/orders/17")
    """

    version: int = 0
    routes: dict[str, Route] = field(factory=dict)
    services: dict[str, Service] = field(factory=dict)
    limits: ServerLimits = field(factory=ServerLimits)
    teams: TeamDirectory = field(factory=TeamDirectory)
    features: Features = field(factory=Features)
    _max_priority: int = 0
    _by_host: dict[str, dict[str, Route]] = field(factory=dict)
    _lengths: dict[str, list[int]] = field(factory=dict)

    @classmethod
    def build(
        cls,
        version: int,
        routes: Iterable[Route],
        services: Iterable[Service],
        limits: ServerLimits,
        teams: TeamDirectory | None = None,
    ) -> RouteTable:
        """Return a table with indexes for look-ups."""
        table = cls(version, limits=limits, teams=teams or TeamDirectory())
        for route in routes:
            table.routes[route.name] = route
            table._max_priority = max(table._max_priority, route.priority)
            table._by_host.setdefault(route.host, {}).setdefault(route.prefix, route)
        for service in services:
            table.services[service.name] = service
        for host, found in table._by_host.items():
            table._lengths[host] = sorted({len(prefix) for prefix in found})[::-1]
        table.features = choose_features(table.routes.values())
        return table

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a request, ``None`` if there is none."""
        found = self._by_host.get(host)
        if found is None:
            return None
        # A host has few distinct prefix lengths.
        for length in self._lengths[host]:
            route = found.get(path[:length])
            if route is not None:
                return route
        return None

    def find_rank(self, route: Route, team: Team | None) -> int:
        """Return the rank of a request; requests of rank 0 are refused last.

        Requests are ordered by the priority of the team, then by that of the route::

            # routes of the priorities 0 to 2
            table.find_rank(booking, Team("press", priority=1))  # 3
        """
        if team is None:
            return route.priority
        ranks = self._max_priority + 1
        return min(MAX_RANK, team.priority * ranks + route.priority)

    def count_routes(self) -> int:
        """Return the number of routes."""
        return len(self.routes)


@define
class TargetChooser:
    """Divides the requests of routes among their targets by weight.

    Each choice goes to the target that is furthest below its share, so that the shares
    also hold over a few requests.
    """

    _credits: dict[str, list[float]] = field(factory=dict)

    def choose(self, route: Route, start: float = 0.0) -> str:
        """Return the service for the next request of a route.

        ``start``, from 0 to 1, offsets the first choice so that not all nodes begin
        with the same target.
        """
        targets = route.targets
        if len(targets) == 1:
            return targets[0].service
        total = sum(target.weight for target in targets)
        credits = self._credits.get(route.name)
        if credits is None or len(credits) != len(targets):
            credits = [start * target.weight / total for target in targets]
            self._credits[route.name] = credits
        for index, target in enumerate(targets):
            credits[index] += target.weight / total
        best = max(range(len(targets)), key=credits.__getitem__)
        credits[best] -= 1.0
        return targets[best].service
