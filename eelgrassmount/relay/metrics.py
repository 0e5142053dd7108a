"""Counters, gauges and latency histograms of a node beside its server."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from attrs import define, field
from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from eelgrassmount.metrics import CALL_BUCKETS_S, PREFIX

if TYPE_CHECKING:
    from collections.abc import Callable


@define(eq=False)
class RelayMetrics:
    """The metrics; children are looked up once for each set of labels."""

    registry: CollectorRegistry = field(factory=CollectorRegistry)
    answers: Counter = field(init=False)
    seconds: Histogram = field(init=False)
    refusals: Counter = field(init=False)
    failures: Counter = field(init=False)
    retries: Counter = field(init=False)
    abandoned: Counter = field(init=False)
    connections: Counter = field(init=False)
    refused: Counter = field(init=False)
    quotas: Counter = field(init=False)
    stalls: Counter = field(init=False)
    state: Gauge = field(init=False)
    levels: Gauge = field(init=False)
    _children: dict[tuple[Any, ...], Any] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Register everything."""
        registry = self.registry
        self.answers = Counter(
            f"{PREFIX}_relay_answers",
            "Answers of servers handed on, by route and status.",
            ["route", "status"],
            registry=registry,
        )
        self.seconds = Histogram(
            f"{PREFIX}_relay_seconds",
            "Time from the arrival of a request to its answer, by route.",
            ["route"],
            buckets=CALL_BUCKETS_S,
            registry=registry,
        )
        self.refusals = Counter(
            f"{PREFIX}_relay_refusals",
            "Requests that have not run, by route and reason.",
            ["route", "reason"],
            registry=registry,
        )
        self.failures = Counter(
            f"{PREFIX}_relay_failures",
            "Requests that may have run and have no answer, by route and reason.",
            ["route", "reason"],
            registry=registry,
        )
        self.retries = Counter(
            f"{PREFIX}_relay_retries",
            "Calls sent once more, by the reason of the sending before.",
            ["reason"],
            registry=registry,
        )
        self.abandoned = Counter(
            f"{PREFIX}_relay_abandoned",
            "Requests whose client left before the answer, by route.",
            ["route"],
            registry=registry,
        )
        self.connections = Counter(
            f"{PREFIX}_relay_server_connections",
            "Connections opened to the server of this VM.",
            registry=registry,
        )
        self.refused = Counter(
            f"{PREFIX}_relay_refused",
            "Messages of other writers that were not taken up, by kind.",
            ["kind"],
            registry=registry,
        )
        self.quotas = Counter(
            f"{PREFIX}_relay_quota_requests",
            "Requests of quotas at this node as a holder, by what became of them.",
            ["event"],
            registry=registry,
        )
        self.stalls = Counter(
            f"{PREFIX}_relay_stall_seconds",
            "Seconds for which the event loop stood still, in stalls over 0.2 s.",
            registry=registry,
        )
        self.state = Gauge(
            f"{PREFIX}_relay_state",
            "What the node believes: the version in force, calls, limit and demand.",
            ["name"],
            registry=registry,
        )

        self.levels = Gauge(
            f"{PREFIX}_relay_level",
            "Part of what is offered that is admitted, by service it leads to.",
            ["service"],
            registry=registry,
        )

    def count_answer(self, route: str, status: int, seconds: float) -> None:
        """Count an answer and its time."""
        self._find(self.answers, route, str(status)).inc()
        self._find(self.seconds, route).observe(seconds)

    def count_refusal(self, route: str, reason: str) -> None:
        """Count a request that has not run."""
        self._find(self.refusals, route, reason).inc()

    def count_failure(self, route: str, reason: str) -> None:
        """Count a request without an answer that may have run."""
        self._find(self.failures, route, reason).inc()

    def count_retry(self, reason: object) -> None:
        """Count a call that is sent once more."""
        self.retries.labels(str(reason)).inc()

    def count_abandoned(self, route: str) -> None:
        """Count a request whose client has left."""
        self._find(self.abandoned, route).inc()

    def keep_routes(self, knows_route: Callable[[str], bool]) -> None:
        """Drop the series of all other routes, but for requests without one."""
        left = [key for key in self._children if key[1] and not knows_route(key[1])]
        for key in left:
            del self._children[key]
            metric, *labels = key
            metric.remove(*labels)

    def _find(self, metric: Any, route: str, *labels: str) -> Any:
        key = (metric, route, *labels)
        child = self._children.get(key)
        if child is None:
            child = self._children[key] = metric.labels(route, *labels)
        return child

    def count_refused(self, kind: str, messages: int = 1) -> None:
        """Count messages that were not taken up."""
        self.refused.labels(kind).inc(messages)

    def count_quota(self, event: str, requests: float) -> None:
        """Count requests of a quota at this node as its holder."""
        self.quotas.labels(event).inc(requests)

    def render(self) -> bytes:
        """Return all metrics as text."""
        return generate_latest(self.registry)
