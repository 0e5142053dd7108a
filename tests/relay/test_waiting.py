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


def send_together(count, rules, act=None):
    """Send requests to a node without tokens; call ``act`` while they wait.

    The node earns 8 tokens per second. Return the answers, the ends of the waits and
    the requests that ran.
    """
    answers, outcomes, runs = [], {}, []

    async def send(front, number):
        names = {"request_id": f"a{number}", "eelgrassmount_deadline_ms": "5000"}
        answers.append(await send_as_client(front, "/list/1", **names))

    async def main(network):
        async with anyio.create_task_group() as group:
            deployment = Deployment(group)
            await deployment.start(*rules)
            front = await deployment.add("front")
            server = (await deployment.add("list")).server
            await deployment.wait_until_connected()
            ingress = front.node.ingress
            budget = FakeBudget(8.0, 0.0, front.node.state.clock())
            ingress.waiting_room.budget = ingress.returns.budget = budget
            async with anyio.create_task_group() as clients:
                for number in range(count):
                    clients.start_soon(send, front, number)
                if act is not None:
                    await anyio.sleep(0.05)
                    await act(deployment, front)
            outcomes.update(ingress.waiting_room.outcomes)
            runs.extend(server.runs)
            await deployment.end()
            group.cancel_scope.cancel()

    run_virtually(main)
    return answers, outcomes, runs


@pytest.mark.parametrize(
    ("rules", "statuses"), [(RULES, [200, 200, 200]), (BULK_RULES, [200, 503, 503])]
)
def test_requests_wait_only_if_the_configuration_turns_it_on(rules, statuses):
    answers, outcomes, runs = send_together(3, rules)
    assert sorted(answer.status for answer in answers) == statuses
    assert outcomes == ({"started": 1} if rules is BULK_RULES else {})
    assert len(runs) == statuses.count(200)
    for answer in answers:
        if answer.status == 503:
            delay_s = float(dict(answer.headers)[b"retry-after"])
            assert 0.35 * 1.6 * 0.8 <= delay_s <= 1.6


async def _stop(deployment, front):
    started_s = front.node.state.clock()
    await stop_relay(front.node)
    assert front.node.state.clock() - started_s < front.settings.grace_s


async def _remove_route(deployment, front):
    deployment.configure(2, BULK_RULES[1])


async def _turn_off(deployment, front):
    front.node.ingress.waiting_room.budget.rate = 0.0
    deployment.configure(2, *RULES)


@pytest.mark.parametrize(
    ("act", "status", "outcome"),
    [
        (_stop, 503, "stopped"),
        (_remove_route, 503, "unrouted"),
        (_turn_off, 200, "started"),
    ],
)
def test_changes_of_the_node_end_the_waits(act, status, outcome):
    answers, outcomes, runs = send_together(1, BULK_RULES, act)
    assert [answer.status for answer in answers] == [status]
    assert outcomes == {outcome: 1}
    assert len(runs) == (status == 200)
