"""Counts summed over many nodes and sent on."""

from __future__ import annotations

from eelgrassmount.policy.fair_shares import GroupKey
from eelgrassmount.policy.shedding import RequestClass
from eelgrassmount.relay.frames import decode_struct, encode_struct
from eelgrassmount.relay.tallies import (
    MAX_GROUPS,
    MAX_ROWS,
    ServiceCounts,
    Tally,
    add_tallies,
    read_tally,
    write_tally,
)


def make_tally(service: str = "desk") -> Tally:
    return Tally(
        1,
        {RequestClass("shop/book/", 3): 0.5},
        {service: ServiceCounts(1, {"shop/book/": 4.0})},
        {"shop/book/": 3.0},
        {("shop/book/", "shop/list/"): 6.0},
        {GroupKey(RequestClass("shop/book/", 3), "press"): 0.5},
    )


def send(tally: Tally) -> Tally:
    struct = write_tally(tally)
    return read_tally(decode_struct(type(struct), encode_struct(struct)))


def test_counts_are_added_by_route_and_service():
    total = add_tallies([make_tally(), make_tally(), make_tally("rate")])
    assert total.nodes == 3
    assert total.offered == {RequestClass("shop/book/", 3): 1.5}
    assert total.requested["desk"] == ServiceCounts(2, {"shop/book/": 8.0})
    assert total.requested["rate"] == ServiceCounts(1, {"shop/book/": 4.0})
    assert total.calls == {("shop/book/", "shop/list/"): 18.0}
    assert total.groups == {GroupKey(RequestClass("shop/book/", 3), "press"): 1.5}


def test_adding_does_not_change_the_added_tally():
    one = make_tally()
    total = add_tallies([one, one])
    total.scale(3.0)
    assert one == make_tally()
    assert total.nodes == 6
    assert total.requested["desk"] == ServiceCounts(6, {"shop/book/": 24.0})


def test_counts_survive_encoding():
    total = add_tallies([make_tally(), make_tally("rate")])
    assert send(total) == total
    assert send(Tally()) == Tally()


def test_only_the_largest_counts_of_many_routes_are_sent():
    rates = {
        RequestClass(f"shop/{number}/", 0): float(number)
        for number in range(3 * MAX_ROWS)
    }
    sent = send(Tally(1, rates)).offered
    assert len(sent) == MAX_ROWS
    assert min(sent.values()) == 2 * MAX_ROWS


def test_sums_keep_only_the_heaviest_groups():
    groups = {
        GroupKey(RequestClass("shop/list/", 0), f"team-{number}"): 1.0 + number
        for number in range(3 * MAX_GROUPS)
    }
    total = add_tallies([Tally(1, groups=groups)])
    assert len(total.groups) == MAX_GROUPS
    assert min(total.groups.values()) == 1.0 + 2 * MAX_GROUPS
    assert send(Tally(1, groups=groups)) == total
