"""Stand-ins for the parts around the path of a call."""

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

OWN = "127.0.0.1:1"
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


def make_board() -> SharedNodeState:
    return SharedNodeState(Identity(OWN, "bowbazar", "kolkata", "first"))


def make_timers() -> TimerService:
    return TimerService(ManualClock(), random.Random(1))


def make_ids() -> Callable[[], str]:
    numbers = iter(range(1000))
    return lambda: f"id{next(numbers)}"


@define
class FakeControl:
    """Offers addresses in order and notes what it is told."""

    addresses: list[str]
    room: bool = True
    ended: list[Verdict] = field(factory=list)

    def choose(
        self, context: Context, service: str, excluded: Collection[str]
    ) -> str | None:
        return next((one for one in self.addresses if one not in excluded), None)

    def has_room(
        self, context: Context, service: str, excluded: Collection[str]
    ) -> bool:
        return self.room

    def record_end(
        self,
        address: str,
        service: str,
        verdict: Verdict,
        loads: Iterable[ServiceLoad],
        latency_s: float,
    ) -> None:
        self.ended.append(verdict)


@define
class ScriptedRunner:
    """Gives scripted verdicts and keeps the calls that it was given."""

    verdicts: list[Verdict]
    calls: list[Call] = field(factory=list)
    spent: int = 0

    async def run(self, address: str | Call, call: Call | None = None) -> Outcome:
        call = address if call is None else call
        self.calls.append(call)
        verdict = self.verdicts.pop(0)
        return Outcome(verdict, call.context.attempts_left - self.spent)


@define
class OpenGate:
    """Admits everything, refuses with what it is given, or keeps calls waiting."""

    refusal: NotRun | None = None
    shut: bool = False
    samples: list[Sample] = field(factory=list)

    async def enter(self, context: Context) -> NotRun | None:
        if self.shut:
            await anyio.sleep_forever()
        return self.refusal

    def leave(self, sample: Sample) -> None:
        self.samples.append(sample)

    def describe(self) -> ServiceLoad:
        return ServiceLoad("jobdesk")


def make_quarantine() -> QuarantineExchange:
    """Return the quarantine of a node that knows no other one."""
    return QuarantineExchange(make_board(), ManualClock(), None, Quarantine(), None)
