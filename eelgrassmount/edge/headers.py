"""HTTP headers of requests and answers."""

from __future__ import annotations

import base64
import hashlib
import math
from typing import TYPE_CHECKING

from eelgrassmount.verdict import (
    Answered,
    Header,
    MayHaveRun,
    NotRun,
    Reason,
    Verdict,
    get_verdict_name,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

VERDICT = "eelgrassmount-verdict"
REASON = "eelgrassmount-reason"
ROOT = "eelgrassmount-root"
CLASS = "eelgrassmount-class"
CALL = "eelgrassmount-call"
CALL_STATE = "eelgrassmount-call-state"
SERVER = "eelgrassmount-server"
CALL_NAME = "eelgrassmount-call-name"
PARENT = "eelgrassmount-parent"
ATTEMPTS = "eelgrassmount-attempts"
TIMEOUT_MS = "eelgrassmount-timeout-ms"
NEXT_KEY = "eelgrassmount-next-key"
RETRY_AFTER = "retry-after"
RETRY_AFTER_MS = "eelgrassmount-retry-after-ms"
IDEMPOTENCY_KEY = "idempotency-key"
CONTENT_DIGEST = "content-digest"
CONTENT_LENGTH = "content-length"
CONNECTION = "connection"

HEADER_PREFIX = "eelgrassmount-"
# Limit for one request or answer, path included, so that it fits into a frame.
MAX_HEADER_BYTES = 16 * 1024
MAX_HEADERS = 256
# Headers that apply to one connection and are not forwarded (RFC 9110, section 7.6.1).
HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "host",
        "content-length",
        "expect",
    }
)

_STATUS_BY_REASON = {
    Reason.MALFORMED: 400,
    Reason.KEY_MISSING: 400,
    Reason.KEY_MALFORMED: 400,
    Reason.TOO_LARGE: 413,
    Reason.NO_ROUTE: 404,
    Reason.OVERLOAD: 429,
    Reason.QUEUE_FULL: 429,
    Reason.KEY_REUSED: 422,
    Reason.KEY_IN_PROGRESS: 409,
    Reason.BAD_ANSWER: 502,
    Reason.SERVER_CRASHED: 502,
    Reason.PARTIAL: 502,
    Reason.QUARANTINED: 502,
}
_NOT_RUN_STATUS = 503
_MAY_HAVE_RUN_STATUS = 504


def find_header(headers: Iterable[Header], name: str) -> str | None:
    """Return the value of the first header with this lower-case name."""
    for header in headers:
        if header.name == name:
            return header.value
    return None


def select_forwarded_headers(headers: Iterable[Header]) -> tuple[Header, ...]:
    """Return the headers that are forwarded."""
    headers = tuple(headers)
    dropped = HOP_HEADERS
    connection = find_header(headers, "connection")
    if connection is not None:
        # The header lists further headers that apply to one connection.
        named = {name.strip().lower() for name in connection.split(",")}
        dropped = HOP_HEADERS | named
    return tuple(
        header
        for header in headers
        if header.name not in dropped and not header.name.startswith(HEADER_PREFIX)
    )


def choose_status(verdict: Verdict) -> int:
    """Return the HTTP status of a verdict."""
    match verdict:
        case Answered(status):
            return status
        case NotRun(reason):
            return _STATUS_BY_REASON.get(reason, _NOT_RUN_STATUS)
        case MayHaveRun(reason):
            return _STATUS_BY_REASON.get(reason, _MAY_HAVE_RUN_STATUS)


def make_verdict_headers(verdict: Verdict) -> list[Header]:
    """Return the headers for a verdict, its reason and when to retry."""
    headers = [Header(VERDICT, get_verdict_name(verdict))]
    if isinstance(verdict, Answered):
        return headers
    headers.append(Header(REASON, verdict.reason.value))
    if verdict.retry_after_s > 0:
        headers.append(Header(RETRY_AFTER, str(math.ceil(verdict.retry_after_s))))
        milliseconds = math.ceil(verdict.retry_after_s * 1000)
        headers.append(Header(RETRY_AFTER_MS, str(milliseconds)))
    return headers


def parse_positive_integer(headers: Iterable[Header], name: str) -> int | None:
    """Return the value of a header as a positive integer, or ``None`` without it.

    Raises `ValueError` if the value is not a positive integer.
    """
    text = find_header(headers, name)
    if text is None:
        return None
    if not (text.isascii() and text.isdecimal()) or int(text) == 0:
        raise ValueError(f"{name} must be a positive integer, not {text!r}")
    return int(text)


def is_digest_valid(headers: Iterable[Header], body: bytes) -> bool:
    """Return whether a body matches its ``Content-Digest``, if there is one.

    Only the ``sha-256`` algorithm of RFC 9530 is checked.
    """
    text = find_header(headers, CONTENT_DIGEST)
    if text is None:
        return True
    for member in text.split(","):
        algorithm, _, value = member.strip().partition("=")
        if algorithm == "sha-256":
            expected = base64.b64encode(hashlib.sha256(body).digest()).decode()
            return value == f":{expected}:"
    return True
