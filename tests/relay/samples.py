"""Sample routes, calls and route tables for tests of the relay."""

from __future__ import annotations

from eelgrassmount.http1.server import ServerLimits
from eelgrassmount.relay.messages import Call, Origin
from eelgrassmount.relay.routes import (
    Route,
    RouteTable,
    Service,
    Target,
)


def make_route(
    name: str = "shop/list/",
    services: tuple[str, ...] = ("list",),
    idempotent: bool = True,
    **changes,
) -> Route:
    host, _, prefix = name.partition("/")
    values = {
        "name": name,
        "host": host,
        "prefix": "/" + prefix,
        "idempotent": idempotent,
        "targets": tuple(Target(service, 1.0) for service in services),
        "timeout_s": 2.0,
        "objective_s": 0.4,
        "max_attempts": 2,
        "priority": 1,
    }
    return Route(**{**values, **changes})


def make_table(*routes: Route, version: int = 1) -> RouteTable:
    services = {target.service for route in routes for target in route.targets}
    return RouteTable.build(
        version,
        routes,
        [Service(name, "/health", 100) for name in services],
        ServerLimits(),
    )


def make_call(route: Route | None = None, now_s: float = 100.0, **changes) -> Call:
    route = route or make_route()
    values = {
        "request_id": "r1",
        "route": route,
        "service": route.targets[0].service,
        "caller_service": "front",
        "method": "GET",
        "target": "/list/1",
        "head": b"host: shop\r\n",
        "body": b"",
        "arrived_s": now_s,
        "deadline_s": now_s + route.timeout_s,
        "origin": Origin(route.priority),
    }
    return Call(**{**values, **changes})
