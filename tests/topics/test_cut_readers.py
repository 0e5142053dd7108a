"""Fleets of whose nodes only those that don't read the log are served by it."""

from __future__ import annotations

import anyio
import pytest

from tests.topics.log_fleet import DOMAINS, MAX_APPLY_TIME_S, Fleet, play

FOUR_DOMAINS = ("a", "b", "c", "d")


# Guards against nodes that wait for readers that can't read the log.
@pytest.mark.parametrize("written_after_s", [0.0, 0.4, 1.0, 2.5, 6.0])
@pytest.mark.parametrize("fault", ["lose_answers", "turn_away"])
@pytest.mark.parametrize(
    ("nodes", "domains"), [(3, ("a",)), (5, ("a",)), (4, DOMAINS), (4, FOUR_DOMAINS)]
)
def test_nodes_with_the_log_learn_the_configuration_without_readers(
    nodes, domains, fault, written_after_s
):
    async def scenario(fleet: Fleet) -> None:
        readers = fleet.list_readers(domains)
        getattr(fleet, fault)(readers)
        await anyio.sleep(written_after_s)
        fleet.configure()
        await anyio.sleep(MAX_APPLY_TIME_S)
        assert fleet.list_outdated(readers) == []

    play(scenario, nodes, domains)


@pytest.mark.parametrize("fault", ["lose_answers", "turn_away"])
def test_nodes_with_the_log_learn_each_of_several_configurations(fault):
    """Guards against readers that forget who reads the log in their place."""

    async def scenario(fleet: Fleet) -> None:
        readers = fleet.list_readers()
        getattr(fleet, fault)(readers)
        for _ in range(12):
            fleet.configure()
            await anyio.sleep(MAX_APPLY_TIME_S)
            assert fleet.list_outdated(readers) == []

    play(scenario)
