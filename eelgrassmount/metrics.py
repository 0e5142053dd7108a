"""Metrics of a node."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

from attrs import frozen
from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    disable_created_metrics,
)

from eelgrassmount.verdict import ANSWERED, MAY_HAVE_RUN, NOT_RUN, Reason

if TYPE_CHECKING:
    from collections.abc import Iterable

PREFIX = "eelgrassmount"
CALL_BUCKETS_S = (
    *(0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5),
    *(1.0, 2.0, 5.0, 10.0, 30.0),
)


class RetryReason(StrEnum):
    """Why a node retried a call."""

    SERVER_SHED = "server-shed"
    NO_ROOM = "no-room"
    DRAINING = "draining"
    PEER_LOST = "peer-lost"
    SERVER_CRASHED = "server-crashed"
    SERVER_SILENT = "server-silent"
    BAD_ANSWER = "bad-answer"


class DropReason(StrEnum):
    """Why an answer was discarded."""

    LATE = "late"
    DOUBLED = "doubled"
    REORDERED = "reordered"
    TRUNCATED = "truncated"
    OVER_LONG = "over-long"
    WRONG_CALL = "wrong-call"
    BAD_DIGEST = "bad-digest"
    MALFORMED = "malformed"


class LinkReason(StrEnum):
    """Why a link to a peer was replaced."""

    SILENT = "silent"
    CLOSED = "closed"
    BAD_FRAME = "bad-frame"
    NEW_INCARNATION = "new-incarnation"


class Direction(StrEnum):
    """Direction of traffic on the links to peers, as seen from this node."""

    SENT = "sent"
    RECEIVED = "received"


class FrameReason(StrEnum):
    """Why a frame from a peer was rejected."""

    OVER_LONG = "over-long"
    TRUNCATED = "truncated"
    MALFORMED = "malformed"
    UNEXPECTED = "unexpected"


class LogError(StrEnum):
    """How a call to the platform's log failed."""

    UNREACHABLE = "unreachable"
    TIMEOUT = "timeout"
    STATUS = "status"
    BAD_RECORD = "bad-record"
    GAP = "gap"


class MemberLabel(StrEnum):
    """State of another node in the membership, as a label."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEFT = "left"
    DEAD = "dead"


@frozen
class Metrics:
    """The metrics of one node, created with `make_metrics`.

    Each node has a separate registry, so that tests can run several nodes in one
    process.
    """

    registry: CollectorRegistry
    calls: Counter
    call_seconds: Histogram
    refusals: Counter
    retries: Counter
    dropped_answers: Counter
    peer_links_replaced: Counter
    peer_bytes: Counter
    peer_messages: Counter
    rejected_frames: Counter
    key_events: Counter
    member_events: Counter
    quarantined: Gauge
    log_appends: Counter
    log_errors: Counter
    config_version: Gauge
    members: Gauge
    limit: Gauge
    in_flight: Gauge
    queued: Gauge
    drains: Counter
    internal_errors: Counter


def make_metrics() -> Metrics:
    """Return new metrics, in which all known label values start at zero."""
    # creation times would double the number of exported lines
    disable_created_metrics()
    registry = CollectorRegistry()

    def count(name: str, text: str, *labels: str) -> Counter:
        return Counter(name, text, labels, namespace=PREFIX, registry=registry)

    def gauge(name: str, text: str, *labels: str) -> Gauge:
        return Gauge(name, text, labels, namespace=PREFIX, registry=registry)

    metrics = Metrics(
        registry=registry,
        calls=count("calls", "Requests of callers.", "class", "verdict"),
        call_seconds=Histogram(
            "call_seconds",
            "Time from a caller's request to its answer.",
            ["class"],
            namespace=PREFIX,
            registry=registry,
            buckets=CALL_BUCKETS_S,
        ),
        refusals=count("refusals", "Calls refused or of unknown outcome.", "reason"),
        retries=count("retries", "Calls sent once more.", "reason"),
        dropped_answers=count("dropped_answers", "Answers discarded.", "reason"),
        peer_links_replaced=count(
            "peer_links_replaced", "Links to peers replaced.", "reason"
        ),
        peer_bytes=count("peer_bytes", "Bytes on links to peers.", "direction"),
        peer_messages=count(
            "peer_messages", "Messages on links to peers.", "direction"
        ),
        rejected_frames=count("rejected_frames", "Frames rejected.", "reason"),
        key_events=count("key_events", "Events of the key service.", "event"),
        member_events=count("member_events", "Events of the membership.", "event"),
        quarantined=gauge("quarantined", "Request contents refused at present."),
        log_appends=count("log_appends", "Records appended to the log.", "stream"),
        log_errors=count("log_errors", "Failed calls of the log.", "kind"),
        config_version=gauge("config_version", "Configuration version in force."),
        members=gauge("members", "Nodes known in this failure domain.", "state"),
        limit=gauge("limit", "Limit of calls at once at the backend server."),
        in_flight=gauge("in_flight", "Calls running at the backend server."),
        queued=gauge("queued", "Calls waiting for the backend server."),
        drains=count("drains", "Graceful shutdowns started."),
        internal_errors=count("internal_errors", "Programming errors caught."),
    )
    _create_all_labels(metrics)
    return metrics


def record_call(
    metrics: Metrics, class_name: str, verdict_name: str, seconds: float
) -> None:
    """Count a completed request of a caller and its duration in seconds."""
    metrics.calls.labels(class_name, verdict_name).inc()
    metrics.call_seconds.labels(class_name).observe(seconds)


def create_class_labels(metrics: Metrics, class_names: Iterable[str]) -> None:
    """Create the series of request classes, so that they start at zero."""
    for class_name in class_names:
        metrics.call_seconds.labels(class_name)
        for verdict_name in (ANSWERED, NOT_RUN, MAY_HAVE_RUN):
            metrics.calls.labels(class_name, verdict_name)


def _create_all_labels(metrics: Metrics) -> None:
    for metric, values in (
        (metrics.refusals, Reason),
        (metrics.retries, RetryReason),
        (metrics.dropped_answers, DropReason),
        (metrics.peer_links_replaced, LinkReason),
        (metrics.peer_bytes, Direction),
        (metrics.peer_messages, Direction),
        (metrics.rejected_frames, FrameReason),
        (metrics.log_errors, LogError),
        (metrics.members, MemberLabel),
    ):
        for value in values:
            metric.labels(value)
