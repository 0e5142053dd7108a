"""What must hold for a request, judged by what ran and what was told."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from attrs import frozen

from standins.records import Record, find_duplicate_runs, find_false_refusals
from tests.matrix.callers import MARGIN_S, TIMEOUT_S

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from standins.records import Attempt
    from tests.matrix.callers import Booking

    Runs = Sequence[Mapping[str, object]]


@frozen
class Outage:
    """A stretch of time in which a node could not be expected to answer."""

    node: str
    t_start: float
    t_end: float

    def excuses(self, sending: Attempt) -> bool:
        overlaps = sending.t_start <= self.t_end and sending.t_end >= self.t_start
        return sending.node == self.node and overlaps


def judge_booking(
    booking: Booking, runs: Runs, outages: Sequence[Outage], must_answer: bool
) -> list[str]:
    """Return each promise that was broken for one request."""
    broken = [f"doubled {route}" for _, route in find_duplicate_runs(runs)]
    broken += _find_false_refusals(booking, runs)
    broken += _find_bad_answers(booking)
    broken += _find_late(booking.sendings, outages)
    if len(booking.bodies) > 1:
        broken.append(f"{len(booking.bodies)} different complete answers")
    if must_answer and booking.told[-1].outcome != "complete":
        last = booking.told[-1]
        broken.append(f"not answered in the end: {last.verdict} {last.reason}")
    return broken


def _find_false_refusals(booking: Booking, runs: Runs) -> list[str]:
    record = Record("booking", booking.key, 0.0, sendings=booking.told)
    return [
        f"false not-run ({sending.reason})"
        for sending in find_false_refusals([record], runs)
    ]


def _find_bad_answers(booking: Booking) -> list[str]:
    bad = ("partial", "mixed", "failed")
    return [
        f"{sending.outcome} answer, status {sending.status}"
        for sending in booking.sendings
        if sending.outcome in bad
    ]


def _find_late(sendings: Iterable[Attempt], outages: Sequence[Outage]) -> list[str]:
    late = []
    for sending in sendings:
        took_s = sending.t_end - sending.t_start
        in_time = sending.status and took_s <= TIMEOUT_S + MARGIN_S
        if not in_time and not any(outage.excuses(sending) for outage in outages):
            late.append(f"no answer by the deadline ({sending.reason}, {took_s:.2f} s)")
    return late


def describe_told(booking: Booking) -> str:
    """Return what the caller was told in the end, and how often what before."""
    counts = Counter(_describe(sending) for sending in booking.told)
    last = _describe(booking.told[-1])
    listed = ", ".join(f"{count} {what}" for what, count in sorted(counts.items()))
    return f"{last} [{listed}]"


def _describe(sending: Attempt) -> str:
    if sending.outcome == "complete":
        return "complete"
    return f"{sending.verdict or sending.outcome} {sending.reason}".strip()


def describe_runs(runs: Runs) -> str:
    """Return how often each service ran the request."""
    counts = Counter(str(run["service"]) for run in runs)
    return " ".join(f"{name}:{count}" for name, count in sorted(counts.items()))
