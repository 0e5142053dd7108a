"""Quotas over many nodes under load and faults: no window exceeds the bound."""

from __future__ import annotations

import asyncio

import pytest

from eelgrassmount.teams.directory import Team
from tests.teams.fleet import BOUNDS, Fleet, compute_max_runs, play, send_load

# Normal load as a share of the quota, and the factor of overload on it.
NORMAL_LOAD_SHARE = 0.625
OVERLOAD_FACTOR = 7.5
# Time in which buckets fill before the load starts.
FILL_S = 8.0
SEEDS = range(2)


def make_team(rate: float, name: str = "press", **changes) -> Team:
    return Team(name, rate=rate, burst=rate, **changes)


def make_overload(
    team: Team, from_s: float, until_s: float, factor: float = OVERLOAD_FACTOR
):
    """Return the rate of a team that is overloaded for a while."""

    def rate(at_s: float) -> float:
        return (
            NORMAL_LOAD_SHARE
            * team.rate
            * (factor if from_s <= at_s < until_s else 1.0)
        )

    return rate


async def run_load(fleet: Fleet, team: Team, names: list[str], rate, until_s: float):
    await send_load(fleet, team.name, names, rate, until_s)
    # Requests that wait for an allocator are decided by then.
    await asyncio.sleep(0.5)


def play_overload(
    team: Team,
    clients: int,
    seed: int = 0,
    nodes: int = 20,
    domains: int = 4,
    fault=None,
    until_s: float = 18.0,
) -> Fleet:
    """Play a team with normal load, 7 s of overload and normal load again."""

    async def scenario(fleet: Fleet) -> None:
        fleet.configure(team)
        await asyncio.sleep(FILL_S)
        names = fleet.rng.sample(sorted(fleet.nodes), min(clients, nodes))
        rate = make_overload(team, 4.0, 11.0)
        loads = [run_load(fleet, team, names, rate, until_s)]
        if fault is not None:
            loads.append(fault(fleet))
        await asyncio.gather(*loads)

    fleet = play(scenario, domains, nodes, seed)
    assert fleet.find_max_runs(team.name) <= compute_max_runs(team)
    return fleet


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("rate", [1.0, 10.0, 250.0])
@pytest.mark.parametrize("clients", [1, 3, 20])
def test_overloaded_team_gets_its_quota_and_no_more(rate, clients, seed):
    team = make_team(rate)
    fleet = play_overload(team, clients, seed)
    ran_in_overload = sum(
        1 for at, _ in fleet.ran if 1000.0 + FILL_S + 5.0 <= at < 1000.0 + FILL_S + 11.0
    )
    # The last 6 s of the overload use the whole quota.
    assert ran_in_overload >= 0.85 * 6.0 * rate - 2.0


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("rate", [2.0, 40.0])
@pytest.mark.parametrize("clients", [1, 3, 20])
def test_team_below_its_quota_is_not_refused(rate, clients, seed):
    async def scenario(fleet: Fleet) -> None:
        team = make_team(rate)
        fleet.configure(team)
        await asyncio.sleep(FILL_S)
        names = fleet.rng.sample(sorted(fleet.nodes), clients)
        await run_load(fleet, team, names, lambda at_s: NORMAL_LOAD_SHARE * rate, 20.0)

    fleet = play(scenario, seed=seed)
    requested = len(fleet.requested)
    # Random arrivals exceed the quota for moments.
    assert len(fleet.refused) <= 0.02 * requested + 1


def test_burst_of_the_whole_quota_is_admitted_by_one_or_all_nodes():
    for clients in (1, 20):

        async def scenario(fleet: Fleet, clients: int = clients) -> None:
            team = make_team(20.0)
            fleet.configure(team)
            await asyncio.sleep(FILL_S)
            names = sorted(fleet.nodes)[:clients]
            for number in range(20):
                fleet.nodes[names[number % clients]].send_request(team)
            await asyncio.sleep(0.5)

        fleet = play(scenario)
        assert len(fleet.ran) >= 18


@pytest.mark.parametrize("seed", SEEDS)
def test_team_is_served_while_two_others_are_overloaded(seed):
    normal = make_team(20.0, "calm")
    overloaded = [make_team(100.0, "hot-1"), make_team(60.0, "hot-2")]

    async def scenario(fleet: Fleet) -> None:
        fleet.configure(normal, *overloaded)
        await asyncio.sleep(FILL_S)
        names = sorted(fleet.nodes)
        await asyncio.gather(
            run_load(
                fleet, normal, names[:5], lambda at_s: NORMAL_LOAD_SHARE * 20.0, 15.0
            ),
            *(
                run_load(fleet, one, names, make_overload(one, 3.0, 12.0, 9.0), 15.0)
                for one in overloaded
            ),
        )

    fleet = play(scenario, seed=seed)
    for team in (normal, *overloaded):
        assert fleet.find_max_runs(team.name) <= compute_max_runs(team)
    refused = fleet.count(fleet.refused, "calm")
    assert refused <= 0.02 * fleet.count(fleet.requested, "calm") + 1


def make_faults() -> dict:
    async def partition_domain(fleet: Fleet) -> None:
        await asyncio.sleep(6.0)
        fleet.partitioned.add("a")
        await asyncio.sleep(6.0)
        fleet.partitioned.clear()

    async def partition_all_domains(fleet: Fleet) -> None:
        await asyncio.sleep(5.0)
        fleet.partitioned.update("abcd")
        await asyncio.sleep(5.0)
        fleet.partitioned.clear()

    async def kill_allocators(fleet: Fleet) -> None:
        for moment in range(4):
            await asyncio.sleep(3.0 if not moment else 1.5)
            allocators = [names[0] for names in list_by_domain(fleet)]
            fleet.kill(*allocators)
            await asyncio.sleep(0.8)
            fleet.restart(*allocators)

    async def kill_all(fleet: Fleet) -> None:
        await asyncio.sleep(6.0)
        names = list(fleet.nodes)
        fleet.kill(*names)
        await asyncio.sleep(1.3)
        fleet.restart(*names)

    async def restart_all_twice(fleet: Fleet) -> None:
        await asyncio.sleep(5.5)
        for _ in range(2):
            fleet.kill(*fleet.nodes)
            await asyncio.sleep(0.3)
            fleet.restart(*fleet.nodes)
            await asyncio.sleep(1.2)

    async def pause_allocators(fleet: Fleet) -> None:
        await asyncio.sleep(4.5)
        allocators = [name for names in list_by_domain(fleet) for name in names[:2]]
        for name in allocators:
            fleet.pause(name)
        await asyncio.sleep(2.5)
        for name in allocators:
            fleet.resume(name)

    async def restart_one_by_one(fleet: Fleet) -> None:
        await asyncio.sleep(3.0)
        for name in sorted(fleet.nodes):
            fleet.kill(name)
            await asyncio.sleep(0.3)
            fleet.restart(name)
            await asyncio.sleep(0.2)

    async def drop_frames(fleet: Fleet) -> None:
        fleet.drops_frame = lambda kind: fleet.rng.random() < 0.2
        await asyncio.sleep(12.0)
        fleet.drops_frame = lambda kind: False

    async def add_nodes(fleet: Fleet) -> None:
        await asyncio.sleep(6.0)
        from tests.teams.fleet import Node

        for number in range(10):
            name = f"{'abcd'[number % 4]}-9{number:02}"
            fleet.nodes[name] = Node(fleet, name, name[0])
            await asyncio.sleep(0.1)

    return {
        one.__name__: one
        for one in (
            *(
                partition_domain,
                partition_all_domains,
                kill_allocators,
                kill_all,
                restart_one_by_one,
            ),
            *(restart_all_twice, pause_allocators, drop_frames, add_nodes),
        )
    }


def list_by_domain(fleet: Fleet) -> list[list[str]]:
    node = next(iter(fleet.nodes.values()))
    return list(node.list_domains().values())


FAULTS = make_faults()


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("rate", [2.0, 100.0])
@pytest.mark.parametrize("fault", FAULTS)
def test_no_fault_lets_an_overloaded_team_exceed_its_quota(fault, rate, seed):
    fleet = play_overload(make_team(rate), 8, seed, fault=FAULTS[fault])
    # Requests run after the fault.
    assert fleet.count(fleet.ran, "press", 1000.0 + FILL_S + 15.0)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(
    "fault", ["partition_domain", "kill_allocators", "restart_one_by_one", "add_nodes"]
)
def test_faults_refuse_few_requests_of_a_team_below_its_quota(fault, seed):
    async def scenario(fleet: Fleet) -> None:
        team = make_team(40.0)
        fleet.configure(team)
        await asyncio.sleep(FILL_S)
        names = sorted(fleet.nodes)
        load = run_load(fleet, team, names, lambda at_s: NORMAL_LOAD_SHARE * 40.0, 18.0)
        await asyncio.gather(load, FAULTS[fault](fleet))

    fleet = play(scenario, seed=seed)
    assert len(fleet.refused) <= 0.05 * len(fleet.requested)


@pytest.mark.parametrize("seed", SEEDS)
def test_lowered_quota_applies_within_a_window_and_a_raised_one_at_once(seed):
    team = make_team(60.0)
    low_s, high_s = 6.0, 14.0

    async def scenario(fleet: Fleet) -> None:
        fleet.configure(team)
        await asyncio.sleep(FILL_S)

        async def change() -> None:
            await asyncio.sleep(low_s)
            fleet.change("press", rate=10.0, burst=10.0)
            await asyncio.sleep(high_s - low_s)
            fleet.change("press", rate=60.0, burst=60.0)

        names = sorted(fleet.nodes)
        load = run_load(fleet, team, names, lambda at_s: 60.0, 20.0)
        await asyncio.gather(load, change())

    fleet = play(scenario, seed=seed)
    start_s = 1000.0 + FILL_S
    lowered = [
        one for one in fleet.ran if start_s + low_s + 0.5 <= one[0] < start_s + high_s
    ]
    bound = compute_max_runs(make_team(10.0))
    assert Fleet(fleet.rng, ran=lowered).find_max_runs("press") <= bound
    assert fleet.count(fleet.ran, "press", start_s + high_s + 1.0) >= 0.8 * 60.0 * 4.5


def test_client_that_retries_at_the_indicated_time_is_served():
    team = make_team(10.0)

    async def scenario(fleet: Fleet) -> None:
        fleet.configure(team)
        await asyncio.sleep(FILL_S)
        node = fleet.nodes["a-000"]
        for _ in range(60):
            node.send_request(team)
        await asyncio.sleep(0.3)
        refusals = list(fleet.refused)
        waits = sorted(wait_s for _, _, wait_s in refusals)
        assert len(waits) > 20
        # Retry times are spread.
        assert waits[-1] > 10 * waits[0]
        loop = asyncio.get_running_loop()
        for at_s, _, wait_s in refusals:
            if wait_s < 6.0:
                loop.call_at(at_s + wait_s + 0.01, node.send_request, team)
        before = len(fleet.refused)
        await asyncio.sleep(6.0)
        retries = sum(wait_s < 6.0 for wait_s in waits)
        assert len(fleet.refused) - before <= 0.1 * retries

    play(scenario)


def test_most_frames_stay_within_failure_domains():
    fleet = play_overload(make_team(250.0), 20)
    assert fleet.cross_domain_frames <= 0.2 * fleet.frames


def test_single_node_allocates_the_whole_quota():
    team = make_team(10.0)
    fleet = play_overload(team, 1, nodes=1, domains=1)
    assert fleet.find_max_runs("press") >= 0.9 * team.rate * BOUNDS.window_s
