"""Simulates an overloaded dispatcher whose threshold reaches the ingress late."""

from __future__ import annotations

import math
import random
import sys
from collections import Counter, deque
from typing import TYPE_CHECKING

from attrs import define, evolve, field, frozen

from eelgrassmount.context import Context, Tier, compute_priority
from eelgrassmount.load.dispatcher import LimitedDispatcher
from eelgrassmount.load.exchange import compute_effective_threshold
from eelgrassmount.load.port import Sample, SampleKind
from eelgrassmount.load.state import rank_call
from eelgrassmount.members.table import Identity, ServerState
from eelgrassmount.shared_node_state import LocalServer, SharedNodeState
from eelgrassmount.timers import ManualClock, TimerService

if TYPE_CHECKING:
    from collections.abc import Callable

    from eelgrassmount.load.queue import WaitingCall
    from eelgrassmount.load.state import ServiceLoad

_CHECK_INTERVAL_S = 0.001
_SERVICE_TIME_SIGMA = 0.3
_REQUEST_TIMEOUT_S = 1.0


@frozen
class Scenario:
    """One server and its offered load over time, as a multiple of the capacity."""

    name: str
    slots: int
    service_s: float
    offered: Callable[[float], float]
    refused_last_share: float = 0.2
    ingress_delay_s: float = 0.1
    slowdown: Callable[[float], float] = lambda now_s: 1.0

    @property
    def capacity_per_s(self) -> float:
        """Calls per second that the server can complete."""
        return self.slots / self.service_s


@define
class Second:
    """Counters of one second, most of them by tier."""

    offered: Counter[Tier] = field(factory=Counter)
    refused_at_ingress: Counter[Tier] = field(factory=Counter)
    refused_at_dispatcher: Counter[Tier] = field(factory=Counter)
    complete: Counter[Tier] = field(factory=Counter)
    inversions: int = 0
    threshold: int = 0
    limit: int = 0


@define(eq=False)
class ServerRun:
    """One call inside the server."""

    waiting: WaitingCall
    started_s: float
    has_slot: bool = False
    ended: bool = False


@define
class Simulation:
    """A simulation of one ingress, one dispatcher and one server."""

    scenario: Scenario
    rng: random.Random
    timers: TimerService = field(init=False)
    dispatcher: LimitedDispatcher = field(init=False)
    received_load: ServiceLoad | None = None
    seconds: list[Second] = field(factory=list)
    request_count: int = 0
    busy_slots: int = 0
    server_queue: deque[ServerRun] = field(factory=deque)
    pending: list[WaitingCall] = field(factory=list)
    refused_last_at_s: float = -math.inf

    def __attrs_post_init__(self) -> None:
        """Create the dispatcher with a manual clock, and schedule the first events."""
        self.timers = TimerService(ManualClock(0.0), self.rng)
        identity = Identity("127.0.0.1:1", "here", "region", "1")
        shared_state = SharedNodeState(identity)
        shared_state.server = LocalServer(
            "proofline", "127.0.0.1:2", ServerState.SERVING
        )
        self.dispatcher = LimitedDispatcher(shared_state, self.timers)
        self.timers.schedule(0.0, self.arrive)
        self.timers.subscribe(_CHECK_INTERVAL_S, self.check_pending)

    def second(self) -> Second:
        """Return the counters of the current second."""
        while len(self.seconds) <= int(self.timers.read()):
            self.seconds.append(Second())
        return self.seconds[-1]

    def arrive(self) -> None:
        """Admit or refuse a request at the ingress, and schedule the next arrival."""
        now_s = self.timers.read()
        rate = self.scenario.offered(now_s) * self.scenario.capacity_per_s
        self.timers.schedule(self.rng.expovariate(rate), self.arrive)
        self.request_count += 1
        is_refused_last = self.rng.random() < self.scenario.refused_last_share
        tier = Tier.REFUSED_LAST if is_refused_last else Tier.REFUSED_FIRST
        context = self.make_context(tier)
        second = self.second()
        second.offered[tier] += 1
        if self.admits(context):
            self.timers.schedule(
                self.scenario.ingress_delay_s, lambda: self.offer(context)
            )
        else:
            second.refused_at_ingress[tier] += 1
            self.record_refusal(tier)

    def make_context(self, tier: Tier) -> Context:
        """Return the context of a new request."""
        root_id = str(self.request_count)
        deadline_s = self.timers.read() + _REQUEST_TIMEOUT_S
        priority = compute_priority(root_id)
        return Context(
            root_id, root_id, "", tier.name, deadline_s, 3, tier, priority, 0, True
        )

    def admits(self, context: Context) -> bool:
        """Return whether the ingress admits a request under the last received load."""
        if self.received_load is None:
            return True
        threshold = compute_effective_threshold(self.received_load, self.timers.read())
        return rank_call(context.tier, context.priority) < threshold

    def record_refusal(self, tier: Tier) -> None:
        """Record the time when a refused-last call is refused."""
        if tier is Tier.REFUSED_LAST:
            self.refused_last_at_s = self.timers.read()

    def offer(self, context: Context) -> None:
        """Offer a request to the dispatcher."""
        self.pending.append(self.dispatcher.offer(context))
        self.check_pending()

    def check_pending(self) -> None:
        """Start admitted calls and count refused ones."""
        decided = [
            waiting for waiting in self.pending if waiting.admitted or waiting.refusal
        ]
        undecided = [
            waiting
            for waiting in self.pending
            if not (waiting.admitted or waiting.refusal)
        ]
        self.pending = undecided
        for waiting in decided:
            if waiting.refusal:
                self.second().refused_at_dispatcher[waiting.tier] += 1
                self.record_refusal(waiting.tier)
                self.send_load()
                continue
            if waiting.tier is Tier.REFUSED_FIRST:
                recent = self.timers.read() - self.refused_last_at_s < 0.01
                self.second().inversions += recent
            run = ServerRun(waiting, self.timers.read())
            remaining_s = waiting.context.compute_remaining_s(run.started_s)
            self.timers.schedule(remaining_s, lambda run=run: self.time_out_run(run))
            self.server_queue.append(run)
        self.start_queued_runs()

    def start_queued_runs(self) -> None:
        """Assign free slots of the server to its queued calls."""
        while self.server_queue and self.busy_slots < self.scenario.slots:
            run = self.server_queue.popleft()
            if run.ended:
                continue
            self.busy_slots += 1
            run.has_slot = True
            factor = self.rng.lognormvariate(
                -(_SERVICE_TIME_SIGMA**2) / 2, _SERVICE_TIME_SIGMA
            )
            slowdown = self.scenario.slowdown(self.timers.read())
            service_s = self.scenario.service_s * slowdown * factor
            self.timers.schedule(service_s, lambda run=run: self.complete_run(run))

    def time_out_run(self, run: ServerRun) -> None:
        """Cancel a run that has reached its deadline."""
        if not run.ended:
            self.end_run(run, SampleKind.TIMEOUT)

    def complete_run(self, run: ServerRun) -> None:
        """Complete one run."""
        if not run.ended:
            self.second().complete[run.waiting.tier] += 1
            self.end_run(run, SampleKind.COMPLETE)

    def end_run(self, run: ServerRun, kind: SampleKind) -> None:
        """Report the end of a run to the dispatcher, and free its slot."""
        run.ended = True
        self.busy_slots -= run.has_slot
        latency_s = self.timers.read() - run.started_s
        name = run.waiting.context.class_name
        self.dispatcher.leave(Sample(kind, latency_s, class_name=name))
        self.send_load()
        self.check_pending()

    def send_load(self) -> None:
        """Report the load to the ingress, with its delay."""
        load = self.dispatcher.describe()
        self.timers.schedule(
            self.scenario.ingress_delay_s, lambda: self.receive_load(load)
        )

    def receive_load(self, load: ServiceLoad) -> None:
        """Record the load at the ingress."""
        self.received_load = evolve(load, received_s=self.timers.read())
        self.second().threshold = load.threshold
        self.second().limit = self.dispatcher.limiter.limit


def surge(factor: float) -> Callable[[float], float]:
    """Return an offered load that surges from second 5 to 15."""
    return lambda now_s: factor if 5.0 <= now_s < 15.0 else 0.7


def slow_during_surge(now_s: float) -> float:
    """Return a tenfold slowdown from second 5 to 15."""
    return 10.0 if 5.0 <= now_s < 15.0 else 1.0


SEED = 11

SCENARIOS = (
    Scenario("surge 2x", 25, 0.05, surge(2.0)),
    Scenario("surge 5x", 25, 0.05, surge(5.0)),
    Scenario("surge 5x, small", 5, 0.08, surge(5.0)),
    Scenario("surge 5x, half refused last", 25, 0.05, surge(5.0), 0.5),
    Scenario("surge 5x, distant ingress", 25, 0.05, surge(5.0), ingress_delay_s=0.5),
    Scenario(
        "surge 2x, tenfold slow", 25, 0.05, surge(2.0), slowdown=slow_during_surge
    ),
)


def measure(scenario: Scenario, seconds: float, seed: int = SEED) -> list[Second]:
    """Run one scenario."""
    simulation = Simulation(scenario, random.Random(seed))
    simulation.timers.advance(seconds)
    return simulation.seconds


def main() -> None:
    """Print counters of each second."""
    for scenario in SCENARIOS:
        print(scenario.name, f"capacity {scenario.capacity_per_s:.0f}/s")
        print("  s offered     ingress-ref disp-ref    complete    inv threshold limit")
        seconds = measure(scenario, 25.0)
        completed = sum(second.complete.total() for second in seconds[6:15])
        print(f"  complete in 6-15 s: {completed / 9:.0f}/s")
        if "--short" in sys.argv:
            seconds = seconds[4:20]
        for index, second in enumerate(seconds):
            counters = (
                second.offered,
                second.refused_at_ingress,
                second.refused_at_dispatcher,
                second.complete,
            )
            pairs = " ".join(
                f"{counter[Tier.REFUSED_LAST]:5}+{counter[Tier.REFUSED_FIRST]:<5}"
                for counter in counters
            )
            print(
                f" {index:2} {pairs} {second.inversions:3} {second.threshold:4}"
                f" {second.limit}"
            )


if __name__ == "__main__":
    main()
