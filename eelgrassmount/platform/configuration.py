"""Reader of the platform's configuration document."""

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

# kinds of requests that may run more than once
IDEMPOTENT_KINDS = frozenset(("idempotent", "download"))
BULK_KIND = "download"
DEFAULT_TIMEOUT_MS = 5000
DEFAULT_OBJECTIVE_MS = 1000
DEFAULT_ATTEMPTS = 1
DEFAULT_PRIORITY = 0
DEFAULT_HEALTH_PATH = "/health"
_DOCUMENT = "configuration"
# nodes exchange versions as signed 64-bit integers
MAX_VERSION = 2**62
MAX_VERSION_DIGITS = 19
MAX_PATH_LENGTH = 16384
MAX_HOST_LENGTH = 253
DURATION_RANGE_MS = (0, 86_400_000)
COUNT_RANGE = (0, 2**31 - 1)
WEIGHT_RANGE = (0.0, 1e9)
# requests per second, or the size of a burst
RATE_RANGE = (0.0, 1e9)


def read_version(text: Any) -> int:
    """Return the number of a version such as ``r12``.

    Raises `PlatformDocumentError` if the text is not a version.
    """
    digits = text[1:] if isinstance(text, str) and text.startswith("r") else ""
    is_number = (
        digits.isascii() and digits.isdigit() and len(digits) <= MAX_VERSION_DIGITS
    )
    if not is_number or int(digits) > MAX_VERSION:
        refuse_field(
            _DOCUMENT, "version", f"a version such as r12, up to r{MAX_VERSION}"
        )
    return int(digits)


def read_configuration(document: bytes) -> RouteTable:
    """Return the routes of a configuration document.

    Raises `PlatformDocumentError`, which names the invalid field.
    """
    content = read_object(document, _DOCUMENT)
    return RouteTable.build(
        read_version(content.get("version")),
        [
            _read_route(
                read_text(listener, "host", MAX_HOST_LENGTH, _DOCUMENT).lower(), rule
            )
            for listener in read_list(content, "listeners", _DOCUMENT)
            for rule in read_list(listener, "routeRules", _DOCUMENT)
        ],
        [
            _read_service(cluster)
            for cluster in read_list(content, "clusters", _DOCUMENT)
        ],
        _read_limits(content.get("limits")),
        _read_teams(content),
    )


def _read_route(host: str, rule: dict[str, Any]) -> Route:
    prefix = read_text(rule, "match.pathPrefix", MAX_PATH_LENGTH, _DOCUMENT)
    timeout_ms = _read_duration_ms(rule, "action.timeoutMs") or DEFAULT_TIMEOUT_MS
    objective_ms = _read_duration_ms(rule, "targetLatencyMs") or DEFAULT_OBJECTIVE_MS
    attempts = _read_count(rule, "action.maxAttempts") or DEFAULT_ATTEMPTS
    kind = read_name(rule, "kind", _DOCUMENT)
    return Route(
        # not the name of the rule, which may change with the configuration version
        name=f"{host}{prefix}",
        host=host,
        prefix=prefix,
        # requests of an unknown kind must not run twice
        idempotent=kind in IDEMPOTENT_KINDS,
        targets=_read_targets(rule),
        timeout_s=timeout_ms / 1000,
        objective_s=objective_ms / 1000,
        max_attempts=attempts,
        priority=_read_count(rule, "priority") or DEFAULT_PRIORITY,
        needs_key=not ("anonymous" in rule and read_flag(rule, "anonymous", _DOCUMENT)),
        is_bulk=kind == BULK_KIND,
    )


def _read_targets(rule: dict[str, Any]) -> tuple[Target, ...]:
    if not find_field(rule, "action.trafficSplit"):
        return (Target(read_name(rule, "action.service", _DOCUMENT), 1.0),)
    targets = tuple(
        Target(
            read_name(part, "service", _DOCUMENT),
            float(read_number(part, "weight", WEIGHT_RANGE, _DOCUMENT)),
        )
        for part in read_list(rule, "action.trafficSplit", _DOCUMENT)
    )
    if not any(target.weight for target in targets):
        refuse_field(_DOCUMENT, "action.trafficSplit", "a weight above 0")
    return targets


def _read_service(cluster: dict[str, Any]) -> Service:
    path = DEFAULT_HEALTH_PATH
    if cluster.get("healthPath"):
        path = read_text(cluster, "healthPath", MAX_PATH_LENGTH, _DOCUMENT)
    if not path.isascii():
        refuse_field(_DOCUMENT, "healthPath", "a path of ASCII characters")
    connections = _read_count(cluster, "maxConnections")
    return Service(read_name(cluster, "name", _DOCUMENT), path, connections)


def _read_teams(content: dict[str, Any]) -> TeamDirectory:
    """Return the teams; without a list of teams, no API key is required."""
    if content.get("tenants") is None:
        return TeamDirectory()
    entries = [
        _read_team(tenant) for tenant in read_list(content, "tenants", _DOCUMENT)
    ]
    names = [entry.team.name for entry in entries]
    if len(set(names)) < len(names):
        refuse_field(_DOCUMENT, "tenants.name", "each name once")
    keys = [key for entry in entries for key in entry.keys]
    # a key that two teams share would let one team use the quota of the other
    if len(set(keys)) < len(keys):
        refuse_field(_DOCUMENT, "tenants.apiKeys", "each key once")
    return TeamDirectory.build(entries)


def _read_team(tenant: dict[str, Any]) -> TeamKeys:
    name = read_name(tenant, "name", _DOCUMENT)
    # the name is sent in a header
    if not name.isascii():
        refuse_field(_DOCUMENT, "tenants.name", "a text of ASCII characters")
    team = Team(
        name,
        priority=_read_count(tenant, "priority"),
        rate=float(read_number(tenant, "ratePerS", RATE_RANGE, _DOCUMENT, missing=0)),
        burst=float(read_number(tenant, "burst", RATE_RANGE, _DOCUMENT, missing=0)),
    )
    return TeamKeys(team, _read_keys(tenant))


def _read_keys(tenant: dict[str, Any]) -> tuple[str, ...]:
    """Return the API keys of a team; a team may have none."""
    keys = tenant.get("apiKeys")
    if keys is None:
        return ()
    if not isinstance(keys, list) or not all(map(_is_key, keys)):
        allowed = f"a list of texts of 1 to {MAX_NAME_LENGTH} visible characters"
        refuse_field(_DOCUMENT, "tenants.apiKeys", allowed)
    return tuple(keys)


def _is_key(value: Any) -> bool:
    """Return whether a value is a text that can be sent in a header."""
    is_printable_ascii = (
        isinstance(value, str) and value.isascii() and is_printable(value)
    )
    return is_printable_ascii and " " not in value


def _read_limits(limits: Any) -> ServerLimits:
    defaults = ServerLimits()
    if limits is None:
        return defaults
    if not isinstance(limits, dict):
        raise PlatformDocumentError(_DOCUMENT, "give a JSON object", "limits")
    header_ms = (
        _read_duration_ms(limits, "headerTimeoutMs") or defaults.header_timeout_s * 1000
    )
    idle_ms = (
        _read_duration_ms(limits, "idleTimeoutMs") or defaults.idle_timeout_s * 1000
    )
    return ServerLimits(
        _read_count(limits, "maxHeaderBytes") or defaults.max_header_bytes,
        _read_count(limits, "maxBodyBytes") or defaults.max_body_bytes,
        header_ms / 1000,
        idle_ms / 1000,
    )


def _read_duration_ms(content: dict[str, Any], path: str) -> float:
    """Return milliseconds, 0 if the field is missing."""
    return read_number(content, path, DURATION_RANGE_MS, _DOCUMENT, missing=0)


def _read_count(content: dict[str, Any], path: str) -> int:
    """Return a whole number, 0 if the field is missing."""
    return read_whole(content, path, COUNT_RANGE, _DOCUMENT, missing=0)
