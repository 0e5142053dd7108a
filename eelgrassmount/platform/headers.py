"""Reader and writer of the platform's HTTP headers."""

from __future__ import annotations

import math

from eelgrassmount.relay.header_codec import AnswerHead, HeaderCodec, RequestHead
from eelgrassmount.util.fields import is_identity, parse_number

REQUEST_ID = b"eelgrassmount-attempt-id"
REMAINING_MS = b"eelgrassmount-deadline-ms"
EXPECTED_INSTANCE = b"eelgrassmount-expect-instance"
CALLER_SERVICE = b"eelgrassmount-caller-service"
API_KEY = b"x-api-key"
TEAM = b"eelgrassmount-tenant"
SIGNATURE = b"eelgrassmount-response-signature"
NOT_RUN = b"eelgrassmount-not-executed"
INSTANCE = b"eelgrassmount-instance-id"
RATE_LIMIT = b"server-limit"
LEAVING = b"server-leaving"

# headers that apply to one connection only and are not forwarded
_HOP_BY_HOP = frozenset(
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
# headers that only a node may set
_NODE_HEADERS = frozenset((REMAINING_MS, EXPECTED_INSTANCE, CALLER_SERVICE, TEAM))
# API keys are checked by the nodes and hidden from backend servers
_DROPPED_FROM_REQUEST = _HOP_BY_HOP | _NODE_HEADERS | {API_KEY}

# replaces several API keys in one request; belongs to no team
INVALID_KEY = b""
MAX_REMAINING_MS = 3_600_000
# longer numbers are not parsed
MAX_NUMBER_DIGITS = 9


def read_request(headers: list[tuple[bytes, bytes]]) -> RequestHead:
    """Read the headers of a request, whose names are in lower case."""
    head = RequestHead()
    lines = []
    connection_headers: set[bytes] = set()
    for name, value in headers:
        if name == REQUEST_ID:
            head.request_id = value.decode("latin-1")
        elif name == b"host":
            head.host = value.decode("latin-1").partition(":")[0].lower()
        elif name == REMAINING_MS:
            head.remaining_ms = _parse_remaining_ms(value)
        elif name == API_KEY:
            # with several keys, the team of the request is ambiguous
            head.api_key = value.strip() if head.api_key is None else INVALID_KEY
        elif name == b"connection" and value.lower() not in (b"close", b"keep-alive"):
            connection_headers |= {
                option.strip() for option in value.lower().split(b",")
            }
        if name not in _DROPPED_FROM_REQUEST:
            lines.append(b"%s: %s\r\n" % (name, value))
    if connection_headers:
        lines = _format_lines(headers, _DROPPED_FROM_REQUEST | connection_headers)
    head.forwarded_headers = b"".join(lines)
    return head


def _format_lines(
    headers: list[tuple[bytes, bytes]], dropped: frozenset[bytes]
) -> list[bytes]:
    return [
        b"%s: %s\r\n" % (name, value) for name, value in headers if name not in dropped
    ]


def _parse_remaining_ms(value: bytes) -> int | None:
    digits = value.strip()
    if not digits.isdigit():
        return None
    if len(digits) > MAX_NUMBER_DIGITS:
        return MAX_REMAINING_MS
    return min(int(digits), MAX_REMAINING_MS)


def write_team(name: str) -> bytes:
    """Return the header line that names the team to the backend server."""
    return b"%s: %s\r\n" % (TEAM, name.encode("latin-1"))


def write_request(
    method: str,
    target: str,
    forwarded_headers: bytes,
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
        forwarded_headers,
        length,
        REMAINING_MS,
        remaining_ms,
        CALLER_SERVICE,
        caller_service.encode("latin-1"),
        expected,
        body,
    )


def write_probe(path: str) -> bytes:
    """Return the bytes of a health check; the answer names the incarnation."""
    return b"GET %s HTTP/1.1\r\nhost: server\r\n\r\n" % path.encode("latin-1")


def read_answer(headers: list[tuple[bytes, bytes]]) -> AnswerHead:
    """Read the headers of a server's answer, whose names are in lower case."""
    head = AnswerHead()
    lines = []
    for name, value in headers:
        if name == SIGNATURE:
            head.signed = bool(value)
        elif name == NOT_RUN:
            head.not_run = True
        elif name == INSTANCE:
            identity = value.decode("latin-1")
            # an invalid identity must not reach the headers of later requests
            head.instance = identity if is_identity(identity) else ""
        elif name in (RATE_LIMIT, LEAVING):
            _read_statement(head, name, value)
        if name not in _HOP_BY_HOP:
            lines.append(b"%s: %s\r\n" % (name, value))
    head.forwarded_headers = b"".join(lines)
    return head


def _read_statement(head: AnswerHead, name: bytes, value: bytes) -> None:
    """Read a header by which a server limits its rate or announces its stop."""
    number = parse_number(value.strip().decode("latin-1"))
    if not 0 <= number < math.inf:
        head.invalid_headers.append((name, value))
    elif name == LEAVING:
        head.leaving = head.leaving or number > 0
    elif head.rate_limit_per_s is None or number < head.rate_limit_per_s:
        # of several limits, the lowest one satisfies all
        head.rate_limit_per_s = number


def find_request_id(headers: list[tuple[bytes, bytes]]) -> bytes:
    """Return the id of the request that an answer names, empty if none."""
    for name, value in headers:
        if name == REQUEST_ID:
            return value
    return b""


def write_refusal(request_id: str, retry_after_s: float) -> bytes:
    """Return the header lines of a refusal by the node itself."""
    lines = b""
    if request_id:
        lines = b"%s: %s\r\n" % (REQUEST_ID, request_id.encode("latin-1"))
    if retry_after_s > 0:
        lines += b"retry-after: %.3f\r\n" % retry_after_s
    return lines


def read_idle_limit(headers: list[tuple[bytes, bytes]]) -> float | None:
    """Return the seconds that a server keeps an idle connection, if announced."""
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
        if len(number) <= MAX_NUMBER_DIGITS:
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
