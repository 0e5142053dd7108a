"""Fleets of whose nodes only those that don't read the log are served by it."""

from __future__ import annotations

import anyio
import pytest

from eelgrassmount.topics.follower import CHECK_WAIT_S, MAX_RETRY_DELAY_S
from eelgrassmount.topics.readers import MIN_READING_TIME_S
from eelgrassmount.topics.subscriptions import MAX_NEWS_AGE_S
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


@pytest.mark.parametrize("fault", ["lose_answers", "turn_away"])
def test_only_readers_read_again_once_they_can(fault):
    """Guards against substitutes that read on for ever."""

    async def scenario(fleet: Fleet) -> None:
        readers = fleet.list_readers()
        getattr(fleet, fault)(readers)
        await anyio.sleep(5.0)
        assert len(fleet.list_readers()) > len(readers)
        fleet.end_losses()
        await anyio.sleep(MAX_RETRY_DELAY_S + MAX_NEWS_AGE_S + MIN_READING_TIME_S + 1.0)
        assert fleet.list_readers() == readers

    play(scenario)


def test_loss_of_the_first_reader_makes_the_others_check_at_their_usual_rate():
    """Guards against readers that make each other check the log in turn."""

    async def scenario(fleet: Fleet) -> None:
        readers = fleet.list_readers()
        fleet.turn_away([vm for vm in readers if vm.node.readers.checks_log])
        before = fleet.deployment.log.calls
        seconds = 6.0
        await anyio.sleep(seconds)
        checks_per_topic = 1 + seconds / CHECK_WAIT_S
        calls = fleet.deployment.log.calls - before
        assert calls <= 2 * len(readers) * checks_per_topic
        assert fleet.list_readers() == readers

    play(scenario)


def test_check_of_one_reader_makes_no_other_check_the_log():
    """Guards against a check of old records that passes for a loss of the log."""

    async def scenario(fleet: Fleet) -> None:
        vm = next(
            vm
            for vm in fleet.list_readers(("b",))
            if len(vm.node.readers.subscriptions) > 1
        )
        before = fleet.deployment.log.calls
        for follower in vm.node.followers:
            follower.check_now()
        await anyio.sleep(0.1)
        # It reads twice, and the node that checks the log at most once.
        assert fleet.deployment.log.calls - before <= 2 * (2 + 1)

    play(scenario)
