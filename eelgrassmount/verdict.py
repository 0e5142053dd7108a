"""The outcome of a call, and whether it may have run."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import StrEnum

ANSWERED = "answered"
NOT_RUN = "not-run"
MAY_HAVE_RUN = "may-have-run"


class Reason(StrEnum):
    """Why a call was refused, or why its outcome is unknown.

    The value of each reason is the label of its counter and the text of the
    ``Eelgrassmount-Reason`` header.
    """

    # bad requests
    MALFORMED = "malformed"
    TOO_LARGE = "too-large"
    NO_ROUTE = "no-route"
    NO_CONFIGURATION = "no-configuration"
    # API keys and quotas of teams
    API_KEY_MISSING = "api-key-missing"
    API_KEY_UNKNOWN = "api-key-unknown"
    API_KEY_UNJUDGED = "api-key-unjudged"
    QUOTA_SPENT = "quota-spent"
    QUOTA_UNJUDGED = "quota-unjudged"
    # capacity
    OVERLOAD = "overload"
    RATE_LIMIT = "rate-limit"
    QUEUE_FULL = "queue-full"
    DEADLINE = "deadline"
    NO_SERVER = "no-server"
    SERVER_STARTING = "server-starting"
    SERVER_SHED = "server-shed"
    DRAINING = "draining"
    ATTEMPTS_SPENT = "attempts-spent"
    RETRY_BUDGET = "retry-budget"
    MOVED = "moved"
    # idempotency keys
    KEY_MISSING = "key-missing"
    KEY_MALFORMED = "key-malformed"
    KEY_REUSED = "key-reused"
    KEY_EXPIRED = "key-expired"
    KEY_TABLE_FULL = "key-table-full"
    KEY_IN_PROGRESS = "key-in-progress"
    OWNER_CHANGING = "owner-changing"
    OWNER_UNREACHABLE = "owner-unreachable"
    # failures
    CANCELLED = "cancelled"
    QUARANTINED = "quarantined"
    PEER_LOST = "peer-lost"
    SERVER_CRASHED = "server-crashed"
    SERVER_SILENT = "server-silent"
    BAD_ANSWER = "bad-answer"
    PARTIAL = "partial"
    INTERNAL = "internal"


@dataclass(frozen=True, slots=True)
class Header:
    """An HTTP header, whose name is in lower case."""

    name: str
    value: str


@dataclass(frozen=True, slots=True)
class Answered:
    """The complete answer of a service."""

    status: int
    headers: tuple[Header, ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class NotRun:
    """Neither the call nor any call of its subtree was run."""

    reason: Reason
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class MayHaveRun:
    """The call, or a part of its subtree, may have run."""

    reason: Reason
    retry_after_s: float = 0.0


Verdict = Answered | NotRun | MayHaveRun


def get_verdict_name(verdict: Verdict) -> str:
    """Return the name of a verdict that is sent in the verdict header."""
    match verdict:
        case Answered():
            return ANSWERED
        case NotRun():
            return NOT_RUN
    return MAY_HAVE_RUN


def downgrade_verdict(verdict: Verdict, subtree_ran: bool) -> Verdict:
    """Turn *not run* into *may have run* if a part of the subtree has run.

    Downstream calls may have run before the server refused the call itself;
    "not run" would then be false for the subtree.
    """
    if subtree_ran and isinstance(verdict, NotRun):
        return MayHaveRun(verdict.reason, verdict.retry_after_s)
    return verdict


def set_retry_after(verdict: Verdict, retry_after_s: float) -> Verdict:
    """Return a refusal with ``retry_after_s`` set, unless it is set already."""
    if isinstance(verdict, Answered) or verdict.retry_after_s > 0:
        return verdict
    return replace(verdict, retry_after_s=retry_after_s)
