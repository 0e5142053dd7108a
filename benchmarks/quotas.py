"""Compares three schemes to enforce a quota over many nodes, under the same load.

A team sends its normal load, then a surge for some seconds, through a few of the nodes.
The table shows for each scheme: the most requests that ran in any window, as a share
of the bound; the share of requests refused before the surge; the longest time
without service during the surge; frames per request between failure domains, and in
all; and the processor time per request, as a ratio to the first scheme.

``shares``: each node has a share of the quota in proportion to its recent requests.
``sums``: each node admits from a bucket of the whole quota, and is later charged for
requests of the others. ``grants``: the quota allocators of `eelgrassmount.teams`.

``python -m benchmarks.quotas``
"""

from __future__ import annotations

import asyncio
import random
import statistics
import time
from typing import TYPE_CHECKING

from attrs import define, field
from loguru import logger

from eelgrassmount.policy.quotas import TokenBucket
from eelgrassmount.teams.directory import Team
from tests.relay.virtual import VirtualLoop
from tests.teams.fleet import BOUNDS, Fleet, compute_max_runs, send_load, step_nodes

if TYPE_CHECKING:
    from collections.abc import Callable

NODES = 20
DOMAINS = 4
CLIENTS = 6
SEEDS = range(4)
RATES = (2.0, 10.0, 40.0, 250.0)
NORMAL_LOAD = 0.625
SURGE_FACTOR = 7.5
BUCKET_FILL_S = 8.0
SURGE_START_S = 4.0
SURGE_END_S = 11.0
LOAD_END_S = 16.0
EXCHANGE_INTERVAL_S = 0.75


@define(eq=False)
class ProportionalScheme:
    """Gives each node a bucket sized by its share of the recent requests."""

    fleet: Fleet
    team: Team
    buckets: dict[str, TokenBucket] = field(factory=dict)
    counts: dict[str, float] = field(factory=dict)
    frames: int = 0

    def admits(self, name: str, now_s: float) -> bool:
        self.counts[name] = self.counts.get(name, 0.0) + 1.0
        bucket = self.buckets.get(name)
        if bucket is None:
            bucket = self.buckets[name] = TokenBucket(now_s)
            self._resize(name, bucket, 1.0 / NODES, now_s)
        return bucket.take(1, now_s) == 1

    def exchange(self, now_s: float) -> None:
        total = sum(self.counts.values())
        self.frames += NODES
        for name, bucket in self.buckets.items():
            share = self.counts.get(name, 0.0) / total if total else 1.0 / NODES
            # Nodes without recent requests keep a small share.
            share = 0.8 * share + 0.2 / NODES
            self._resize(name, bucket, share, now_s)
        self.counts = {name: 0.7 * count for name, count in self.counts.items()}

    def _resize(
        self, name: str, bucket: TokenBucket, share: float, now_s: float
    ) -> None:
        capacity = self.team.rate * BOUNDS.window_s + self.team.burst
        bucket.resize(
            share * self.team.rate, share * self.team.burst, 0.0, capacity, now_s
        )


@define(eq=False)
class SharedSumScheme:
    """Gives each node a bucket of the whole quota, and charges it for other nodes."""

    fleet: Fleet
    team: Team
    buckets: dict[str, TokenBucket] = field(factory=dict)
    unreported: dict[str, int] = field(factory=dict)
    frames: int = 0

    def admits(self, name: str, now_s: float) -> bool:
        bucket = self._find(name, now_s)
        if not bucket.take(1, now_s):
            return False
        self.unreported[name] = self.unreported.get(name, 0) + 1
        return True

    def exchange(self, now_s: float) -> None:
        total = sum(self.unreported.values())
        self.frames += NODES
        for name in self.fleet.nodes:
            others = total - self.unreported.get(name, 0)
            if others:
                self._find(name, now_s).charge(others, now_s)
        self.unreported.clear()

    def _find(self, name: str, now_s: float) -> TokenBucket:
        bucket = self.buckets.get(name)
        if bucket is None:
            bucket = self.buckets[name] = TokenBucket(now_s)
            capacity = self.team.rate * BOUNDS.window_s + self.team.burst
            bucket.resize(self.team.rate, self.team.burst, 0.0, capacity, now_s)
            bucket.tokens = self.team.burst
        return bucket


@define
class Result:
    """Measurements of one trial."""

    max_share: float
    refused_share: float
    gap_s: float
    remote_frames: float
    frames: float
    cost_us: float


def make_rate(team: Team) -> Callable[[float], float]:
    def rate(at_s: float) -> float:
        surge = SURGE_START_S <= at_s < SURGE_END_S
        return NORMAL_LOAD * team.rate * (SURGE_FACTOR if surge else 1.0)

    return rate


async def run_local_scheme(
    fleet: Fleet, team: Team, scheme: ProportionalScheme | SharedSumScheme
) -> None:
    """Run a scheme in which each node decides without sending a frame."""
    loop = asyncio.get_running_loop()

    async def exchange() -> None:
        while True:
            await asyncio.sleep(EXCHANGE_INTERVAL_S)
            scheme.exchange(loop.time())

    def send_request(name: str, team: Team) -> None:
        now_s = loop.time()
        fleet.requested.append((now_s, team.name))
        if scheme.admits(name, now_s):
            fleet.ran.append((now_s, team.name))
        else:
            fleet.refused.append((now_s, team.name, 0.0))

    exchange_task = asyncio.create_task(exchange())
    await asyncio.sleep(BUCKET_FILL_S)
    names = fleet.rng.sample(sorted(fleet.nodes), CLIENTS)
    await send_load(fleet, team.name, names, make_rate(team), LOAD_END_S, send_request)
    fleet.frames += scheme.frames
    fleet.cross_domain_frames += scheme.frames * (DOMAINS - 1) // DOMAINS
    exchange_task.cancel()


async def run_allocators(fleet: Fleet, team: Team) -> None:
    exchange_task = asyncio.create_task(step_nodes(fleet))
    await asyncio.sleep(BUCKET_FILL_S)
    names = fleet.rng.sample(sorted(fleet.nodes), CLIENTS)
    await send_load(fleet, team.name, names, make_rate(team), LOAD_END_S)
    await asyncio.sleep(0.5)
    exchange_task.cancel()


def run_trial(scheme: str, rate: float, seed: int) -> Result:
    team = Team("press", rate=rate, burst=rate)
    fleet = Fleet(random.Random(seed))
    loop = VirtualLoop()
    started_s = time.process_time()

    async def main() -> None:
        fleet.build(DOMAINS, NODES)
        fleet.configure(team)
        if scheme == "shares":
            await run_local_scheme(fleet, team, ProportionalScheme(fleet, team))
        elif scheme == "sums":
            await run_local_scheme(fleet, team, SharedSumScheme(fleet, team))
        else:
            await run_allocators(fleet, team)

    try:
        loop.run_until_complete(main())
    finally:
        loop.close()
    cpu_s = time.process_time() - started_s
    return compute_result(fleet, team, cpu_s)


def compute_result(fleet: Fleet, team: Team, cpu_s: float) -> Result:
    first_s = 1000.0 + BUCKET_FILL_S
    surge = (first_s + SURGE_START_S, first_s + SURGE_END_S)
    requests_before = [request for request in fleet.requested if request[0] < surge[0]]
    refused_before = [request for request in fleet.refused if request[0] < surge[0]]
    times = [at for at, _ in fleet.ran if surge[0] <= at < surge[1]]
    gaps = [b - a for a, b in zip([surge[0], *times], [*times, surge[1]], strict=True)]
    request_count = max(1, len(fleet.requested))
    return Result(
        fleet.find_max_runs(team.name) / compute_max_runs(team),
        len(refused_before) / max(1, len(requests_before)),
        max(gaps),
        fleet.cross_domain_frames / request_count,
        fleet.frames / request_count,
        cpu_s / request_count * 1e6,
    )


def main() -> None:
    logger.remove()
    print(
        f"{'scheme':8} {'rate':>5} {'max/bound':>10} {'refused':>8} {'gap s':>6} "
        f"{'x-domain':>8} {'frames/req':>10} {'cost':>6}"
    )
    for rate in RATES:
        costs: dict[str, float] = {}
        for scheme in ("shares", "sums", "grants"):
            results = [run_trial(scheme, rate, seed) for seed in SEEDS]
            costs[scheme] = statistics.median(result.cost_us for result in results)
            print(
                f"{scheme:8} {rate:5.0f} "
                f"{max(result.max_share for result in results):10.2f} "
                f"{statistics.mean(result.refused_share for result in results):8.3f} "
                f"{max(result.gap_s for result in results):6.2f} "
                f"{statistics.mean(result.remote_frames for result in results):8.2f} "
                f"{statistics.mean(result.frames for result in results):10.2f} "
                f"{costs[scheme] / costs['shares']:6.2f}"
            )


if __name__ == "__main__":
    main()
