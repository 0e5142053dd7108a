"""Division among teams at whole nodes, with a virtual network and clock."""

from __future__ import annotations

from collections import Counter

import anyio

from tests.relay.deployment import Deployment, Vm, make_rule, make_team, send_as_client
from tests.relay.virtual import run_virtually

LIST = make_rule("/list/", "list")
SHEET = make_rule("/sheet/", "sheet", kind="download")
TEAMS = [make_team("press", "press"), make_team("guild", "guild")]


def test_heavy_team_is_limited_at_all_nodes():
    answers: Counter[tuple[str, int]] = Counter()

    async def request_often(vm: Vm, key: str, interval_s: float) -> None:
        while True:
            answer = await send_as_client(vm, "/list/1", x_api_key=key)
            answers[key, answer.status] += 1
            await anyio.sleep(interval_s)

    async def main(network) -> None:
        async with anyio.create_task_group() as group:
            deployment = Deployment(group)
            await deployment.start()
            deployment.configure(1, LIST, SHEET, teams=TEAMS)
            for domain in "aabb":
                vm = await deployment.add("list", domain)
                vm.node.admission.find_admitted_fraction = lambda service: 0.6
            await deployment.wait_until_connected()
            # The heavy team enters at one node, the other one everywhere.
            group.start_soon(request_often, deployment.vms[0], "press", 0.02)
            for vm in deployment.vms:
                group.start_soon(request_often, vm, "guild", 0.5)
            await anyio.sleep(6.0)
            answers.clear()
            await anyio.sleep(6.0)
            for vm in deployment.vms:
                limited = vm.node.admission.fair_shares.list_limited()
                assert [one.key.group for one in limited] == ["press"]
            await deployment.end()
            group.cancel_scope.cancel()

    run_virtually(main)
    assert answers["guild", 200] > 40
    assert answers["guild", 503] == 0
    assert answers["press", 503] > answers["press", 200] / 2
