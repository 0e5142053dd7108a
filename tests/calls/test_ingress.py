"""Verdicts on requests that a node can't classify."""

from __future__ import annotations

import pytest
from attrs import define

from eelgrassmount.calls.ingress import Ingress
from eelgrassmount.calls.request import Call, Outcome, Request
from eelgrassmount.config.classes import (
    Configuration,
    Document,
    RoutePattern,
    WorkClass,
)
from eelgrassmount.load.control import LoadControl
from eelgrassmount.metrics import make_metrics
from eelgrassmount.verdict import Header, MayHaveRun, NotRun, Reason, Verdict
from tests.calls.fakes import ANSWER, make_ids, make_shared_state, make_timers

pytestmark = pytest.mark.anyio

BOOKING = WorkClass(
    "booking", (RoutePattern("POST", "/jobdesk/bookings"),), False, True, 0.99, 2000
)
KEY = Header("idempotency-key", "bowbazar:key-1")


@define
class FakeKeys:
    """Answers every keyed call immediately."""

    async def run(self, call: Call) -> Outcome:
        return Outcome(ANSWER)

    def mint(self) -> str:
        return "em1~next"


def make_ingress(configured: bool = True) -> Ingress:
    shared_state = make_shared_state()
    if configured:
        shared_state.configuration = Configuration(
            1, Document((BOOKING,), ("bowbazar",))
        )
    timers = make_timers()
    return Ingress(
        shared_state=shared_state,
        timers=timers,
        run=FakeKeys().run,
        keys=FakeKeys(),
        control=LoadControl(shared_state, timers),
        metrics=make_metrics(),
        make_id=make_ids(),
    )


@pytest.mark.parametrize(
    ("configured", "path", "headers", "expected"),
    [
        (True, "/jobdesk/bookings", (KEY,), ANSWER),
        (True, "/jobdesk/bookings", (), NotRun(Reason.KEY_MISSING)),
        (
            True,
            "/jobdesk/bookings",
            (Header("idempotency-key", "no spaces"),),
            NotRun(Reason.KEY_MALFORMED),
        ),
        (True, "/jobdesk/other", (), NotRun(Reason.NO_ROUTE)),
        (False, "/jobdesk/bookings", (), NotRun(Reason.NO_CONFIGURATION)),
        # An earlier attempt with the key may have run through another node.
        (True, "/jobdesk/other", (KEY,), MayHaveRun(Reason.NO_ROUTE)),
        (False, "/jobdesk/bookings", (KEY,), MayHaveRun(Reason.NO_CONFIGURATION)),
        (
            True,
            "/jobdesk/bookings",
            (KEY, Header("eelgrassmount-timeout-ms", "soon")),
            MayHaveRun(Reason.MALFORMED),
        ),
    ],
)
async def test_refusals_cover_earlier_attempts_with_the_key(
    configured: bool, path: str, headers: tuple[Header, ...], expected: Verdict
) -> None:
    request = Request("jobdesk", "POST", path, headers, b"{}")
    reply = await make_ingress(configured).handle(request)
    assert reply.verdict == expected
    assert reply.next_key == "em1~next"
