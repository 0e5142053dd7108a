"""Servers that name a rate limit, called by clients on several VMs."""

from __future__ import annotations

import statistics
import time

import pytest

from tests.relay.service_scenario import (
    NOTICE_S,
    WINDOW_S,
    ServiceScenario,
    compute_allowed_runs,
    find_max_runs,
    run_scenario,
)


@pytest.mark.parametrize("limit_per_s", [0.5, 2.0, 6.0])
def test_server_gets_its_rate_limit_at_most_from_all_nodes_together(limit_per_s):
    async def scenario(setup: ServiceScenario) -> None:
        await setup.send_for(2.0)
        limited = setup.servers[0]
        limited.rate_limit = str(limit_per_s)
        named_s = time.monotonic()
        await setup.send_for(10.0)
        runs = find_max_runs(limited, named_s + NOTICE_S)
        assert 0 < runs <= compute_allowed_runs(limit_per_s)
        # The other server has room for the rest.
        assert setup.count_answers(200) == len(setup.answers)

    run_scenario(scenario)


def test_room_of_limited_servers_is_used_and_refusals_are_true():
    """All servers of the service take less than the clients send."""
    limits_per_s = (4.0, 2.0, 0.4)

    async def scenario(setup: ServiceScenario) -> None:
        await setup.send_for(1.0)
        setup.answers.clear()
        for server, limit in zip(setup.servers, limits_per_s, strict=True):
            server.rate_limit = str(limit)
            server.run_times_s.clear()
        named_s = time.monotonic()
        await setup.send_for(20.0)
        for server, limit in zip(setup.servers, limits_per_s, strict=True):
            runs = find_max_runs(server, named_s + NOTICE_S)
            assert runs <= compute_allowed_runs(limit)
        served = setup.count_answers(200)
        assert served >= 0.9 * 20.0 * sum(limits_per_s)
        # Each request runs once, or is refused and runs nowhere.
        assert setup.count_answers(503) == len(setup.answers) - served
        assert served == sum(len(server.run_times_s) for server in setup.servers)

    run_scenario(scenario, servers=3)


def test_limit_holds_over_many_nodes_with_less_than_one_request_per_second_each():
    limits_per_s = (0.5, 1.5)

    async def scenario(setup: ServiceScenario) -> None:
        await setup.send_for(4.0)
        for server, limit in zip(setup.servers, limits_per_s, strict=True):
            server.rate_limit = str(limit)
        # A limit is noticed with the next answer.
        await setup.send_for(2.0)
        named_s = time.monotonic()
        await setup.send_for(16.0)
        for server, limit in zip(setup.servers, limits_per_s, strict=True):
            runs = find_max_runs(server, named_s)
            assert 0.8 * limit * WINDOW_S <= runs <= compute_allowed_runs(limit)

    run_scenario(scenario, rates_per_s=(0.5,) * 24, staggered=True)


def test_others_take_the_requests_beyond_a_rate_limit_without_detours():
    """Nodes know of the limit, and don't find out by a refusal of each request."""

    async def scenario(setup: ServiceScenario) -> None:
        setup.servers[0].rate_limit = "2"
        await setup.send_for(2.0)
        refused_before = setup.count_refused_attempts()
        setup.answers.clear()
        await setup.send_for(10.0)
        refused = setup.count_refused_attempts() - refused_before
        assert setup.count_answers(200) == len(setup.answers)
        assert refused <= 0.05 * len(setup.answers)

    run_scenario(scenario)


@pytest.mark.parametrize("change", [None, "40", "many"])
def test_limit_holds_until_it_is_raised_or_no_longer_named(change):
    """A value that can't be parsed leaves the limit as it is."""

    async def scenario(setup: ServiceScenario) -> None:
        limited = setup.servers[0]
        limited.rate_limit = "2"
        await setup.send_for(4.0)
        limited.rate_limit = change
        await setup.send_for(2.0)
        limited.run_times_s.clear()
        await setup.send_for(8.0)
        if change == "many":
            assert len(limited.run_times_s) <= 8.0 * 2 + 2
        else:
            assert len(limited.run_times_s) >= 8.0 * 2 * 2
        assert setup.count_answers(200) == len(setup.answers)

    run_scenario(scenario)


def test_limit_holds_while_the_log_is_away():
    async def scenario(setup: ServiceScenario) -> None:
        await setup.send_for(1.0)
        setup.deployment.log.listener.end()
        limited = setup.servers[0]
        limited.rate_limit = "2"
        named_s = time.monotonic()
        await setup.send_for(10.0)
        assert find_max_runs(limited, named_s + NOTICE_S) <= compute_allowed_runs(2.0)
        assert setup.count_answers(200) == len(setup.answers)

    run_scenario(scenario)


def test_client_is_told_to_come_back_when_the_rate_limit_allows_a_call():
    """Clients that come back sooner are refused again."""

    async def scenario(setup: ServiceScenario) -> None:
        setup.servers[0].rate_limit = "0.5"
        await setup.send_for(3.0)
        setup.answers.clear()
        await setup.send_for(1.0)
        refusals = [one for one in setup.answers if one.status == 503]
        assert len(refusals) >= len(setup.answers) - 1
        delays_s = [float(dict(one.headers)[b"retry-after"]) for one in refusals]
        # Calls may start every 2 s.
        assert statistics.mean(delays_s) > 0.5

    run_scenario(scenario, servers=1)
