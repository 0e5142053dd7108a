"""Reader of heartbeats and leaves that backend servers send to their node."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from eelgrassmount.errors import PlatformDocumentError
from eelgrassmount.relay.heartbeats import (
    UNKNOWN_START,
    Heartbeat,
    ServerIncarnation,
)
from eelgrassmount.util.fields import (
    MAX_NAME_LENGTH,
    is_identity,
    read_address,
    read_choice,
    read_name,
    read_number,
    read_object,
    read_whole,
    refuse_field,
)

if TYPE_CHECKING:
    from collections.abc import Callable

_PATH_PREFIX = "/instances/"
_START_FIELD = "born"
_READY = "ready"
_DRAINING = "draining"

MAX_BODY_BYTES = 16384
SLOTS_RANGE = (1, 100_000)
# integers that all JSON parsers read exactly
SEQUENCE_RANGE = (0, 2**53 - 1)
# remaining warm-up time of a server
COLD_RANGE_MS = (0, 3_600_000)
# Unix time up to the end of 2099: after a start in the far future, the node would
# take all later incarnations for older ones
START_RANGE_MS = (1, 4_102_444_799_999)


def read_announcement(method: str, target: str, body: bytes) -> Heartbeat | None:
    """Return a heartbeat or a leave, ``None`` for any other request.

    The identity of the server in the path and its start time in the body identify an
    incarnation. Raises `PlatformDocumentError`, which names the missing or invalid
    field.
    """
    if method != "POST" or not target.startswith(_PATH_PREFIX):
        return None
    identity, _, kind = target[len(_PATH_PREFIX) :].rpartition("/")
    read = _READERS.get(kind)
    if read is None:
        return None
    if not is_identity(identity):
        allowed = f"1 to {MAX_NAME_LENGTH} letters, digits or any of . _ : ~ -"
        refuse_field(kind, "id", allowed)
    if len(body) > MAX_BODY_BYTES:
        cause = f"longer than {MAX_BODY_BYTES} bytes"
        raise PlatformDocumentError(kind, cause, "body")
    return read(identity, body)


def _read_heartbeat(identity: str, body: bytes) -> Heartbeat:
    kind = "heartbeat"
    content = read_object(body, kind)
    # unused, but the platform requires them in each heartbeat
    for path in ("info.version", "info.zone"):
        read_name(content, path, kind)
    state = read_choice(content, "status.state", (_READY, _DRAINING), kind)
    return Heartbeat(
        ServerIncarnation(identity, _read_start_ms(content, kind)),
        service=read_name(content, "info.service", kind),
        address=str(read_address(content, "address", kind)),
        slots=read_whole(content, "info.slots", SLOTS_RANGE, kind),
        draining=state == _DRAINING,
        sequence=read_whole(content, "status.sequence", SEQUENCE_RANGE, kind),
        warm_up_s=read_number(content, "status.coldRemainingMs", COLD_RANGE_MS, kind)
        / 1000,
    )


def _read_leave(identity: str, body: bytes) -> Heartbeat:
    """Return a leave, whose body may be empty."""
    kind = "leave"
    content = read_object(body, kind) if body else {}
    incarnation = ServerIncarnation(identity, _read_start_ms(content, kind))
    return Heartbeat(incarnation, leaving=True)


def _read_start_ms(content: dict[str, Any], kind: str) -> int:
    """Return the start time of the server, which older servers do not report."""
    if _START_FIELD not in content:
        return UNKNOWN_START
    return read_whole(content, _START_FIELD, START_RANGE_MS, kind)


_READERS: dict[str, Callable[[str, bytes], Heartbeat]] = {
    "heartbeat": _read_heartbeat,
    "leave": _read_leave,
}
