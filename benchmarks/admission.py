"""One gate under overload, with entries that hear its threshold late."""

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

_CHECK_PERIOD_S = 0.001
_SPREAD = 0.3
_BACKLOG_TIMEOUT_S = 1.0


@frozen
class Scenario:
    """Offered work as a multiple of the capacity, over time."""

    name: str
    slots: int
    service_s: float
    offered: Callable[[float], float]
    refused_last_share: float = 0.2
    entry_delay_s: float = 0.1
    slowdown: Callable[[float], float] = lambda now_s: 1.0

    @property
    def capacity_per_s(self) -> float:
        """Return the limit that the server allows."""
        return self.slots / self.service_s


@define
class Second:
    """What happened in one second, by tier."""

    offered: Counter[Tier] = field(factory=Counter)
    refused_at_entry: Counter[Tier] = field(factory=Counter)
    refused_at_gate: Counter[Tier] = field(factory=Counter)
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
class World:
    """The simulation: one entry, one gate and one server."""

    scenario: Scenario
    rng: random.Random
    timers: TimerService = field(init=False)
    gate: LimitedDispatcher = field(init=False)
    heard: ServiceLoad | None = None
    seconds: list[Second] = field(factory=list)
    count: int = 0
    busy: int = 0
    inside: deque[ServerRun] = field(factory=deque)
    pending: list[WaitingCall] = field(factory=list)
    refused_last_at_s: float = -math.inf

    def __attrs_post_init__(self) -> None:
        """Wire the gate to a clock of its own."""
        self.timers = TimerService(ManualClock(0.0), self.rng)
        identity = Identity("127.0.0.1:1", "here", "region", "1")
        shared_state = SharedNodeState(identity)
        shared_state.server = LocalServer(
            "proofline", "127.0.0.1:2", ServerState.SERVING
        )
        self.gate = LimitedDispatcher(shared_state, self.timers)
        self.timers.schedule(0.0, self.arrive)
        self.timers.subscribe(_CHECK_PERIOD_S, self.check_pending)

    def second(self) -> Second:
        """Return the counters of the present second."""
        while len(self.seconds) <= int(self.timers.read()):
            self.seconds.append(Second())
        return self.seconds[-1]

    def arrive(self) -> None:
        """Let one request come to the entry, and schedule the next."""
        now_s = self.timers.read()
        rate = self.scenario.offered(now_s) * self.scenario.capacity_per_s
        self.timers.schedule(self.rng.expovariate(rate), self.arrive)
        self.count += 1
        is_last = self.rng.random() < self.scenario.refused_last_share
        tier = Tier.REFUSED_LAST if is_last else Tier.REFUSED_FIRST
        context = self.make_context(tier)
        second = self.second()
        second.offered[tier] += 1
        if self.admits(context):
            self.timers.schedule(
                self.scenario.entry_delay_s, lambda: self.offer(context)
            )
        else:
            second.refused_at_entry[tier] += 1
            self.note_refusal(tier)

    def make_context(self, tier: Tier) -> Context:
        """Return the context of a new request."""
        root_id = str(self.count)
        deadline_s = self.timers.read() + _BACKLOG_TIMEOUT_S
        priority = compute_priority(root_id)
        return Context(
            root_id, root_id, "", tier.name, deadline_s, 3, tier, priority, 0, True
        )

    def admits(self, context: Context) -> bool:
        """Decide at the entry, by what was heard."""
        if self.heard is None:
            return True
        threshold = compute_effective_threshold(self.heard, self.timers.read())
        return rank_call(context.tier, context.priority) < threshold

    def note_refusal(self, tier: Tier) -> None:
        """Remember when a refused-last call was refused."""
        if tier is Tier.REFUSED_LAST:
            self.refused_last_at_s = self.timers.read()

    def offer(self, context: Context) -> None:
        """Let a request come to the gate."""
        self.pending.append(self.gate.offer(context))
        self.check_pending()

    def check_pending(self) -> None:
        """Start what has been admitted and count what has been refused."""
        decided = [one for one in self.pending if one.admitted or one.refusal]
        still = [one for one in self.pending if not (one.admitted or one.refusal)]
        self.pending = still
        for waiting in decided:
            if waiting.refusal:
                self.second().refused_at_gate[waiting.tier] += 1
                self.note_refusal(waiting.tier)
                self.answer()
                continue
            if waiting.tier is Tier.REFUSED_FIRST:
                recent = self.timers.read() - self.refused_last_at_s < 0.01
                self.second().inversions += recent
            run = ServerRun(waiting, self.timers.read())
            remaining_s = waiting.context.compute_remaining_s(run.started_s)
            self.timers.schedule(remaining_s, lambda run=run: self.time_out(run))
            self.inside.append(run)
        self.serve()

    def serve(self) -> None:
        """Give free slots to the calls inside the server."""
        while self.inside and self.busy < self.scenario.slots:
            run = self.inside.popleft()
            if run.ended:
                continue
            self.busy += 1
            run.has_slot = True
            factor = self.rng.lognormvariate(-(_SPREAD**2) / 2, _SPREAD)
            slowdown = self.scenario.slowdown(self.timers.read())
            service_s = self.scenario.service_s * slowdown * factor
            self.timers.schedule(service_s, lambda run=run: self.finish(run))

    def time_out(self, run: ServerRun) -> None:
        """Cancel a run that has reached its deadline."""
        if not run.ended:
            self.end(run, SampleKind.TIMEOUT)

    def finish(self, run: ServerRun) -> None:
        """Answer one run."""
        if not run.ended:
            self.second().complete[run.waiting.tier] += 1
            self.end(run, SampleKind.COMPLETE)

    def end(self, run: ServerRun, kind: SampleKind) -> None:
        """End one run on the server."""
        run.ended = True
        self.busy -= run.has_slot
        latency_s = self.timers.read() - run.started_s
        name = run.waiting.context.class_name
        self.gate.leave(Sample(kind, latency_s, class_name=name))
        self.answer()
        self.check_pending()

    def answer(self) -> None:
        """Send the load back to the entry."""
        load = self.gate.describe()
        self.timers.schedule(self.scenario.entry_delay_s, lambda: self.hear(load))

    def hear(self, load: ServiceLoad) -> None:
        """Take in the load at the entry."""
        self.heard = evolve(load, received_s=self.timers.read())
        self.second().threshold = load.threshold
        self.second().limit = self.gate.limiter.limit


def surge(factor: float) -> Callable[[float], float]:
    """Return an offered load that surges from second 5 to 15."""
    return lambda now_s: factor if 5.0 <= now_s < 15.0 else 0.7


def slow_for_a_while(now_s: float) -> float:
    """Return a tenfold slowdown from second 5 to 15."""
    return 10.0 if 5.0 <= now_s < 15.0 else 1.0


SEED = 11

SCENARIOS = (
    Scenario("surge 2x", 25, 0.05, surge(2.0)),
    Scenario("surge 5x", 25, 0.05, surge(5.0)),
    Scenario("surge 5x, small", 5, 0.08, surge(5.0)),
    Scenario("surge 5x, half refused last", 25, 0.05, surge(5.0), 0.5),
    Scenario("surge 5x, far entry", 25, 0.05, surge(5.0), entry_delay_s=0.5),
    Scenario("surge 2x, tenfold slow", 25, 0.05, surge(2.0), slowdown=slow_for_a_while),
)


def measure(scenario: Scenario, seconds: float, seed: int = SEED) -> list[Second]:
    """Run one scenario."""
    world = World(scenario, random.Random(seed))
    world.timers.advance(seconds)
    return world.seconds


def main() -> None:
    """Print counters of each second."""
    for scenario in SCENARIOS:
        print(scenario.name, f"capacity {scenario.capacity_per_s:.0f}/s")
        print("  s offered   entry-refused gate-refused complete inv threshold limit")
        seconds = measure(scenario, 25.0)
        lows = sum(second.complete.total() for second in seconds[6:15])
        print(f"  complete in 6-15 s: {lows / 9:.0f}/s")
        if "--short" in sys.argv:
            seconds = seconds[4:20]
        for at, second in enumerate(seconds):
            counters = (
                second.offered,
                second.refused_at_entry,
                second.refused_at_gate,
                second.complete,
            )
            pairs = " ".join(
                f"{one[Tier.REFUSED_LAST]:5}+{one[Tier.REFUSED_FIRST]:<5}"
                for one in counters
            )
            print(
                f" {at:2} {pairs} {second.inversions:3} {second.threshold:4}"
                f" {second.limit}"
            )


if __name__ == "__main__":
    main()
