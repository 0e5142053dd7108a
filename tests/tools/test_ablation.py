"""Nodes can be built and run with any single mechanism disabled."""

from __future__ import annotations

import subprocess
import sys

import pytest

from tools.ablation import ABLATIONS

PROGRAM = """
from tools.ablation import ABLATIONS
from eelgrassmount.compose.relay import build_relay
from eelgrassmount.relay.members import MemberLoad
from tests.relay.lone_node import SETTINGS

ABLATIONS[{name!r}]()
node = build_relay(SETTINGS)
node.register_local_node()
member = node.state.members.put("node-2", "127.0.0.1:7620", "a", "list")
member.load = MemberLoad(limit=4, demand=2.0, reported_s=node.state.clock())
node.control_loop.step()
print("done")
"""


@pytest.mark.parametrize("name", sorted(ABLATIONS))
def test_node_runs_without_a_mechanism(name):
    """Guards against an ablation that no longer fits the signature it replaces."""
    command = [sys.executable, "-c", PROGRAM.format(name=name)]
    done = subprocess.run(command, capture_output=True, text=True, timeout=60)
    assert done.stdout.strip().endswith("done"), done.stderr[-2000:]
