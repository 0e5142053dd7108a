"""Exchange of quarantined requests between nodes."""

from __future__ import annotations

import anyio
import pytest
from attrs import define, evolve, field

from eelgrassmount.gen.ttypes import Gossip, QuarantineNote
from eelgrassmount.members.table import Identity, Member, ServiceSummary
from eelgrassmount.retry.exchange import MAX_NODES_PER_REMOTE_DOMAIN, QuarantineExchange
from eelgrassmount.retry.quarantine import Quarantine
from eelgrassmount.shared_node_state import SharedNodeState
from eelgrassmount.timers import ManualClock
from eelgrassmount.util.background import Background

pytestmark = pytest.mark.anyio

DOMAIN_A = ("127.1.0.1:1", "127.1.0.2:1", "127.1.0.3:1")
DOMAIN_B = ("127.2.0.1:1", "127.2.0.2:1", "127.2.0.3:1")


@define
class Network:
    """Nodes that know each other; each message is delivered immediately."""

    nodes: dict[str, QuarantineExchange] = field(factory=dict)

    def add(self, address: str, domain: str, group: object) -> None:
        shared_state = SharedNodeState(Identity(address, domain, "region", address))
        local, remote = (DOMAIN_A, DOMAIN_B) if domain == "a" else (DOMAIN_B, DOMAIN_A)
        for other in local:
            identity = evolve(shared_state.identity, address=other)
            shared_state.members.members[other] = Member(identity)
        summary = ServiceSummary("b" if domain == "a" else "a", "s", 1, 3, 1, 1, remote)
        shared_state.members.summaries[summary.failure_domain, "s"] = summary
        self.nodes[address] = QuarantineExchange(
            shared_state,
            ManualClock(),
            _PeerPort(self, address),
            Quarantine(),
            Background(group, lambda: None),
        )


@define
class _PeerPort:
    network: Network
    local_address: str

    async def send(self, address, message):
        self.network.nodes[address].observe(self.local_address, message.gossip)
        return True


async def test_crashes_and_clearances_reach_every_node() -> None:
    network = Network()
    async with anyio.create_task_group() as group:
        for domain, addresses in (("a", DOMAIN_A), ("b", DOMAIN_B)):
            for address in addresses:
                network.add(address, domain, group)
        first = network.nodes[DOMAIN_A[0]]
        first.record_crash("poison", "one")
        await anyio.wait_all_tasks_blocked()
        # Nodes that were not notified directly learn of the crash in their own domain.
        assert len(DOMAIN_B) > MAX_NODES_PER_REMOTE_DOMAIN
        network.nodes[DOMAIN_B[2]].record_crash("poison", "two")
        await anyio.wait_all_tasks_blocked()
        refusals = [node.check("poison") for node in network.nodes.values()]
        assert None not in refusals
        first.record_success("poison")
        gossip = Gossip()
        first.fill(gossip)
        network.nodes[DOMAIN_B[1]].observe(DOMAIN_A[0], gossip)
        assert network.nodes[DOMAIN_B[1]].check("poison") is None


async def test_incomplete_notes_are_ignored() -> None:
    network = Network()
    async with anyio.create_task_group() as group:
        network.add(DOMAIN_A[0], "a", group)
        notes = [QuarantineNote(), QuarantineNote("poison", 2, 0, ["one", "two"])]
        notes.append(QuarantineNote("poison", 2, 1000, []))
        network.nodes[DOMAIN_A[0]].observe(DOMAIN_A[1], Gossip(quarantine=notes))
        assert network.nodes[DOMAIN_A[0]].quarantine.list_suspects() == []
