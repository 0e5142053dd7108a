"""What backend servers announce to the node on their VM."""

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

_PREFIX = "/instances/"
_START = "born"
_READY = "ready"
_DRAINING = "draining"

# a heartbeat has about 200 bytes
MAX_BODY_BYTES = 16384
# servers have some hundred slots; a VM has some thousand descriptors
SLOTS = (1, 100_000)
# whole numbers that every reader of JSON keeps exactly
SEQUENCES = (0, 2**53 - 1)
# a server is cold for some seconds
COLD_MS = (0, 3_600_000)
# from the first millisecond of Unix time to the end of the year 2099: a start far
# ahead would make every later one look earlier
STARTS_MS = (1, 4_102_444_799_999)


def read_announcement(method: str, target: str, body: bytes) -> Heartbeat | None:
    """Return a heartbeat or a leave, ``None`` for any other call.

    The path names the identity of a server and the body when it was started, which
    makes one incarnation. Raises `PlatformDocumentError`, which names the field that
    is missing or wrong.
    """
    if method != "POST" or not target.startswith(_PREFIX):
        return None
    identity, _, kind = target[len(_PREFIX) :].rpartition("/")
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
    # not used here, but a heartbeat without them is not one of the platform's
    for path in ("info.version", "info.zone"):
        read_name(content, path, kind)
    state = read_choice(content, "status.state", (_READY, _DRAINING), kind)
    return Heartbeat(
        ServerIncarnation(identity, _read_start(content, kind)),
        service=read_name(content, "info.service", kind),
        address=str(read_address(content, "address", kind)),
        slots=read_whole(content, "info.slots", SLOTS, kind),
        draining=state == _DRAINING,
        sequence=read_whole(content, "status.sequence", SEQUENCES, kind),
        warm_up_s=read_number(content, "status.coldRemainingMs", COLD_MS, kind) / 1000,
    )


def _read_leave(identity: str, body: bytes) -> Heartbeat:
    """Return a leave, whose body may be empty."""
    kind = "leave"
    content = read_object(body, kind) if body else {}
    incarnation = ServerIncarnation(identity, _read_start(content, kind))
    return Heartbeat(incarnation, leaving=True)


def _read_start(content: dict[str, Any], kind: str) -> int:
    """Return when the server was started, which older servers do not say."""
    if _START not in content:
        return UNKNOWN_START
    return read_whole(content, _START, STARTS_MS, kind)


_READERS: dict[str, Callable[[str, bytes], Heartbeat]] = {
    "heartbeat": _read_heartbeat,
    "leave": _read_leave,
}
