"""Counters, gauges and latency histograms of a node."""

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
    from collections.abc import Callable, Mapping

    from eelgrassmount.entry.call_budget import ServiceBudget
    from eelgrassmount.policy.waiting import Visit


@define(eq=False, repr=False)
class RelayMetrics:
    """The metrics of a node; children by label values are cached."""

    registry: CollectorRegistry = field(factory=CollectorRegistry)
    answers: Counter = field(init=False)
    seconds: Histogram = field(init=False)
    refusals: Counter = field(init=False)
    failures: Counter = field(init=False)
    retries: Counter = field(init=False)
    retry_decisions: Counter = field(init=False)
    lost_calls: Counter = field(init=False)
    abandoned: Counter = field(init=False)
    connections: Counter = field(init=False)
    runs: Counter = field(init=False)
    rejected_messages: Counter = field(init=False)
    quotas: Counter = field(init=False)
    moved_calls: Counter = field(init=False)
    call_budgets: Gauge = field(init=False)
    stalls: Counter = field(init=False)
    waits: Counter = field(init=False)
    wait_seconds: Counter = field(init=False)
    visits: Counter = field(init=False)
    appointments: Counter = field(init=False)
    state: Gauge = field(init=False)
    configuration_sources: Gauge = field(init=False)
    overlong_answers: Counter = field(init=False)
    admitted_fractions: Gauge = field(init=False)
    rejected_shares: Gauge = field(init=False)
    retry_use: Gauge = field(init=False)
    _children: dict[tuple[Any, ...], Any] = field(factory=dict)
    _answer_children: dict[tuple[str, int], tuple[Any, Any]] = field(factory=dict)
    _run_children: dict[bool, Any] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Register the metrics."""
        registry = self.registry
        self.answers = Counter(
            f"{PREFIX}_relay_answers",
            "Answers of servers returned to clients, by route and status.",
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
            "Retried calls, by the reason of the failed attempt.",
            ["reason"],
            registry=registry,
        )
        self.retry_decisions = Counter(
            f"{PREFIX}_relay_retry_decisions",
            "Retries by the decision of the dispatcher of this node.",
            ["decision"],
            registry=registry,
        )
        self.lost_calls = Counter(
            f"{PREFIX}_relay_lost_calls",
            "Calls of running servers given up after a rejection, by route.",
            ["route"],
            registry=registry,
        )
        self.abandoned = Counter(
            f"{PREFIX}_relay_abandoned",
            "Requests whose client disconnected before the answer, by route.",
            ["route"],
            registry=registry,
        )
        self.connections = Counter(
            f"{PREFIX}_relay_server_connections",
            "Connections opened to the backend server of this VM.",
            registry=registry,
        )
        self.runs = Counter(
            f"{PREFIX}_relay_server_runs",
            "Calls of all nodes sent to the backend server of this VM, by kind.",
            ["kind"],
            registry=registry,
        )
        self.rejected_messages = Counter(
            f"{PREFIX}_relay_refused",
            "Received messages that were rejected, by kind.",
            ["kind"],
            registry=registry,
        )
        self.quotas = Counter(
            f"{PREFIX}_relay_quota_requests",
            "Requests for quota at this node as an allocator, by outcome.",
            ["event"],
            registry=registry,
        )
        self.call_budgets = Gauge(
            f"{PREFIX}_relay_call_budget",
            "Part of a loaded service that this node may use, 0 while not enforced.",
            ["service"],
            registry=registry,
        )
        self.moved_calls = Counter(
            f"{PREFIX}_relay_moved_calls",
            "Calls that left the queue of this node for free slots of other nodes.",
            registry=registry,
        )
        self.stalls = Counter(
            f"{PREFIX}_relay_stall_seconds",
            "Seconds for which the event loop was blocked, in stalls over 0.2 s.",
            registry=registry,
        )
        self.waits = Counter(
            f"{PREFIX}_relay_waits",
            "Requests that waited at the entry, by outcome.",
            ["outcome"],
            registry=registry,
        )
        self.wait_seconds = Counter(
            f"{PREFIX}_relay_wait_seconds",
            "Seconds that requests waited at the entry.",
            registry=registry,
        )
        self.visits = Counter(
            f"{PREFIX}_relay_visits",
            "Requests whose client states its deadline, by kind of attempt.",
            ["kind"],
            registry=registry,
        )
        self.appointments = Counter(
            f"{PREFIX}_relay_appointments",
            "Requests refused for overload, by what their Retry-After is based on.",
            ["kind"],
            registry=registry,
        )
        self.overlong_answers = Counter(
            f"{PREFIX}_relay_overlong_answers",
            "Answers given up as too long or without end, by their source.",
            ["source"],
            registry=registry,
        )
        self.configuration_sources = Gauge(
            f"{PREFIX}_relay_configuration_source",
            "Version in force, by its source: the log or the node that sent it.",
            ["source"],
            registry=registry,
        )
        self.state = Gauge(
            f"{PREFIX}_relay_state",
            "State of the node: version in force, calls, limit and demand.",
            ["name"],
            registry=registry,
        )

        self.admitted_fractions = Gauge(
            f"{PREFIX}_relay_level",
            "Admitted fraction of the offered work, by service.",
            ["service"],
            registry=registry,
        )

        self.rejected_shares = Gauge(
            f"{PREFIX}_relay_rejected_share",
            "Share of the calls that the servers of a service reject, by service.",
            ["service"],
            registry=registry,
        )

        self.retry_use = Gauge(
            f"{PREFIX}_relay_retry_use",
            "Used share of the retries that this node may send, by service.",
            ["service"],
            registry=registry,
        )

    def count_answer(self, route: str, status: int, seconds: float) -> None:
        """Count an answer and observe its latency."""
        children = self._answer_children.get((route, status))
        if children is None:
            children = (
                self._get_child(self.answers, route, str(status)),
                self._get_child(self.seconds, route),
            )
            self._answer_children[route, status] = children
        answers, latencies = children
        answers.inc()
        latencies.observe(seconds)

    def count_refusal(self, route: str, reason: str) -> None:
        """Count a request that was not run."""
        self._get_child(self.refusals, route, reason).inc()

    def count_failure(self, route: str, reason: str) -> None:
        """Count a request that has no answer and may have run."""
        self._get_child(self.failures, route, reason).inc()

    def count_retry(self, reason: object) -> None:
        """Count a retry of a call."""
        self.retries.labels(str(reason)).inc()

    def count_retry_decision(self, decision: str) -> None:
        """Count a decision on a retry of a call."""
        self.retry_decisions.labels(decision).inc()

    def count_lost_call(self, route: str) -> None:
        """Count a call without which a begun request can't be completed."""
        self._get_child(self.lost_calls, route).inc()

    def count_run(self, is_retry: bool) -> None:
        """Count a call that is sent to the local backend server."""
        child = self._run_children.get(is_retry)
        if child is None:
            child = self.runs.labels("retry" if is_retry else "first")
            self._run_children[is_retry] = child
        child.inc()

    def count_abandoned(self, route: str) -> None:
        """Count a request whose client has disconnected."""
        self._get_child(self.abandoned, route).inc()

    def count_wait(self, outcome: str, seconds: float) -> None:
        """Count a request that has waited at the entry."""
        self.waits.labels(outcome).inc()
        self.wait_seconds.inc(max(0.0, seconds))

    def count_visit(self, visit: Visit) -> None:
        """Count a request by whether its client has tried before."""
        self.visits.labels(visit.name.lower()).inc()

    def count_appointment(self, kind: str) -> None:
        """Count a Retry-After of a request refused for overload."""
        self.appointments.labels(kind).inc()

    def keep_routes(self, knows_route: Callable[[str], bool]) -> None:
        """Remove the series of unknown routes; keep those without a route."""
        removed = [key for key in self._children if key[1] and not knows_route(key[1])]
        if removed:
            self._answer_children.clear()
        for key in removed:
            del self._children[key]
            metric, *labels = key
            metric.remove(*labels)

    def _get_child(self, metric: Any, route: str, *labels: str) -> Any:
        key = (metric, route, *labels)
        child = self._children.get(key)
        if child is None:
            child = self._children[key] = metric.labels(route, *labels)
        return child

    def count_rejected(self, kind: str, messages: int = 1) -> None:
        """Count rejected messages."""
        self.rejected_messages.labels(kind).inc(messages)

    def count_quota(self, event: str, requests: float) -> None:
        """Count requests for a quota that this node allocates."""
        self.quotas.labels(event).inc(requests)

    def count_overlong(self, source: str) -> None:
        """Count an answer that was given up because it is too long."""
        self.overlong_answers.labels(source).inc()

    def show_source(self, source: str, version: int) -> None:
        """Set the gauge of the configuration in force, by its source."""
        self.configuration_sources.clear()
        self.configuration_sources.labels(source).set(version)

    def show_call_budgets(self, budgets: Mapping[str, ServiceBudget]) -> None:
        """Set the gauges of the call budgets by service."""
        self.call_budgets.clear()
        for service, budget in budgets.items():
            rate = budget.rate if budget.enforced else 0.0
            self.call_budgets.labels(service).set(rate)

    def count_moved(self, calls: int) -> None:
        """Count calls that left the queue for free slots of other nodes."""
        self.moved_calls.inc(calls)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)
