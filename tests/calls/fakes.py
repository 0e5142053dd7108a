"""Fakes of the components that calls pass through."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import anyio
from attrs import define, field

from eelgrassmount.calls.request import Call, Outcome, Request
from eelgrassmount.context import Context, Tier
from eelgrassmount.load.state import ServiceLoad
from eelgrassmount.members.table import Identity
from eelgrassmount.retry.exchange import QuarantineExchange
from eelgrassmount.retry.quarantine import Quarantine
from eelgrassmount.shared_node_state import SharedNodeState
from eelgrassmount.timers import ManualClock, TimerService
from eelgrassmount.verdict import Answered, Verdict

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

    from eelgrassmount.load.port import Sample
    from eelgrassmount.verdict import NotRun

LOCAL = "127.0.0.1:1"
ANSWER = Answered(200, (), b"whole")


def make_context(**changes: object) -> Context:
    fields = {
        "root_id": "root",
        "call_id": "call",
        "parent_id": "",
        "class_name": "lookup",
        "deadline_s": 1e9,
        "attempts_left": 3,
        "tier": Tier.REFUSED_FIRST,
        "priority": 0,
        "depth": 0,
        "idempotent": True,
        "digest": "digest",
    }
    return Context(**{**fields, **changes})


def make_call(service: str = "jobdesk", **changes: object) -> Call:
    request = Request(service, "GET", f"/{service}/x", (), b"")
    return Call(make_context(**changes), request)


def make_shared_state() -> SharedNodeState:
    return SharedNodeState(Identity(LOCAL, "bowbazar", "kolkata", "first"))


def make_timers() -> TimerService:
    return TimerService(ManualClock(), random.Random(1))


def make_ids() -> Callable[[], str]:
    numbers = iter(range(1000))
    return lambda: f"id{next(numbers)}"


@define
class FakeControl:
    """Offers addresses in order and records the verdicts of finished calls."""

    addresses: list[str]
    has_capacity: bool = True
    verdicts: list[Verdict] = field(factory=list)

    def choose(
        self, context: Context, service: str, excluded: Collection[str]
    ) -> str | None:
        return next(
            (address for address in self.addresses if address not in excluded), None
        )

    def has_room(
        self, context: Context, service: str, excluded: Collection[str]
    ) -> bool:
        return self.has_capacity

    def record_end(
        self,
        address: str,
        service: str,
        verdict: Verdict,
        loads: Iterable[ServiceLoad],
        latency_s: float,
    ) -> None:
        self.verdicts.append(verdict)


@define
class ScriptedRunner:
    """Returns scripted verdicts and records the calls."""

    verdicts: list[Verdict]
    calls: list[Call] = field(factory=list)
    attempts_used: int = 0

    async def run(self, address: str | Call, call: Call | None = None) -> Outcome:
        call = address if call is None else call
        self.calls.append(call)
        verdict = self.verdicts.pop(0)
        return Outcome(verdict, call.context.attempts_left - self.attempts_used)


@define
class FakeDispatcher:
    """Admits all calls, refuses them with ``refusal``, or keeps them waiting."""

    refusal: NotRun | None = None
    blocked: bool = False
    samples: list[Sample] = field(factory=list)

    async def enter(self, context: Context) -> NotRun | None:
        if self.blocked:
            await anyio.sleep_forever()
        return self.refusal

    def leave(self, sample: Sample) -> None:
        self.samples.append(sample)

    def describe(self) -> ServiceLoad:
        return ServiceLoad("jobdesk")


def make_quarantine() -> QuarantineExchange:
    """Return the quarantine of a node that knows no other nodes."""
    return QuarantineExchange(
        make_shared_state(), ManualClock(), None, Quarantine(), None
    )
