"""Headers of the HTTP edges."""

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
    name_verdict,
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

FINAL_STATUSES = range(200, 600)
OWN_PREFIX = "eelgrassmount-"
# of one request or answer, its path included: it must fit into a frame
MAX_HEADER_BYTES = 16 * 1024
MAX_HEADERS = 256
# headers of one connection, never passed on (RFC 9110, section 7.6.1)
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


def keep_passing(headers: Iterable[Header]) -> tuple[Header, ...]:
    """Return the headers that are passed on through the layer."""
    headers = tuple(headers)
    dropped = HOP_HEADERS
    connection = find_header(headers, "connection")
    if connection is not None:
        # it names further headers that are meant for one connection
        named = {name.strip().lower() for name in connection.split(",")}
        dropped = HOP_HEADERS | named
    return tuple(
        header
        for header in headers
        if header.name not in dropped and not header.name.startswith(OWN_PREFIX)
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
    """Return the headers that tell a verdict and when to come back."""
    headers = [Header(VERDICT, name_verdict(verdict))]
    if isinstance(verdict, Answered):
        return headers
    headers.append(Header(REASON, verdict.reason.value))
    if verdict.retry_after_s > 0:
        headers.append(Header(RETRY_AFTER, str(math.ceil(verdict.retry_after_s))))
        milliseconds = math.ceil(verdict.retry_after_s * 1000)
        headers.append(Header(RETRY_AFTER_MS, str(milliseconds)))
    return headers


def read_whole_number(headers: Iterable[Header], name: str) -> int | None:
    """Return a header as a whole number.

    ``None`` when the header is missing; raises `ValueError` when it is not a
    positive whole number.
    """
    text = find_header(headers, name)
    if text is None:
        return None
    if not (text.isascii() and text.isdecimal()) or int(text) == 0:
        raise ValueError(f"{name} must be a positive whole number, not {text!r}")
    return int(text)


def is_digest_valid(headers: Iterable[Header], body: bytes) -> bool:
    """Tell whether a body agrees with its ``Content-Digest``, if it has one.

    Only the ``sha-256`` member of RFC 9530 is looked at.
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
