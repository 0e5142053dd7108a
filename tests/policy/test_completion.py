"""Begun requests are completed while all servers of a service reject calls."""

from __future__ import annotations

import heapq
import random
from collections import Counter

import pytest
from attrs import frozen

from eelgrassmount.policy.completion import (
    OfferedClass,
    compute_begin_fractions,
    compute_retry_bid,
    estimate_remaining_calls,
)
from eelgrassmount.policy.shedding import RequestClass
from eelgrassmount.relay.budget import RetryBudget
from eelgrassmount.relay.messages import Origin

REJECTED = 0.55
RATIO = 0.2
OUTAGE_S = 8.5
CALL_S = 0.06


@frozen
class Kind:
    """Requests with chains of sequential calls, side by side."""

    offered: OfferedClass
    benefit: float
    chains: int = 1


def make_kind(name, rate, rank, calls, benefit, idempotent=True, chains=1) -> Kind:
    request_class = RequestClass(name, rank)
    return Kind(OfferedClass(request_class, rate, calls, idempotent), benefit, chains)


def make_orders(rank: int) -> list[Kind]:
    return [
        make_kind("pay", 84.0, 0, 1.0, 2.4, idempotent=False),
        make_kind("order", 290.0, rank, 8.0, 1.9, idempotent=False, chains=2),
        make_kind("view", 692.0, 1, 4.0, 1.3),
    ]


BOOKINGS = [
    make_kind("price", 176.0, 1, 1.0, 2.0),
    make_kind("book", 224.0, 0, 8.0, 3.0, idempotent=False, chains=2),
    make_kind("map", 488.0, 2, 4.0, 1.0),
]


@frozen
class Outcome:
    """The share of the benefit, that of the retries used, and the lost requests."""

    benefit: float
    used: float
    lost: Counter[str]


def run_outage(kinds: list[Kind], planned: bool, gated: bool = False) -> Outcome:
    """Loop over the calls of the requests that arrive while servers reject calls."""
    rng = random.Random(3)
    now_s = [1000.0]
    budget = RetryBudget(
        *(lambda: now_s[0], RATIO, 10.0, 0.0, lambda: 1, rng),
        plans_retries=lambda: planned,
        find_other_requests=lambda service: [],
        find_rejected_share=lambda: REJECTED,
    )
    offered = [kind.offered for kind in kinds]
    calls_per_s = sum(one.rate * one.calls for one in offered)
    for _ in range(2000):
        now_s[0] += 0.01
        for _ in range(round(calls_per_s / 100)):
            budget.count_request("list")
    begun = dict.fromkeys((one.request_class for one in offered), 1.0)
    if gated:
        begun = compute_begin_fractions(offered, REJECTED, 0.92 * RATIO * calls_per_s)
    # Time, number, kind, remaining calls of the chain, and of the request.
    events = []
    for kind in kinds:
        one = kind.offered
        for number in range(round(one.rate * OUTAGE_S)):
            at_s, left = now_s[0] + number / one.rate, [int(one.calls)]
            if rng.random() > begun[one.request_class]:
                continue
            for _ in range(kind.chains):
                calls = left[0] // kind.chains
                events.append((at_s, len(events), kind, calls, left))
    heapq.heapify(events)
    retries, completed, lost = 0, 0.0, Counter()
    while events:
        now_s[0], number, kind, calls, left = heapq.heappop(events)
        if not left[0]:
            continue
        budget.count_request("list")
        remaining = kind.chains * calls
        origin = Origin(kind.offered.request_class.rank, True, remaining_runs=remaining)
        accepted = rng.random() > REJECTED
        while not accepted and budget.take("list", origin, True):
            retries += 1
            accepted = rng.random() > REJECTED
        left[0] = left[0] - 1 if accepted else 0
        lost[kind.offered.request_class.route_name] += not accepted
        completed += kind.benefit if accepted and not left[0] else 0.0
        if calls > 1:
            heapq.heappush(events, (now_s[0] + CALL_S, number, kind, calls - 1, left))
    total = sum(kind.offered.rate * kind.benefit for kind in kinds) * OUTAGE_S
    return Outcome(completed / total, retries / (RATIO * calls_per_s * OUTAGE_S), lost)


@pytest.mark.parametrize(
    ("kinds", "target"),
    [(make_orders(0), 0.28), (make_orders(2), 0.28), (BOOKINGS, 0.33)],
    ids=["orders first", "orders last", "bookings"],
)
def test_planned_retries_complete_more_while_servers_reject(kinds, target):
    before = run_outage(kinds, planned=False)
    planned = run_outage(kinds, planned=True)
    assert planned.benefit > max(target, 1.25 * before.benefit)
    assert planned.used > 0.85


def test_classes_that_would_be_lost_are_hardly_begun():
    """Orders of the last rank are outbid; their clients can't repeat lost ones."""
    begun = run_outage(make_orders(2), planned=True)
    gated = run_outage(make_orders(2), planned=True, gated=True)
    assert gated.lost["order"] < 0.05 * begun.lost["order"]
    assert gated.benefit > 0.98 * begun.benefit


def test_classes_that_can_be_completed_are_begun():
    offered = [kind.offered for kind in BOOKINGS]
    fractions = compute_begin_fractions(offered, REJECTED, 700.0)
    assert fractions[RequestClass("book", 0)] == 1.0
    # A rejected single call has not run.
    assert fractions[RequestClass("price", 1)] == 1.0
    for rejected_share in (0.0, 0.1):
        fractions = compute_begin_fractions(offered, rejected_share, 700.0)
        assert set(fractions.values()) == {1.0}


def test_request_one_call_from_its_end_precedes_an_urgent_one_that_needs_eight():
    assert compute_retry_bid(1, 1, REJECTED) > compute_retry_bid(8, 0, REJECTED)
    assert compute_retry_bid(4, 0, REJECTED) > compute_retry_bid(4, 1, REJECTED)
    assert compute_retry_bid(10**6, 10**6, REJECTED) == 0.0


def test_remaining_calls_of_chains_side_by_side():
    remaining = [estimate_remaining_calls(4.0, done, 4.0) for done in range(5)]
    assert remaining == [8, 6, 4, 2, 2]
