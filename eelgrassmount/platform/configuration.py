"""The platform's configuration document, read into the product's routes."""

from __future__ import annotations

import json
from typing import Any

from eelgrassmount.errors import PlatformDocumentError
from eelgrassmount.http1.server import ServerLimits
from eelgrassmount.relay.routes import (
    Route,
    RouteTable,
    Service,
    Target,
)

IDEMPOTENT = "idempotent"
DEFAULT_TIMEOUT_MS = 5000
DEFAULT_OBJECTIVE_MS = 1000
DEFAULT_ATTEMPTS = 1
DEFAULT_PRIORITY = 0


def read_version(text: Any) -> int:
    """Return a version such as ``r12`` as its number.

    Raises `PlatformDocumentError` for anything else.
    """
    if isinstance(text, str) and text.startswith("r") and text[1:].isdigit():
        return int(text[1:])
    raise PlatformDocumentError("version", f"{text!r} is not a version such as r12")


def read_configuration(document: bytes) -> RouteTable:
    """Return the routes of a configuration document.

    Raises `PlatformDocumentError`, which names the part that can't be read.
    """
    try:
        content = json.loads(document)
        return RouteTable.build(
            read_version(content["version"]),
            [
                _read_route(listener["host"], rule)
                for listener in content["listeners"]
                for rule in listener["routeRules"]
            ],
            [_read_service(cluster) for cluster in content["clusters"]],
            _read_limits(content.get("limits") or {}),
        )
    except (ValueError, TypeError, AttributeError, KeyError) as error:
        raise PlatformDocumentError("configuration", repr(error)) from error


def _read_route(host: str, rule: dict[str, Any]) -> Route:
    action = rule["action"]
    split = action.get("trafficSplit")
    if split:
        targets = tuple(
            Target(part["service"], float(part["weight"])) for part in split
        )
    else:
        targets = (Target(action["service"], 1.0),)
    return Route(
        # the rule's own name may change from one version to the next
        name=f"{host.lower()}{rule['match']['pathPrefix']}",
        host=host.lower(),
        prefix=rule["match"]["pathPrefix"],
        idempotent=rule["kind"] == IDEMPOTENT,
        targets=targets,
        timeout_s=float(action.get("timeoutMs") or DEFAULT_TIMEOUT_MS) / 1000,
        objective_s=float(rule.get("targetLatencyMs") or DEFAULT_OBJECTIVE_MS) / 1000,
        max_attempts=max(1, int(action.get("maxAttempts") or DEFAULT_ATTEMPTS)),
        priority=int(rule.get("priority") or DEFAULT_PRIORITY),
    )


def _read_service(cluster: dict[str, Any]) -> Service:
    return Service(
        cluster["name"],
        cluster.get("healthPath") or "/health",
        int(cluster.get("maxConnections") or 0),
    )


def _read_limits(limits: dict[str, Any]) -> ServerLimits:
    usual = ServerLimits()
    return ServerLimits(
        int(limits.get("maxHeaderBytes") or usual.max_header_bytes),
        int(limits.get("maxBodyBytes") or usual.max_body_bytes),
        float(limits.get("headerTimeoutMs") or usual.header_limit_s * 1000) / 1000,
        float(limits.get("idleTimeoutMs") or usual.idle_limit_s * 1000) / 1000,
    )
