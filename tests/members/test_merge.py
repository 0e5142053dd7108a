"""Merging of reports, independent of their order, and the state built on it."""

from __future__ import annotations

import functools
import random

import pytest
from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from eelgrassmount.gen import ttypes
from eelgrassmount.members import exchange
from eelgrassmount.members.delegates import (
    Urgency,
    choose_addresses,
    find_changes,
    summarize_services,
)
from eelgrassmount.members.flapping import Flapping, compute_hold_s
from eelgrassmount.members.merge import merge_member, merge_summary
from eelgrassmount.members.roster import Roster
from eelgrassmount.members.table import (
    Identity,
    Member,
    MemberState,
    MemberTable,
    ServerState,
    ServiceSummary,
    SummaryTable,
)
from eelgrassmount.members.timing import MAX_ADDRESSES, Timing
from eelgrassmount.members.updates import MemberKey, UpdateQueue
from eelgrassmount.members.wire import decode_member, encode_member

ALIVE, SUSPECT = MemberState.ALIVE, MemberState.SUSPECT
LEFT, DEAD = MemberState.LEFT, MemberState.DEAD
LOCAL = Identity("127.1.0.1:1", "bowbazar", "kolkata", "own")

members = st.builds(
    Member,
    st.builds(
        Identity,
        st.just("127.1.0.2:1"),
        st.just("bowbazar"),
        st.just("kolkata"),
        st.sampled_from(["a", "b", "c"]),
    ),
    heartbeat=st.integers(0, 3),
    state=st.sampled_from(MemberState),
    service=st.sampled_from(["", "jobdesk"]),
    server_state=st.sampled_from(ServerState),
    headroom=st.integers(0, 2),
    started=st.integers(0, 2),
)
summaries = st.builds(
    ServiceSummary,
    st.just("sealdah"),
    st.just("jobdesk"),
    sequence=st.integers(0, 3),
    servers=st.integers(0, 2),
    headroom=st.integers(0, 2),
    threshold=st.integers(0, 2),
    addresses=st.lists(st.sampled_from(["a", "b"]), max_size=2).map(tuple),
)


def member(index=2, **changes):
    identity = Identity(f"127.1.0.{index}:1", "bowbazar", "kolkata", f"i{index}")
    base = Member(identity, 1, ALIVE, "jobdesk", ServerState.SERVING, started=1)
    return evolve(base, **changes)


def make_roster():
    return Roster(LOCAL, Timing(), random.Random(1), MemberTable())


@given(st.lists(members, min_size=1, max_size=6), st.randoms(use_true_random=False))
def test_members_merge_to_the_same_result_in_any_order(reports, rng):
    shuffled = [*rng.sample(reports, len(reports)), reports[0]]
    merged = functools.reduce(merge_member, reports, None)
    assert functools.reduce(merge_member, shuffled, None) == merged
    assert merge_member(merged, merged) == merged


@given(st.lists(summaries, min_size=1, max_size=6), st.randoms(use_true_random=False))
def test_summaries_merge_to_the_same_result_in_any_order(reports, rng):
    shuffled = [*rng.sample(reports, len(reports)), reports[0]]
    merged = functools.reduce(merge_summary, reports, None)
    assert functools.reduce(merge_summary, shuffled, None) == merged


@given(members, members, members)
def test_merging_is_associative(first, second, third):
    left = merge_member(merge_member(first, second), third)
    assert merge_member(first, merge_member(second, third)) == left


@pytest.mark.parametrize(
    ("known", "report", "retained"),
    [
        ({}, {"state": SUSPECT}, "report"),
        ({"state": DEAD}, {"state": SUSPECT}, "known"),
        ({"state": DEAD}, {"heartbeat": 2}, "report"),
        ({"state": LEFT}, {"state": ALIVE}, "known"),
        ({"heartbeat": 9, "state": DEAD}, {"started": 2, "heartbeat": 1}, "report"),
        ({"started": 2}, {"started": 1, "heartbeat": 9}, "known"),
    ],
)
def test_the_higher_rank_is_retained(known, report, retained):
    reports = {"known": member(**known), "report": member(**report)}
    assert merge_member(reports["known"], reports["report"]) == reports[retained]


@given(st.lists(members, max_size=12))
def test_equal_tables_have_equal_digests(reports):
    one, other = make_roster(), make_roster()
    for report in reports:
        if report.present:
            one.apply_member(report, 1.0)
    merged = one.table.members.get("127.1.0.2:1")
    if merged is not None:
        other.apply_member(evolve(merged, received_s=0.0), 2.0)
    assert one.digest == other.digest


@given(members)
def test_a_member_is_decoded_as_it_was_encoded(report):
    for domain in ("bowbazar", "sealdah"):
        struct = encode_member(report, domain)
        assert decode_member(struct, LOCAL, report.received_s) == report


@pytest.mark.parametrize(
    "struct",
    [
        ttypes.Member(),
        ttypes.Member(address="127.1.0.2:1"),
        ttypes.Member(address="127.1.0.2:1", incarnation="a", state=9),
        ttypes.Member(address="x" * 999, incarnation="a"),
    ],
)
def test_malformed_members_are_ignored(struct):
    roster = make_roster()
    exchange.apply(roster, ttypes.Gossip(members=[struct]), 1.0)
    assert list(roster.table.members) == [LOCAL.address]


def test_a_node_refutes_a_report_of_its_death():
    roster = make_roster()
    roster.apply_member(evolve(roster.local_member, state=DEAD), 1.0)
    assert roster.local_member.state is ALIVE
    assert roster.local_member.heartbeat == 2
    assert MemberKey(LOCAL.address) in roster.urgent


def test_a_former_incarnation_is_superseded():
    roster = make_roster()
    identity = evolve(LOCAL, incarnation="former")
    roster.apply_member(Member(identity, heartbeat=70, started=7), 1.0)
    roster.supersede_conflict(2.0)
    assert roster.local_member.started == 8


def test_a_summary_retains_serving_addresses_and_a_lost_one_is_urgent():
    serving = [member(index) for index in range(1, 21)]
    first = summarize_services(serving, {}, "bowbazar", 1.0)["jobdesk"]
    assert len(first.addresses) == MAX_ADDRESSES
    assert first.servers == 20
    left = [one for one in serving if one.identity.address != first.addresses[0]]
    published = {"jobdesk": first}
    then = summarize_services(left, published, "bowbazar", 2.0)
    assert set(first.addresses[1:]) <= set(then["jobdesk"].addresses)
    addresses = frozenset(one.identity.address for one in left)
    (change,) = find_changes(published, then, addresses)
    assert change.urgency is Urgency.URGENT
    (gone,) = find_changes(published, {}, frozenset())
    assert gone.urgency is Urgency.URGENT
    assert gone.summary.servers == 0
    assert gone.summary.sequence == first.sequence + 1


def test_returned_servers_are_published_before_load():
    """A service that has servers again must not wait behind changes of load."""
    servers = [
        member(index, service=service, headroom=9)
        for index, service in enumerate(("busy", "grown", "lost"))
    ]
    present = summarize_services(servers, {}, "bowbazar", 1.0)
    published = {
        "busy": evolve(present["busy"], headroom=1),
        "grown": evolve(present["grown"], servers=2),
        "lost": evolve(present["lost"], servers=0, addresses=()),
    }
    serving = frozenset(
        address for one in present.values() for address in one.addresses
    )
    urgencies = {
        change.summary.service: change.urgency
        for change in find_changes(published, present, serving)
    }
    assert list(urgencies.items()) == [
        ("lost", Urgency.URGENT),
        ("grown", Urgency.SERVERS),
        ("busy", Urgency.LOAD),
    ]


@given(st.sets(st.integers(0, 99), min_size=4), st.data())
def test_a_removed_address_changes_at_most_one_choice(indices, data):
    addresses = [f"127.1.0.{index}:1" for index in indices]
    chosen = choose_addresses("key", addresses, 3)
    gone = data.draw(st.sampled_from(addresses))
    left = [address for address in addresses if address != gone]
    assert len(set(choose_addresses("key", left, 3)) - set(chosen)) <= 1


def test_a_hold_grows_with_suspicions_and_ends():
    flapping = Flapping()
    flapping.record_suspicion("a", 0.0)
    assert not flapping.record_return("a", 1.0)
    flapping.record_suspicion("a", 2.0)
    assert flapping.record_return("a", 3.0)
    assert flapping.holds("a")
    assert flapping.release_due(60.0) == ["a"]
    assert compute_hold_s(20.0) == 60.0
    flapping.release_due(900.0)
    assert flapping == Flapping()


def test_updates_are_sent_the_given_times_and_the_newest_first():
    queue = UpdateQueue()
    queue.add(MemberKey("a"), 1)
    queue.add(MemberKey("b"), 3)
    assert queue.take(1) == [MemberKey("b")]
    queue.add(MemberKey("b"), 3)
    taken = [key for _ in range(9) for key in queue.take(1)]
    assert sorted(key.address for key in taken) == ["a", "b", "b", "b"]


def test_summaries_are_found_by_service_after_every_change() -> None:
    rng = random.Random(1)
    table = SummaryTable()
    for step in range(500):
        key = (rng.choice("xyz"), rng.choice("abc"))
        if key in table and rng.random() < 0.4:
            del table[key]
        else:
            table[key] = ServiceSummary(*key, step, 1, 1, 1, ())
        for service in "abc":
            wanted = [one for one in table.values() if one.service == service]
            found = sorted(table.find(service), key=lambda one: one.sequence)
            assert found == sorted(wanted, key=lambda one: one.sequence)
