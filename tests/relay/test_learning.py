"""Vectors that nodes learn from their own counts and tell each other."""

from __future__ import annotations

import pytest

from eelgrassmount.relay.admission import CallGraph
from eelgrassmount.relay.members import MemberTable
from eelgrassmount.relay.node import Beliefs, Controllers
from eelgrassmount.relay.server import LocalServer
from eelgrassmount.util.addresses import Address
from tests.relay.samples import make_route, make_table


def make_beliefs() -> Beliefs:
    server = LocalServer("desk", Address("127.0.0.1", 80))
    members = MemberTable("own")
    beliefs = Beliefs("own", "i", server, members, CallGraph(), lambda: 1.0, None)
    beliefs.table = make_table(make_route("shop/book/"), make_route("shop/part/"))
    return beliefs


def test_counts_of_runs_and_calls_become_a_vector():
    beliefs = make_beliefs()
    controllers = Controllers(beliefs, None, None, None, lambda: None, "near")
    for count in (1, 4, 2, 7, 3, 9, 5):
        for _ in range(count):
            beliefs.counts.note_run("shop/book/")
            beliefs.counts.note_call("shop/part/")
            beliefs.counts.note_call("shop/part/")
        controllers.learn()
    controllers.apply_vectors()
    calls = beliefs.graph.vectors["shop/book/"]
    assert calls["shop/part/"] == pytest.approx(2.0, abs=0.3)
    assert beliefs.graph.is_called("shop/part/")
