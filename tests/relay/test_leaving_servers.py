"""Servers that announce in their answers that they will stop."""

from __future__ import annotations

import anyio

from eelgrassmount.verdict import Reason
from tests.relay.service_scenario import ServiceScenario, run_scenario

# Time after which a server that announced its stop must get no new requests.
DRAIN_S = 2.0


def test_server_that_announces_its_stop_in_answers_gets_no_new_requests():
    """Its heartbeats still say that it is ready, or are late."""

    async def scenario(setup: ServiceScenario) -> None:
        await setup.send_for(1.0)
        leaving = setup.server_vms[0]
        leaving.server.leaving = True
        await setup.send_for(DRAIN_S)
        await leaving.announce()
        leaving.server.run_times_s.clear()
        await setup.send_for(4.0)
        assert leaving.server.run_times_s == []
        assert setup.count_answers(200) == len(setup.answers)

    run_scenario(scenario)


def test_replacement_of_a_server_that_announced_its_stop_gets_requests():
    async def scenario(setup: ServiceScenario) -> None:
        replaced = setup.server_vms[0]
        replaced.server.leaving = True
        await setup.send_for(1.0)
        refusal = replaced.node.state.server.find_refusal_reason(0.0)
        assert refusal is Reason.DRAINING
        await replaced.restart_server()
        await replaced.announce()
        await anyio.sleep(0.5)
        await setup.send_for(2.0)
        assert replaced.server.run_times_s != []
        assert setup.count_answers(200) == len(setup.answers)

    run_scenario(scenario)
