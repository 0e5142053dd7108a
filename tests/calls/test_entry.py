"""The final word on a caller's request."""

from __future__ import annotations

import anyio
import pytest
from attrs import define, field

from eelgrassmount.calls.entry import Entry
from eelgrassmount.calls.request import Call, Outcome, Request
from eelgrassmount.config.classes import Configuration
from eelgrassmount.config.document import parse_document
from eelgrassmount.metrics import make_metrics
from eelgrassmount.verdict import Header, MayHaveRun, NotRun, Reason
from tests.calls.fakes import ANSWER, make_board, make_ids, make_timers

pytestmark = pytest.mark.anyio

LIMIT_S = 20.0
KEY = Header("idempotency-key", "one")
SHORT = Header("eelgrassmount-timeout-ms", "50")
DOCUMENT = """failure_domains = ["a"]
[[class]]
name = "lookup"
routes = ["GET /desk/x"]
idempotent = true
refuse_last = false
complete_fraction = 0.9
within_ms = 1000
[[class]]
name = "booking"
routes = ["POST /desk/x"]
idempotent = false
refuse_last = true
complete_fraction = 0.9
within_ms = 1000
"""


@define
class FakeControl:
    """Gives every request the same priority."""

    def prioritize(self, work_class: object, root_id: str) -> int:
        return 0

    def note_request(self, name: str, complete: bool, touched: object) -> None:
        """Count nothing."""


@define
class FakeKeys:
    """Runs calls that have a key; waits for ever when told to."""

    hang: bool = False
    calls: list[Call] = field(factory=list)

    async def run(self, call: Call) -> Outcome:
        self.calls.append(call)
        if self.hang:
            await anyio.sleep_forever()
        return Outcome(ANSWER)

    def mint(self) -> str:
        return "minted"


def make_entry(hang: bool = False) -> tuple[Entry, FakeKeys, FakeKeys]:
    board = make_board()
    board.configuration = Configuration(1, parse_document(DOCUMENT))
    runner, keys = FakeKeys(hang), FakeKeys(hang)
    metrics = make_metrics()
    control = FakeControl()
    entry = Entry(board, make_timers(), runner.run, keys, control, metrics, make_ids())
    return entry, runner, keys


@pytest.mark.parametrize(
    ("method", "path", "headers", "verdict", "runs", "owned"),
    [
        ("GET", "/desk/x", (), ANSWER, 1, 0),
        ("POST", "/desk/x", (KEY,), ANSWER, 0, 1),
        ("POST", "/desk/x", (), NotRun(Reason.KEY_MISSING), 0, 0),
        ("POST", "/desk/x", (Header(KEY.name, "a b"),), Reason.KEY_MALFORMED, 0, 0),
        ("GET", "/desk/y", (), NotRun(Reason.NO_ROUTE), 0, 0),
        ("GET", "/desk/x", (Header(SHORT.name, "0"),), Reason.MALFORMED, 0, 0),
    ],
)
async def test_request_goes_where_its_class_says(
    method: str, path: str, headers: tuple, verdict: object, runs: int, owned: int
) -> None:
    entry, runner, keys = make_entry()
    reply = await entry.handle(Request("desk", method, path, headers, b""))
    expected = NotRun(verdict) if isinstance(verdict, Reason) else verdict
    assert reply.verdict == expected
    assert (len(runner.calls), len(keys.calls)) == (runs, owned)


@pytest.mark.parametrize("method", ["GET", "POST"])
async def test_caller_is_answered_in_time_whatever_hangs(method: str) -> None:
    entry, _, _ = make_entry(hang=True)
    with anyio.fail_after(LIMIT_S):
        reply = await entry.handle(
            Request("desk", method, "/desk/x", (KEY, SHORT), b"")
        )
    assert reply.verdict == MayHaveRun(Reason.DEADLINE)
