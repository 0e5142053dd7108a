"""Look-up of routes and division of requests among targets."""

from __future__ import annotations

from collections import Counter

from eelgrassmount.relay.routes import Target, TargetChooser
from tests.relay.samples import make_route, make_table


def test_longest_prefix_of_the_host_wins():
    short = make_route("shop/a/")
    long = make_route("shop/a/b/")
    table = make_table(short, long, make_route("other/a/b/c/"))
    assert table.find("shop", "/a/b/c/1") is long
    assert table.find("shop", "/a/x") is short


def test_no_route():
    table = make_table(make_route("shop/a/"))
    assert table.find("shop", "/b/") is None
    assert table.find("elsewhere", "/a/") is None
    # A prefix ends with a slash.
    assert table.find("shop", "/a") is None


def test_shares_hold_over_few_requests():
    targets = (Target("one", 90.0), Target("two", 10.0))
    route = make_route(targets=targets)
    chooser = TargetChooser()
    counts = Counter(chooser.choose(route, 0.7) for _ in range(50))
    assert 4 <= counts["two"] <= 6


def test_target_without_weight_gets_nothing():
    route = make_route(targets=(Target("one", 1.0), Target("two", 0.0)))
    chooser = TargetChooser()
    assert {chooser.choose(route, 0.5) for _ in range(20)} == {"one"}
