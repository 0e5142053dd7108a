"""Checks the promises for a request against its runs and answers."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from attrs import frozen

from standins.records import Record, find_duplicate_runs, find_false_refusals
from tests.matrix.callers import MAX_LATENESS_S, TIMEOUT_S

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from standins.records import Attempt
    from tests.matrix.callers import Booking

    Runs = Sequence[Mapping[str, object]]


@frozen
class Outage:
    """A period in which a node can't be expected to answer."""

    node: str
    t_start: float
    t_end: float

    def excuses(self, attempt: Attempt) -> bool:
        overlaps = attempt.t_start <= self.t_end and attempt.t_end >= self.t_start
        return attempt.node == self.node and overlaps


def find_broken_promises(
    booking: Booking, runs: Runs, outages: Sequence[Outage], must_answer: bool
) -> list[str]:
    """Return the broken promises of one request."""
    violations = [f"doubled {route}" for _, route in find_duplicate_runs(runs)]
    violations += _find_false_refusals(booking, runs)
    violations += _find_bad_answers(booking)
    violations += _find_late_answers(booking.attempts, outages)
    if len(booking.bodies) > 1:
        violations.append(f"{len(booking.bodies)} different complete answers")
    if must_answer and booking.attempts_by_end[-1].outcome != "complete":
        last = booking.attempts_by_end[-1]
        violations.append(f"no complete answer: {last.verdict} {last.reason}")
    return violations


def _find_false_refusals(booking: Booking, runs: Runs) -> list[str]:
    record = Record("booking", booking.key, 0.0, sendings=booking.attempts_by_end)
    return [
        f"false not-run ({attempt.reason})"
        for attempt in find_false_refusals([record], runs)
    ]


def _find_bad_answers(booking: Booking) -> list[str]:
    bad = ("partial", "mixed", "failed")
    return [
        f"{attempt.outcome} answer, status {attempt.status}"
        for attempt in booking.attempts
        if attempt.outcome in bad
    ]


def _find_late_answers(
    attempts: Iterable[Attempt], outages: Sequence[Outage]
) -> list[str]:
    late_answers = []
    for attempt in attempts:
        duration_s = attempt.t_end - attempt.t_start
        in_time = attempt.status and duration_s <= TIMEOUT_S + MAX_LATENESS_S
        if not in_time and not any(outage.excuses(attempt) for outage in outages):
            late_answers.append(
                f"no answer by the deadline ({attempt.reason}, {duration_s:.2f} s)"
            )
    return late_answers


def describe_outcomes(booking: Booking) -> str:
    """Return the last outcome that the client received, and counts of all outcomes."""
    counts = Counter(_describe(attempt) for attempt in booking.attempts_by_end)
    last = _describe(booking.attempts_by_end[-1])
    listed = ", ".join(f"{count} {what}" for what, count in sorted(counts.items()))
    return f"{last} [{listed}]"


def _describe(attempt: Attempt) -> str:
    if attempt.outcome == "complete":
        return "complete"
    return f"{attempt.verdict or attempt.outcome} {attempt.reason}".strip()


def describe_runs(runs: Runs) -> str:
    """Return how often each service ran the request."""
    counts = Counter(str(run["service"]) for run in runs)
    return " ".join(f"{name}:{count}" for name, count in sorted(counts.items()))
