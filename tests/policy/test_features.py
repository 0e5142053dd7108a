"""The features that a configuration turns on."""

from __future__ import annotations

from attrs import evolve

from eelgrassmount.policy.features import Features, choose_features
from eelgrassmount.relay.routes import Route, Target

LIST = Route("shop/list/", "shop", "/list/", True, (Target("list", 1.0),), 1, 1, 2, 0)
SHEET = evolve(LIST, name="shop/sheet/", prefix="/sheet/", is_bulk=True)
SLOW = evolve(LIST, name="shop/slow/", prefix="/slow/", objective_s=2.0)


def test_configuration_without_bulk_routes_turns_on_nothing():
    assert choose_features([LIST, SLOW]) == Features()


def test_bulk_route_turns_on_what_needs_no_other_condition():
    assert choose_features([LIST, SHEET]) == Features(
        budgets_calls=True,
        shares_fairly=True,
        plans_retries=True,
        moves_calls=True,
    )


def test_returns_are_expected_if_a_client_may_wait_longer_than_one_attempt():
    assert choose_features([SLOW, SHEET]).expects_returns
