"""The platform's headers, read and written once at the edges of a node."""

from __future__ import annotations

from eelgrassmount.relay.header_codec import AnswerHead, HeaderCodec, RequestHead
from eelgrassmount.util.fields import is_identity

REQUEST_ID = b"eelgrassmount-attempt-id"
REMAINING_MS = b"eelgrassmount-deadline-ms"
EXPECTED_INSTANCE = b"eelgrassmount-expect-instance"
CALLER_SERVICE = b"eelgrassmount-caller-service"
API_KEY = b"x-api-key"
TEAM = b"eelgrassmount-tenant"
SIGNATURE = b"eelgrassmount-response-signature"
NOT_RUN = b"eelgrassmount-not-executed"
INSTANCE = b"eelgrassmount-instance-id"

# headers that concern one connection only, or that a node sets itself
_OF_ONE_CONNECTION = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)
_SET_BY_NODE = frozenset((REMAINING_MS, EXPECTED_INSTANCE, CALLER_SERVICE, TEAM))
# a key is for the nodes alone
_DROPPED_FROM_REQUEST = _OF_ONE_CONNECTION | _SET_BY_NODE | {API_KEY}

# stands for keys that contradict each other, and belongs to no team
NO_KEY = b""
MAX_REMAINING_MS = 3_600_000
# digits of a number that is looked at
MAX_DIGITS = 9


def read_request(headers: list[tuple[bytes, bytes]]) -> RequestHead:
    """Read the headers of a request; names are in lower case."""
    head = RequestHead()
    lines = []
    named: set[bytes] = set()
    for name, value in headers:
        if name == REQUEST_ID:
            head.request_id = value.decode("latin-1")
        elif name == b"host":
            head.host = value.decode("latin-1").partition(":")[0].lower()
        elif name == REMAINING_MS:
            head.remaining_ms = _read_remaining(value)
        elif name == API_KEY:
            # of two keys, none can be gone by
            head.api_key = value.strip() if head.api_key is None else NO_KEY
        elif name == b"connection" and value.lower() not in (b"close", b"keep-alive"):
            named |= {one.strip() for one in value.lower().split(b",")}
        if name not in _DROPPED_FROM_REQUEST:
            lines.append(b"%s: %s\r\n" % (name, value))
    if named:
        lines = _list_lines(headers, _DROPPED_FROM_REQUEST | named)
    head.forwarded_headers = b"".join(lines)
    return head


def _list_lines(
    headers: list[tuple[bytes, bytes]], dropped: frozenset[bytes]
) -> list[bytes]:
    return [
        b"%s: %s\r\n" % (name, value) for name, value in headers if name not in dropped
    ]


def _read_remaining(value: bytes) -> int | None:
    digits = value.strip()
    if not digits.isdigit():
        return None
    if len(digits) > MAX_DIGITS:
        return MAX_REMAINING_MS
    return min(int(digits), MAX_REMAINING_MS)


def write_team(name: str) -> bytes:
    """Return the header line that names a request's team to the server."""
    return b"%s: %s\r\n" % (TEAM, name.encode("latin-1"))


def write_request(
    method: str,
    target: str,
    passed_on: bytes,
    body: bytes,
    remaining_ms: int,
    caller_service: str,
    instance: str,
) -> bytes:
    """Return the bytes of a request to the backend server."""
    length = b""
    if body or method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
        length = b"content-length: %d\r\n" % len(body)
    expected = b""
    if instance:
        expected = b"%s: %s\r\n" % (EXPECTED_INSTANCE, instance.encode("latin-1"))
    return b"%s %s HTTP/1.1\r\n%s%s%s: %d\r\n%s: %s\r\n%s\r\n%s" % (
        method.encode("latin-1"),
        target.encode("latin-1"),
        passed_on,
        length,
        REMAINING_MS,
        remaining_ms,
        CALLER_SERVICE,
        caller_service.encode("latin-1"),
        expected,
        body,
    )


def write_probe(path: str) -> bytes:
    """Return the bytes of a health check, whose answer names the incarnation."""
    return b"GET %s HTTP/1.1\r\nhost: server\r\n\r\n" % path.encode("latin-1")


def read_answer(headers: list[tuple[bytes, bytes]]) -> AnswerHead:
    """Read the headers of a server's answer; names are in lower case."""
    head = AnswerHead()
    lines = []
    for name, value in headers:
        if name == SIGNATURE:
            head.signed = bool(value)
        elif name == NOT_RUN:
            head.not_run = True
        elif name == INSTANCE:
            named = value.decode("latin-1")
            # anything else names no server
            head.instance = named if is_identity(named) else ""
        if name not in _OF_ONE_CONNECTION:
            lines.append(b"%s: %s\r\n" % (name, value))
    head.forwarded_headers = b"".join(lines)
    return head


def find_request_id(headers: list[tuple[bytes, bytes]]) -> bytes:
    """Return the id of the request that an answer belongs to, if it says so."""
    for name, value in headers:
        if name == REQUEST_ID:
            return value
    return b""


def write_refusal(request_id: str, retry_after_s: float) -> bytes:
    """Return the header lines of an answer that a node gives itself."""
    lines = b""
    if request_id:
        lines = b"%s: %s\r\n" % (REQUEST_ID, request_id.encode("latin-1"))
    if retry_after_s > 0:
        lines += b"retry-after: %.3f\r\n" % retry_after_s
    return lines


def read_idle_limit(headers: list[tuple[bytes, bytes]]) -> float | None:
    """Return the seconds that a server keeps an idle connection, if it says so."""
    limit_s = None
    for name, value in headers:
        if name == b"keep-alive":
            limit_s = _parse_idle_limit(value)
    return limit_s


def _parse_idle_limit(value: bytes) -> float | None:
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        number = number.strip()
        if name.lower() != b"timeout" or not number.isdigit():
            continue
        if len(number) <= MAX_DIGITS:
            return float(number)
    return None


HEADER_CODEC = HeaderCodec(
    read_request,
    write_team,
    write_request,
    write_probe,
    read_answer,
    find_request_id,
    read_idle_limit,
    write_refusal,
)
