"""Nodes whose budget of calls runs short, with requests on connections."""

from __future__ import annotations

import anyio
import pytest

from eelgrassmount.compose.relay_run import stop_relay
from tests.entry.entry_scenario import FakeBudget
from tests.relay.deployment import Deployment, make_rule, send_as_client
from tests.relay.virtual import run_virtually

SLOW = {"targetLatencyMs": 1600, "action": {"timeoutMs": 1500}}
RULES = (make_rule("/list/", "list", **SLOW), make_rule("/sheet/", "sheet"))
BULK_RULES = (RULES[0], {**RULES[1], "kind": "download"})


def run_scenario(scenario, *rules):
    """Run a scenario with a node that has no tokens and earns 8 per second."""

    async def main(network):
        async with anyio.create_task_group() as group:
            deployment = Deployment(group)
            await deployment.start(*rules)
            try:
                front = await deployment.add("front")
                await deployment.add("list")
                await deployment.wait_until_connected()
                budget = FakeBudget(rate=8.0, tokens=0.0)
                budget.updated_s = front.node.state.clock()
                front.node.ingress.waiting_room.budget = budget
                front.node.ingress.returns.budget = budget
                with anyio.fail_after(60):
                    await scenario(deployment, front)
            finally:
                await deployment.end()
                group.cancel_scope.cancel()

    run_virtually(main)


async def _send_together(front, count, action=None):
    """Send requests at once and return the answers; call an action while they wait."""
    answers = []

    async def send(number):
        answers.append(
            await send_as_client(
                front,
                "/list/1",
                request_id=f"a{number}",
                eelgrassmount_deadline_ms="5000",
            )
        )

    async with anyio.create_task_group() as group:
        for number in range(count):
            group.start_soon(send, number)
        if action is not None:
            await anyio.sleep(0.05)
            await action()
    return answers


@pytest.mark.parametrize(
    ("rules", "statuses"), [(RULES, [200, 200, 200]), (BULK_RULES, [200, 503, 503])]
)
def test_requests_wait_only_if_the_configuration_turns_it_on(rules, statuses):
    async def scenario(deployment, front):
        answers = await _send_together(front, 3)
        room = front.node.ingress.waiting_room
        assert sorted(answer.status for answer in answers) == statuses
        assert sum(room.outcomes.values()) == (rules is BULK_RULES)
        for answer in answers:
            if answer.status == 503:
                delay_s = float(dict(answer.headers)[b"retry-after"])
                assert 0.35 * 1.6 * 0.8 <= delay_s <= 1.6

    run_scenario(scenario, *rules)


def test_a_stopping_node_answers_the_waiting_requests_at_once():
    async def scenario(deployment, front):
        started_s = front.node.state.clock()
        answers = await _send_together(front, 1, lambda: stop_relay(front.node))
        assert [answer.status for answer in answers] == [503]
        assert front.node.decisions is not None
        assert deployment.vms[1].server.runs == []
        assert front.node.ingress.waiting_room.outcomes == {"stopped": 1}
        assert front.node.state.clock() - started_s < front.settings.grace_s

    run_scenario(scenario, *BULK_RULES)


def test_a_removed_route_ends_the_wait_of_its_requests():
    async def scenario(deployment, front):
        async def remove():
            deployment.configure(2, BULK_RULES[1])
            table = front.node.state.table
            while front.node.state.table is table:
                await anyio.sleep(0.001)

        answers = await _send_together(front, 1, remove)
        assert [answer.status for answer in answers] == [503]
        assert front.node.ingress.waiting_room.outcomes == {"unrouted": 1}

    run_scenario(scenario, *BULK_RULES)


def test_a_configuration_without_the_feature_starts_all_requests():
    async def scenario(deployment, front):
        async def change():
            deployment.configure(2, *RULES)

        answers = await _send_together(front, 1, change)
        assert [answer.status for answer in answers] == [200]
        assert len(front.node.ingress.waiting_room) == 0

    run_scenario(scenario, *BULK_RULES)
