"""What backend servers announce to the node on their VM."""

from __future__ import annotations

import json
from typing import Any

from eelgrassmount.errors import PlatformDocumentError
from eelgrassmount.relay.heartbeats import (
    UNKNOWN_START,
    Heartbeat,
    ServerIncarnation,
)

_PREFIX = "/instances/"
_HEARTBEAT = "/heartbeat"
_LEAVE = "/leave"
_START = "born"
_DRAINING = "draining"
# the end of the last year that a calendar tells
MAX_START_MS = 253_402_300_799_999
# characters of a wrong value that an error shows
MAX_SHOWN = 80


def read_announcement(method: str, target: str, body: bytes) -> Heartbeat | None:
    """Return a heartbeat or a leave, ``None`` for any other call.

    The path names the identity of a server and the body when it was started, which
    makes one incarnation. Raises `PlatformDocumentError` when the body can't be read.
    """
    if method != "POST" or not target.startswith(_PREFIX):
        return None
    if target.endswith(_LEAVE):
        identity = target[len(_PREFIX) : -len(_LEAVE)]
        return Heartbeat(_read_leaving(identity, body), leaving=True)
    if not target.endswith(_HEARTBEAT):
        return None
    identity = target[len(_PREFIX) : -len(_HEARTBEAT)]
    try:
        return _read_heartbeat(identity, body)
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        raise PlatformDocumentError("heartbeat", repr(error)) from error


def _read_leaving(identity: str, body: bytes) -> ServerIncarnation:
    """Return who leaves; a leave may come without a body."""
    if not body:
        return ServerIncarnation(identity)
    try:
        return ServerIncarnation(identity, _read_start(json.loads(body)))
    except (ValueError, RecursionError) as error:
        raise PlatformDocumentError("leave", repr(error)) from error


def _read_start(content: dict[str, Any]) -> int:
    """Return when a server was started; the pages' examples leave it out."""
    if not isinstance(content, dict):
        raise PlatformDocumentError("announcement", repr(content)[:MAX_SHOWN])
    if _START not in content:
        return UNKNOWN_START
    started_ms = content[_START]
    if type(started_ms) is not int or not 0 < started_ms <= MAX_START_MS:
        raise PlatformDocumentError(_START, repr(started_ms)[:MAX_SHOWN])
    return started_ms


def _read_heartbeat(identity: str, body: bytes) -> Heartbeat:
    content = json.loads(body)
    info = content["info"]
    status = content["status"]
    return Heartbeat(
        ServerIncarnation(identity, _read_start(content)),
        service=info["service"],
        address=content["address"],
        slots=int(info["slots"]),
        draining=status["state"] == _DRAINING,
        sequence=int(status["sequence"]),
        # how much longer the server stays slow after its start
        cold_s=float(status.get("coldRemainingMs") or 0) / 1000,
    )
