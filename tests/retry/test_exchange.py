"""How nodes hear of requests that crash their servers."""

from __future__ import annotations

import anyio
import pytest
from attrs import define, evolve, field

from eelgrassmount.blackboard import Blackboard
from eelgrassmount.gen.ttypes import Gossip, QuarantineNote
from eelgrassmount.members.table import Identity, Member, ServiceSummary
from eelgrassmount.retry.exchange import FAR_NODES, QuarantineExchange
from eelgrassmount.retry.quarantine import Quarantine
from eelgrassmount.timers import ManualClock
from eelgrassmount.util.background import Background

pytestmark = pytest.mark.anyio

NEAR = ("127.1.0.1:1", "127.1.0.2:1", "127.1.0.3:1")
FAR = ("127.2.0.1:1", "127.2.0.2:1", "127.2.0.3:1")


@define
class Network:
    """Nodes that know each other; each message is delivered at once."""

    nodes: dict[str, QuarantineExchange] = field(factory=dict)

    def add(self, address: str, domain: str, group: object) -> None:
        board = Blackboard(Identity(address, domain, "region", address))
        near, far = (NEAR, FAR) if domain == "a" else (FAR, NEAR)
        for other in near:
            identity = evolve(board.identity, address=other)
            board.members.members[other] = Member(identity)
        summary = ServiceSummary("b" if domain == "a" else "a", "s", 1, 3, 1, 1, far)
        board.members.summaries[summary.failure_domain, "s"] = summary
        self.nodes[address] = QuarantineExchange(
            board,
            ManualClock(),
            _Port(self, address),
            Quarantine(),
            Background(group, lambda: None),
        )


@define
class _Port:
    network: Network
    own: str

    async def send(self, address, message):
        self.network.nodes[address].observe(self.own, message.gossip)
        return True


async def test_crashes_and_clearances_reach_every_node() -> None:
    network = Network()
    async with anyio.create_task_group() as group:
        for domain, addresses in (("a", NEAR), ("b", FAR)):
            for address in addresses:
                network.add(address, domain, group)
        first = network.nodes[NEAR[0]]
        first.note_crash("poison", "one")
        await anyio.wait_all_tasks_blocked()
        # all know of it, also those of the other failure domain not told first
        assert len(FAR) > FAR_NODES
        network.nodes[FAR[2]].note_crash("poison", "two")
        await anyio.wait_all_tasks_blocked()
        refusals = [node.check("poison") for node in network.nodes.values()]
        assert None not in refusals
        first.note_success("poison")
        gossip = Gossip()
        first.fill(gossip)
        network.nodes[FAR[1]].observe(NEAR[0], gossip)
        assert network.nodes[FAR[1]].check("poison") is None


async def test_notes_that_say_nothing_are_skipped() -> None:
    network = Network()
    async with anyio.create_task_group() as group:
        network.add(NEAR[0], "a", group)
        notes = [QuarantineNote(), QuarantineNote("poison", 2, 0, ["one", "two"])]
        notes.append(QuarantineNote("poison", 2, 1000, []))
        network.nodes[NEAR[0]].observe(NEAR[1], Gossip(quarantine=notes))
        assert network.nodes[NEAR[0]].quarantine.list_suspects() == []
