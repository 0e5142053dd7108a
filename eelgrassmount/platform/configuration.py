"""The platform's configuration document, read into the product's routes."""

from __future__ import annotations

from typing import Any

from eelgrassmount.errors import PlatformDocumentError
from eelgrassmount.http1.server import ServerLimits
from eelgrassmount.relay.routes import Route, RouteTable, Service, Target
from eelgrassmount.teams.directory import Team, TeamDirectory, TeamKeys
from eelgrassmount.util.fields import (
    MAX_NAME_LENGTH,
    find_field,
    is_printable,
    read_flag,
    read_list,
    read_name,
    read_number,
    read_object,
    read_text,
    read_whole,
    refuse_field,
)

IDEMPOTENT = "idempotent"
DEFAULT_TIMEOUT_MS = 5000
DEFAULT_OBJECTIVE_MS = 1000
DEFAULT_ATTEMPTS = 1
DEFAULT_PRIORITY = 0
DEFAULT_HEALTH_PATH = "/health"
_KIND = "configuration"
# versions travel between nodes as whole numbers of 64 bits
MAX_VERSION = 2**62
MAX_VERSION_DIGITS = 19
MAX_PATH_LENGTH = 16384
MAX_HOST_LENGTH = 253
TIMES_MS = (0, 86_400_000)
COUNTS = (0, 2**31 - 1)
WEIGHTS = (0.0, 1e9)
# requests a second, or at once
RATES = (0.0, 1e9)


def read_version(text: Any) -> int:
    """Return a version such as ``r12`` as its number.

    Raises `PlatformDocumentError` for anything else.
    """
    digits = text[1:] if isinstance(text, str) and text.startswith("r") else ""
    plain = digits.isascii() and digits.isdigit() and len(digits) <= MAX_VERSION_DIGITS
    if not plain or int(digits) > MAX_VERSION:
        refuse_field(_KIND, "version", f"one such as r12, up to r{MAX_VERSION}")
    return int(digits)


def read_configuration(document: bytes) -> RouteTable:
    """Return the routes of a configuration document.

    Raises `PlatformDocumentError`, which names the part that can't be read.
    """
    content = read_object(document, _KIND)
    return RouteTable.build(
        read_version(content.get("version")),
        [
            _read_route(
                read_text(listener, "host", MAX_HOST_LENGTH, _KIND).lower(), rule
            )
            for listener in read_list(content, "listeners", _KIND)
            for rule in read_list(listener, "routeRules", _KIND)
        ],
        [_read_service(one) for one in read_list(content, "clusters", _KIND)],
        _read_limits(content.get("limits")),
        _read_teams(content),
    )


def _read_route(host: str, rule: dict[str, Any]) -> Route:
    prefix = read_text(rule, "match.pathPrefix", MAX_PATH_LENGTH, _KIND)
    timeout_ms = _read_time(rule, "action.timeoutMs") or DEFAULT_TIMEOUT_MS
    objective_ms = _read_time(rule, "targetLatencyMs") or DEFAULT_OBJECTIVE_MS
    attempts = _read_count(rule, "action.maxAttempts") or DEFAULT_ATTEMPTS
    return Route(
        # the rule's own name may change from one version to the next
        name=f"{host}{prefix}",
        host=host,
        prefix=prefix,
        # a kind of a later release is taken for one that may run only once
        idempotent=read_name(rule, "kind", _KIND) == IDEMPOTENT,
        targets=_read_targets(rule),
        timeout_s=timeout_ms / 1000,
        objective_s=objective_ms / 1000,
        max_attempts=attempts,
        priority=_read_count(rule, "priority") or DEFAULT_PRIORITY,
        needs_key=not ("anonymous" in rule and read_flag(rule, "anonymous", _KIND)),
    )


def _read_targets(rule: dict[str, Any]) -> tuple[Target, ...]:
    if not find_field(rule, "action.trafficSplit"):
        return (Target(read_name(rule, "action.service", _KIND), 1.0),)
    targets = tuple(
        Target(
            read_name(part, "service", _KIND),
            float(read_number(part, "weight", WEIGHTS, _KIND)),
        )
        for part in read_list(rule, "action.trafficSplit", _KIND)
    )
    if not any(target.weight for target in targets):
        refuse_field(_KIND, "action.trafficSplit", "a weight above 0")
    return targets


def _read_service(cluster: dict[str, Any]) -> Service:
    path = DEFAULT_HEALTH_PATH
    if cluster.get("healthPath"):
        path = read_text(cluster, "healthPath", MAX_PATH_LENGTH, _KIND)
    if not path.isascii():
        refuse_field(_KIND, "healthPath", "a path of plain ASCII characters")
    connections = _read_count(cluster, "maxConnections")
    return Service(read_name(cluster, "name", _KIND), path, connections)


def _read_teams(content: dict[str, Any]) -> TeamDirectory:
    """Return the teams, if the configuration is on teams at all."""
    if content.get("tenants") is None:
        return TeamDirectory()
    found = [_read_team(one) for one in read_list(content, "tenants", _KIND)]
    names = [one.team.name for one in found]
    if len(set(names)) < len(names):
        refuse_field(_KIND, "tenants.name", "each name once")
    keys = [key for one in found for key in one.keys]
    # a key of two teams would let one of them use the quota of the other
    if len(set(keys)) < len(keys):
        refuse_field(_KIND, "tenants.apiKeys", "each key once")
    return TeamDirectory.build(found)


def _read_team(tenant: dict[str, Any]) -> TeamKeys:
    name = read_name(tenant, "name", _KIND)
    # it stands in a header
    if not name.isascii():
        refuse_field(_KIND, "tenants.name", "a text of plain ASCII characters")
    team = Team(
        name,
        priority=_read_count(tenant, "priority"),
        rate=float(read_number(tenant, "ratePerS", RATES, _KIND, missing=0)),
        burst=float(read_number(tenant, "burst", RATES, _KIND, missing=0)),
    )
    return TeamKeys(team, _read_keys(tenant))


def _read_keys(tenant: dict[str, Any]) -> tuple[str, ...]:
    """Return the keys of a team, which may have lost all of them."""
    keys = tenant.get("apiKeys")
    if keys is None:
        return ()
    if not isinstance(keys, list) or not all(map(_is_key, keys)):
        allowed = f"a list of texts of 1 to {MAX_NAME_LENGTH} visible characters"
        refuse_field(_KIND, "tenants.apiKeys", allowed)
    return tuple(keys)


def _is_key(value: Any) -> bool:
    """Tell whether a value can stand in a header and be told from none."""
    plain = isinstance(value, str) and value.isascii() and is_printable(value)
    return plain and " " not in value


def _read_limits(limits: Any) -> ServerLimits:
    usual = ServerLimits()
    if limits is None:
        return usual
    if not isinstance(limits, dict):
        raise PlatformDocumentError(_KIND, "give a JSON object", "limits")
    header_ms = _read_time(limits, "headerTimeoutMs") or usual.header_timeout_s * 1000
    idle_ms = _read_time(limits, "idleTimeoutMs") or usual.idle_timeout_s * 1000
    return ServerLimits(
        _read_count(limits, "maxHeaderBytes") or usual.max_header_bytes,
        _read_count(limits, "maxBodyBytes") or usual.max_body_bytes,
        header_ms / 1000,
        idle_ms / 1000,
    )


def _read_time(content: dict[str, Any], path: str) -> float:
    """Return milliseconds; 0 where the operator leaves them to the node."""
    return read_number(content, path, TIMES_MS, _KIND, missing=0)


def _read_count(content: dict[str, Any], path: str) -> int:
    """Return a whole number; 0 where the operator leaves it to the node."""
    return read_whole(content, path, COUNTS, _KIND, missing=0)
