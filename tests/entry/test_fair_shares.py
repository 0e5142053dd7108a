"""Division among teams and failure domains over several nodes."""

from __future__ import annotations

import random
from collections import Counter

import pytest
from attrs import define, evolve, field
from loguru import logger
from prometheus_client import CollectorRegistry

from eelgrassmount.entry.fair_shares import MAX_TOLD_GROUPS, FairShares
from eelgrassmount.entry.group_metrics import GroupMetrics
from eelgrassmount.policy.features import Features
from eelgrassmount.policy.shedding import RequestClass
from eelgrassmount.relay.admission import Admission, CallGraph
from eelgrassmount.relay.frames import decode_struct, encode_struct
from eelgrassmount.relay.tallies import Tally, add_tallies, read_tally, write_tally
from tests.relay.samples import make_route, make_table

LIST = make_route("shop/list/")
LIST_CLASS = RequestClass(LIST.name, LIST.priority)
ADMITTED_FRACTION = 0.7
STEPS_PER_EXCHANGE = 4
WARM_UP_STEPS = 20
MEASURED_STEPS = 50
# Requests per control step. All ask for 64, of which 44.8 are admitted.
SMALL_TEAMS = {f"small-{number}": 2 for number in range(20)}
HEAVY_REQUESTS = 24
HEAVY_FRACTION = pytest.approx(4.8 / 24, abs=0.05)


def make_node(domain: str = "a") -> Admission:
    graph = CallGraph()
    graph.set_calls(LIST.name, {})
    admission = Admission(graph, lambda service: ADMITTED_FRACTION)
    admission.rng = random.Random(1)
    admission.fair_shares = FairShares(domain)
    return admission


def copy_tally(node: Admission) -> Tally:
    groups = node.fair_shares.list_told()
    struct = write_tally(Tally(1, dict(node.request_rates), groups=groups))
    return read_tally(decode_struct(type(struct), encode_struct(struct)))


@define(eq=False)
class Nodes:
    """Nodes that exchange their counts, unless they are partitioned."""

    nodes: list[Admission]
    shares_fairly: bool = True
    partitioned: bool = False
    rng: random.Random = field(factory=lambda: random.Random(7))
    offered: Counter = field(factory=Counter)
    admitted: Counter = field(factory=Counter)

    def send(self, group: str, requests: int, nodes: list[Admission]) -> None:
        for _ in range(requests):
            node = self.rng.choice(nodes)
            name = group or node.fair_shares.failure_domain
            self.offered[name] += 1
            self.admitted[name] += node.try_admit(LIST_CLASS, group)

    def step(self, step: int = 1) -> None:
        features = Features(shares_fairly=self.shares_fairly)
        table = evolve(make_table(LIST), features=features)
        for node in self.nodes:
            node.update(table)
        if not self.partitioned and step % STEPS_PER_EXCHANGE == 0:
            total = add_tallies(copy_tally(node) for node in self.nodes)
            for node in self.nodes:
                node.find_offered_rates = lambda: total.offered
                node.fair_shares.find_cluster_counts = lambda: total

    def run(self, send_all) -> dict[str, float]:
        """Return the admitted fractions by group once the load has settled."""
        for step in range(WARM_UP_STEPS + MEASURED_STEPS):
            if step == WARM_UP_STEPS:
                self.offered.clear()
                self.admitted.clear()
            send_all()
            self.step(step)
        return {name: self.admitted[name] / self.offered[name] for name in self.offered}

    def run_heavy_team(self, heavy_nodes: int) -> dict[str, float]:
        """Run while one team sends six times its usual load to some nodes."""

        def send_all() -> None:
            for name, requests in SMALL_TEAMS.items():
                self.send(name, requests, self.nodes)
            self.send("heavy", HEAVY_REQUESTS, self.nodes[:heavy_nodes])

        return self.run(send_all)


@pytest.mark.parametrize(("count", "heavy_nodes"), [(1, 1), (10, 3)])
def test_heavy_team_takes_nothing_from_small_ones(count, heavy_nodes):
    found = Nodes([make_node() for _ in range(count)]).run_heavy_team(heavy_nodes)
    assert min(found[name] for name in SMALL_TEAMS) >= 0.99
    assert found["heavy"] == HEAVY_FRACTION


def test_without_fair_shares_small_teams_lose_as_much_as_the_heavy_one():
    nodes = Nodes([make_node() for _ in range(10)], shares_fairly=False)
    found = nodes.run_heavy_team(3)
    small = sum(found[name] for name in SMALL_TEAMS) / len(SMALL_TEAMS)
    assert (small, found["heavy"]) == pytest.approx((0.7, 0.7), abs=0.02)


def test_wave_in_one_failure_domain_takes_nothing_from_the_others():
    nodes = Nodes([make_node(domain) for domain in "aaabbbccc"])

    def send_all() -> None:
        nodes.send("", 40, nodes.nodes[:3])
        nodes.send("", 16, nodes.nodes[3:])

    found = nodes.run(send_all)
    assert min(found["b"], found["c"]) >= 0.99
    assert found["a"] == pytest.approx((0.7 * 56 - 16) / 40, abs=0.05)


def test_requests_of_no_group_are_not_told():
    nodes = Nodes([make_node("")])
    found = nodes.run(lambda: nodes.send("", 40, nodes.nodes))
    assert found[""] == pytest.approx(ADMITTED_FRACTION, abs=0.01)
    assert nodes.nodes[0].fair_shares.rates == {}


def test_partitioned_node_divides_what_arrives_there():
    found = Nodes([make_node()], partitioned=True).run_heavy_team(1)
    assert min(found[name] for name in SMALL_TEAMS) >= 0.99
    assert found["heavy"] == HEAVY_FRACTION


def test_restarted_node_divides_by_the_counts_that_it_receives():
    nodes = Nodes([make_node() for _ in range(10)])
    nodes.run_heavy_team(3)
    nodes.nodes[0] = restarted = make_node()
    assert restarted.fair_shares.find_group_fraction(LIST_CLASS, "heavy") == 1.0
    # Nothing has arrived there yet, so that its own counts are empty.
    nodes.step(STEPS_PER_EXCHANGE)
    nodes.step()
    fractions = [
        node.fair_shares.find_group_fraction(LIST_CLASS, "heavy")
        for node in nodes.nodes
    ]
    assert set(fractions) == {fractions[0]}
    assert fractions[0] < 0.5


def test_told_groups_are_bounded_and_forgotten():
    nodes = Nodes([make_node()])
    nodes.step()
    for number in range(3000):
        nodes.send(f"t{number}", 1, nodes.nodes)
    nodes.step()
    fair_shares = nodes.nodes[0].fair_shares
    assert len(fair_shares.list_told()) == MAX_TOLD_GROUPS
    fair_shares.update(True, {LIST_CLASS: 1.0})
    assert (len(fair_shares.rates), fair_shares.divisions) == (3000, {})
    for _ in range(30):
        fair_shares.update(True, {LIST_CLASS: 1.0})
    assert (fair_shares.rates, fair_shares.list_told()) == ({}, {})


def test_limited_groups_are_logged_once_and_shown():
    events = []
    sink = logger.add(
        lambda line: events.append(line.record["message"]),
        filter=lambda record: record["extra"].get("group") == "heavy",
    )
    metrics = GroupMetrics(CollectorRegistry())
    nodes = Nodes([make_node()])
    fair_shares = nodes.nodes[0].fair_shares
    fair_shares.on_decision = metrics.count_decision
    nodes.run_heavy_team(1)
    metrics.show_limited(fair_shares.list_limited())
    shown = metrics.registry.get_sample_value(
        "eelgrassmount_relay_limited_group", {"group": "heavy"}
    )
    assert shown == HEAVY_FRACTION
    refused = metrics.decisions.labels("heavy", "refused")._value.get()
    assert refused > 10 * metrics.decisions.labels("light", "refused")._value.get()
    for _ in range(60):
        nodes.step(STEPS_PER_EXCHANGE)
    logger.remove(sink)
    assert events == ["group limited", "group no longer limited"]
