"""What backend servers announce to the node on their VM."""

from __future__ import annotations

import json

from eelgrassmount.errors import PlatformDocumentError
from eelgrassmount.relay.heartbeats import Heartbeat

_PREFIX = "/instances/"
_HEARTBEAT = "/heartbeat"
_LEAVE = "/leave"
_DRAINING = "draining"


def read_announcement(method: str, target: str, body: bytes) -> Heartbeat | None:
    """Return a heartbeat or a leave, ``None`` for any other call.

    The instance that the path names is one incarnation of a server. Raises
    `PlatformDocumentError` when the body can't be read.
    """
    if method != "POST" or not target.startswith(_PREFIX):
        return None
    if target.endswith(_LEAVE):
        return Heartbeat(target[len(_PREFIX) : -len(_LEAVE)], leaving=True)
    if not target.endswith(_HEARTBEAT):
        return None
    incarnation = target[len(_PREFIX) : -len(_HEARTBEAT)]
    try:
        return _read_heartbeat(incarnation, body)
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        raise PlatformDocumentError("heartbeat", repr(error)) from error


def _read_heartbeat(incarnation: str, body: bytes) -> Heartbeat:
    content = json.loads(body)
    info = content["info"]
    status = content["status"]
    return Heartbeat(
        incarnation,
        service=info["service"],
        address=content["address"],
        slots=int(info["slots"]),
        draining=status["state"] == _DRAINING,
        sequence=int(status["sequence"]),
        # how much longer the server stays slow after its start
        cold_s=float(status.get("coldRemainingMs") or 0) / 1000,
    )
