"""Admin requests that show and publish the configuration."""

from __future__ import annotations

import json

import pytest

from eelgrassmount.admin.config import (
    describe_outcome,
    publish_config,
    show_config,
    show_history,
)
from eelgrassmount.config.document import DocumentProblem
from eelgrassmount.config.publish import Accepted, Invalid, Lost, Unknown
from tests.config.fakes import Cluster, make_text, run_cluster


@pytest.mark.parametrize(
    ("outcome", "status", "content"),
    [
        (Accepted(8), 200, {"version": 8}),
        (
            Lost(9),
            409,
            {
                "in_force": 9,
                "message": "version 9 is in force, not 7; nothing was changed",
            },
        ),
        (
            Invalid((DocumentProblem(3, "mend it"),)),
            422,
            {"errors": [{"line": 3, "message": "mend it"}]},
        ),
        (
            Unknown("gone", 1.5),
            503,
            {
                "message": "not known whether it was accepted: gone",
                "retry_after_ms": 1500,
            },
        ),
    ],
)
def test_outcomes_are_described(outcome: object, status: int, content: dict) -> None:
    reply = describe_outcome(outcome, 7)
    assert reply.status == status
    assert json.loads(reply.body) == content


def test_versions_are_published_shown_and_rolled_back() -> None:
    async def scenario(cluster: Cluster) -> None:
        node = await cluster.start("a-0")
        for base, body in ((None, b""), ("x", b""), ("0", b"\xff")):
            assert (await publish_config(node.follower, body, base)).status == 400
        texts = [make_text(name) for name in ("one", "two")]
        for base, text in enumerate([*texts, texts[0]]):
            reply = await publish_config(node.follower, text.encode(), str(base))
            assert json.loads(reply.body) == {"version": base + 1}
        shown = json.loads(show_config(node.shared_state).body)
        assert shown == {"version": 3, "text": texts[0], "log_reachable": True}
        history = json.loads((await show_history(node.follower)).body)["versions"]
        assert [entry["version"] for entry in history] == [1, 2, 3]
        assert [entry["text"] for entry in history] == [*texts, texts[0]]

    run_cluster(scenario)
