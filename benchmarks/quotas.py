"""Three ways to hold a quota over many nodes, on the same loads and faults.

Each team sends its usual, then many times that for some seconds, through a few of the
nodes. What is shown of each way: the most requests that ran in any window, as a part of
what may run; the part of the team's requests below its quota that was refused; the
longest time without service while it was over its quota; frames between failure domains
and within them; and the processor time of a request, as a ratio to the first way.

``parts``: each node a part of the quota by what it has lately taken. ``sums``: each
node takes freely, sums go round, and the bucket of each goes into debt by them.
``holders``: what nodes do, see `eelgrassmount.teams`.

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
USUAL = 0.625
HOT = 7.5
FILL_S = 8.0
HOT_FROM_S = 4.0
HOT_UNTIL_S = 11.0
END_S = 16.0
# the age of sums: readers ask each 0.75 s, and two hops lie between failure domains
NEWS_S = 0.75


@define(eq=False)
class PartWay:
    """Each node takes from a bucket of its own, sized by its part of what all take."""

    fleet: Fleet
    team: Team
    buckets: dict[str, TokenBucket] = field(factory=dict)
    counts: dict[str, float] = field(factory=dict)
    frames: int = 0

    def take(self, name: str, now_s: float) -> bool:
        self.counts[name] = self.counts.get(name, 0.0) + 1.0
        bucket = self.buckets.get(name)
        if bucket is None:
            bucket = self.buckets[name] = TokenBucket(now_s)
            self._resize(name, bucket, 1.0 / NODES, now_s)
        return bucket.take(1, now_s) == 1

    def step(self, now_s: float) -> None:
        total = sum(self.counts.values())
        self.frames += NODES
        for name, bucket in self.buckets.items():
            part = self.counts.get(name, 0.0) / total if total else 1.0 / NODES
            # the rest is for nodes that have taken nothing yet
            part = 0.8 * part + 0.2 / NODES
            self._resize(name, bucket, part, now_s)
        self.counts = {name: 0.7 * count for name, count in self.counts.items()}

    def _resize(
        self, name: str, bucket: TokenBucket, part: float, now_s: float
    ) -> None:
        whole = self.team.rate * BOUNDS.window_s + self.team.burst
        bucket.resize(part * self.team.rate, part * self.team.burst, 0.0, whole, now_s)


@define(eq=False)
class SumWay:
    """Each node has a bucket of the whole, which others' requests are charged to."""

    fleet: Fleet
    team: Team
    buckets: dict[str, TokenBucket] = field(factory=dict)
    untold: dict[str, int] = field(factory=dict)
    frames: int = 0

    def take(self, name: str, now_s: float) -> bool:
        bucket = self._find(name, now_s)
        if not bucket.take(1, now_s):
            return False
        self.untold[name] = self.untold.get(name, 0) + 1
        return True

    def step(self, now_s: float) -> None:
        total = sum(self.untold.values())
        self.frames += NODES
        for name in self.fleet.nodes:
            others = total - self.untold.get(name, 0)
            if others:
                self._find(name, now_s).charge(others, now_s)
        self.untold.clear()

    def _find(self, name: str, now_s: float) -> TokenBucket:
        bucket = self.buckets.get(name)
        if bucket is None:
            bucket = self.buckets[name] = TokenBucket(now_s)
            whole = self.team.rate * BOUNDS.window_s + self.team.burst
            bucket.resize(self.team.rate, self.team.burst, 0.0, whole, now_s)
            bucket.tokens = self.team.burst
        return bucket


@define
class Result:
    """What came of one play."""

    most: float
    refused: float
    gap_s: float
    far: float
    frames: float
    cost_us: float


def make_rate(team: Team) -> Callable[[float], float]:
    def rate(at_s: float) -> float:
        hot = HOT_FROM_S <= at_s < HOT_UNTIL_S
        return USUAL * team.rate * (HOT if hot else 1.0)

    return rate


async def play_simple(fleet: Fleet, team: Team, way: PartWay | SumWay) -> None:
    """Let the nodes decide by a way that needs no frames for each request."""
    loop = asyncio.get_running_loop()

    async def step() -> None:
        while True:
            await asyncio.sleep(NEWS_S)
            way.step(loop.time())

    def take(name: str, team: Team) -> None:
        now_s = loop.time()
        fleet.requested.append((now_s, team.name))
        if way.take(name, now_s):
            fleet.ran.append((now_s, team.name))
        else:
            fleet.refused.append((now_s, team.name, 0.0))

    stepping = asyncio.create_task(step())
    await asyncio.sleep(FILL_S)
    names = fleet.rng.sample(sorted(fleet.nodes), CLIENTS)
    await send_load(fleet, team.name, names, make_rate(team), END_S, take)
    fleet.frames += way.frames
    fleet.cross_domain_frames += way.frames * (DOMAINS - 1) // DOMAINS
    stepping.cancel()


async def play_holders(fleet: Fleet, team: Team) -> None:
    stepping = asyncio.create_task(step_nodes(fleet))
    await asyncio.sleep(FILL_S)
    names = fleet.rng.sample(sorted(fleet.nodes), CLIENTS)
    await send_load(fleet, team.name, names, make_rate(team), END_S)
    await asyncio.sleep(0.5)
    stepping.cancel()


def play(way: str, rate: float, seed: int) -> Result:
    team = Team("press", rate=rate, burst=rate)
    fleet = Fleet(random.Random(seed))
    loop = VirtualLoop()
    begun_s = time.process_time()

    async def main() -> None:
        fleet.build(DOMAINS, NODES)
        fleet.configure(team)
        if way == "parts":
            await play_simple(fleet, team, PartWay(fleet, team))
        elif way == "sums":
            await play_simple(fleet, team, SumWay(fleet, team))
        else:
            await play_holders(fleet, team)

    try:
        loop.run_until_complete(main())
    finally:
        loop.close()
    spent_s = time.process_time() - begun_s
    return judge(fleet, team, spent_s)


def judge(fleet: Fleet, team: Team, spent_s: float) -> Result:
    first_s = 1000.0 + FILL_S
    hot = (first_s + HOT_FROM_S, first_s + HOT_UNTIL_S)
    calm = [one for one in fleet.requested if one[0] < hot[0]]
    turned_away = [one for one in fleet.refused if one[0] < hot[0]]
    times = [at for at, _ in fleet.ran if hot[0] <= at < hot[1]]
    gaps = [b - a for a, b in zip([hot[0], *times], [*times, hot[1]], strict=True)]
    asked = max(1, len(fleet.requested))
    return Result(
        fleet.find_max_runs(team.name) / compute_max_runs(team),
        len(turned_away) / max(1, len(calm)),
        max(gaps),
        fleet.cross_domain_frames / asked,
        fleet.frames / asked,
        spent_s / asked * 1e6,
    )


def main() -> None:
    logger.remove()
    print(
        f"{'way':8} {'rate':>5} {'most/bound':>10} {'refused':>8} {'gap s':>6} "
        f"{'far/req':>8} {'frames/req':>10} {'cost':>6}"
    )
    for rate in RATES:
        costs: dict[str, float] = {}
        for way in ("parts", "sums", "holders"):
            found = [play(way, rate, seed) for seed in SEEDS]
            costs[way] = statistics.median(one.cost_us for one in found)
            print(
                f"{way:8} {rate:5.0f} {max(one.most for one in found):10.2f} "
                f"{statistics.mean(one.refused for one in found):8.3f} "
                f"{max(one.gap_s for one in found):6.2f} "
                f"{statistics.mean(one.far for one in found):8.2f} "
                f"{statistics.mean(one.frames for one in found):10.2f} "
                f"{costs[way] / costs['parts']:6.2f}"
            )


if __name__ == "__main__":
    main()
