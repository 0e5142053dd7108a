"""Discrete-event simulation of one backend server behind a concurrency limit."""

from __future__ import annotations

import heapq
from collections import deque
from typing import TYPE_CHECKING, Protocol

from attrs import define, field

from eelgrassmount.load.port import Sample, SampleKind

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

_ADJUST_INTERVAL_S = 0.1


class LimiterPort(Protocol):
    """Interface of the limiters under simulation."""

    @property
    def limit(self) -> int:
        """Number of calls that may run at the same time."""

    def record(self, sample: Sample, in_flight: int, now_s: float) -> None:
        """Record a finished run."""

    def record_start(self, in_flight: int, now_s: float) -> None:
        """Record the start of a run."""

    def adjust(self, now_s: float) -> None:
        """Adjust the limit; called periodically."""


@define
class ServerModel:
    """A server with slots and a queue, which sheds calls beyond ``max_in_flight``.

    ``draw_service_s`` returns a random service time for the current time. Each call
    also holds its slot for ``downstream_s``, which is reported as downstream time.
    """

    slots: int
    draw_service_s: Callable[[float], float]
    downstream_s: float = 0.0
    max_in_flight: int = 1_000_000


@define
class Point:
    """Totals and averages of one second of a simulation."""

    second: int
    limit: float = 0.0
    in_server: float = 0.0
    completed: int = 0
    shed: int = 0


@define
class Simulation:
    """State of a running simulation."""

    server: ServerModel
    limiter: LimiterPort
    offered_per_s: Callable[[float], float]
    rng: random.Random
    now_s: float = 0.0
    in_flight: int = 0
    busy_slots: int = 0
    waiting: int = 0
    server_queue: deque[float] = field(factory=deque)
    events: list[tuple[float, int, str, float]] = field(factory=list)
    event_count: int = 0
    points: list[Point] = field(factory=list)

    def schedule(self, due_s: float, kind: str, started_s: float = 0.0) -> None:
        """Schedule an event."""
        self.event_count += 1
        heapq.heappush(self.events, (due_s, self.event_count, kind, started_s))

    def start_waiting_calls(self) -> None:
        """Send waiting calls to the server within the limit."""
        while self.waiting and self.in_flight < self.limiter.limit:
            self.waiting -= 1
            self._start()

    def _start(self) -> None:
        self.in_flight += 1
        self.limiter.record_start(self.in_flight, self.now_s)
        if self.in_flight > self.server.max_in_flight:
            self.points[-1].shed += 1
            self.schedule(self.now_s + 0.001, "shed", self.now_s)
        elif self.busy_slots < self.server.slots:
            self._serve(self.now_s)
        else:
            self.server_queue.append(self.now_s)

    def _serve(self, started_s: float) -> None:
        self.busy_slots += 1
        service_s = self.server.draw_service_s(self.now_s) + self.server.downstream_s
        self.schedule(self.now_s + service_s, "end", started_s)

    def finish_run(self, kind: str, started_s: float) -> None:
        """Record the result of one run."""
        latency_s = self.now_s - started_s
        if kind == "shed":
            sample = Sample(SampleKind.SHED, latency_s)
        else:
            self.busy_slots -= 1
            if self.server_queue:
                self._serve(self.server_queue.popleft())
            self.points[-1].completed += 1
            sample = Sample(SampleKind.COMPLETE, latency_s, self.server.downstream_s)
        self.limiter.record(sample, self.in_flight, self.now_s)
        self.in_flight -= 1


def simulate(simulation: Simulation, seconds: float) -> list[Point]:
    """Run an open-loop simulation and return one point for each second."""
    simulation.schedule(0.0, "arrive")
    simulation.schedule(0.0, "adjust")
    while simulation.events and simulation.events[0][0] < seconds:
        simulation.now_s, _, kind, started_s = heapq.heappop(simulation.events)
        if (
            not simulation.points
            or simulation.now_s >= simulation.points[-1].second + 1
        ):
            simulation.points.append(Point(int(simulation.now_s)))
        _handle(simulation, kind, started_s)
        simulation.start_waiting_calls()
    return simulation.points


def _handle(simulation: Simulation, kind: str, started_s: float) -> None:
    if kind == "arrive":
        simulation.waiting = min(simulation.waiting + 1, 50)
        gap_s = simulation.rng.expovariate(simulation.offered_per_s(simulation.now_s))
        simulation.schedule(simulation.now_s + gap_s, "arrive")
    elif kind == "adjust":
        simulation.limiter.adjust(simulation.now_s)
        simulation.points[-1].limit += simulation.limiter.limit * _ADJUST_INTERVAL_S
        simulation.points[-1].in_server += simulation.in_flight * _ADJUST_INTERVAL_S
        simulation.schedule(simulation.now_s + _ADJUST_INTERVAL_S, "adjust")
    else:
        simulation.finish_run(kind, started_s)
