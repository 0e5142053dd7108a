"""Fleets whose readers lose answers of the log while their connections stay open."""

from __future__ import annotations

import math
import random

import anyio
import pytest

from standins.platform_log import AnswerLoss, LogFault
from tests.topics.log_fleet import (
    DOMAINS,
    STABLE_WINDOW_S,
    Fleet,
    play,
)

ONE_ANSWER_S = 0.05


# Guards against readers that wait for an answer that was lost, and say that they read.
@pytest.mark.parametrize("loss", AnswerLoss)
@pytest.mark.parametrize(
    ("nodes", "domains"),
    [(1, ("a",)), (2, ("a",)), (3, ("a",)), (4, DOMAINS), (1, DOMAINS)],
)
def test_all_readers_that_lose_one_answer_learn_the_configuration(nodes, domains, loss):
    async def scenario(fleet: Fleet) -> None:
        fleet.lose_answers(fleet.vms, loss)
        acknowledged_s = fleet.configure()
        await anyio.sleep(ONE_ANSWER_S)
        await fleet.expect_version(fleet.end_losses(), acknowledged_s)

    play(scenario, nodes, domains)


@pytest.mark.parametrize("written_at", [0.0, 0.5, 1.0])
@pytest.mark.parametrize("seconds", [0.6, 1.3, 2.2, 3.1, 4.7, 7.9])
def test_configuration_applies_in_time_after_lost_answers(seconds, written_at):
    """Guards against retries that start later than the stable window after a loss."""

    async def scenario(fleet: Fleet) -> None:
        fleet.lose_answers(fleet.vms)
        await anyio.sleep(seconds * written_at)
        acknowledged_s = fleet.configure()
        await anyio.sleep(seconds * (1.0 - written_at))
        await fleet.expect_version(fleet.end_losses(), acknowledged_s)

    play(scenario)


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("seconds", [1.0 + 0.6 * step for step in range(8)])
def test_configuration_applies_in_time_after_a_silent_log(seconds, seed):
    """Guards against long retry delays after calls that took their whole time-out."""

    async def scenario(fleet: Fleet) -> None:
        # Open reads fail, so that those after them fail in the silence.
        fleet.deployment.log.fault = LogFault.SILENT
        fleet.reset_log_connections()
        acknowledged_s = fleet.configure()
        await anyio.sleep(seconds)
        fleet.deployment.log.fault = LogFault.NONE
        await fleet.expect_version(anyio.current_time(), acknowledged_s)

    play(scenario, 1, ("a",), seed)


@pytest.mark.parametrize("domains", [("a",), ("b",), ("a", "b")])
def test_domain_to_which_the_log_is_silent_learns_the_configuration(domains):
    """Guards against readers that wait for the log although others hear from it."""

    async def scenario(fleet: Fleet) -> None:
        fleet.lose_answers(
            [vm for vm in fleet.vms if vm.settings.failure_domain in domains]
        )
        await anyio.sleep(1.0)
        for _ in range(3):
            acknowledged_s = fleet.configure()
            await fleet.expect_version(-math.inf, acknowledged_s)
        await fleet.expect_version(fleet.end_losses(), fleet.configure())

    play(scenario)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("domains", [("a",), DOMAINS])
def test_lost_answers_are_noticed_although_the_first_reader_ends(domains, seed):
    """Guards against nodes that rely on the check of a node that has ended."""

    async def scenario(fleet: Fleet) -> None:
        fleet.lose_answers(fleet.vms)
        acknowledged_s = fleet.configure()
        await anyio.sleep(ONE_ANSWER_S)
        first = next(vm for vm in fleet.vms if vm.node.readers.checks_log)
        fleet.vms.remove(first)
        first.scope.cancel()
        first.node.end()
        await fleet.expect_version(fleet.end_losses(), acknowledged_s)

    play(scenario, 4, domains, seed)


@pytest.mark.parametrize("loss", AnswerLoss)
def test_all_readers_that_lose_one_answer_learn_of_a_new_node(loss):
    """Guards against a check of the configuration's topic only."""

    async def scenario(fleet: Fleet) -> None:
        fleet.lose_answers(fleet.vms, loss)
        await fleet.add("b")
        await anyio.sleep(ONE_ANSWER_S)
        fleet.end_losses()
        await anyio.sleep(STABLE_WINDOW_S)
        records = len(fleet.deployment.log.find("keyed.nodes").records)
        offsets = {vm.node.readers.record_table.next_offset for vm in fleet.vms}
        assert offsets == {records}

    play(scenario)


@pytest.mark.parametrize("seed", range(8))
def test_series_of_lost_answers_restarts_and_changes(seed):
    """Guards against two faults that together leave a node with an old version."""

    async def scenario(fleet: Fleet) -> None:
        rng = random.Random(seed)
        acknowledged_s = ended_s = 0.0
        for _ in range(25):
            await anyio.sleep(rng.choice((0.01, 0.3, 1.1)))
            match rng.choice(("lose", "lose", "end", "write", "write", "restart")):
                case "lose":
                    chosen = rng.sample(fleet.vms, rng.randint(1, len(fleet.vms)))
                    fleet.lose_answers(chosen, rng.choice(list(AnswerLoss)))
                case "end":
                    ended_s = fleet.end_losses()
                case "write":
                    acknowledged_s = fleet.configure()
                case "restart":
                    await fleet.deployment.restart_node(rng.choice(fleet.vms))
                    ended_s = anyio.current_time()
        ended_s = max(ended_s, fleet.end_losses())
        await fleet.expect_version(ended_s, acknowledged_s)

    play(scenario, seed=seed)
