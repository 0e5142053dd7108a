"""Computes the figures of one trial from the records of callers and servers."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from typing import TYPE_CHECKING, Any

from attrs import define, field, frozen

from standins.records import find_duplicate_runs, find_false_refusals, find_quantile

if TYPE_CHECKING:
    from benchmarks.overload_shapes import ClassSpec, Shape
    from standins.records import Record

_SETTLE_S = 4.0
_RECOVERED_SHARE = 0.95
_MAX_INVERSION_GAP_S = 0.02


@define
class Trial:
    """Records of one scenario with one system.

    Times are monotonic seconds. The disturbance (the surge or the fault) lasts from
    ``disturbance_start_s`` to ``disturbance_end_s``.
    """

    shape: Shape
    records: list[Record]
    runs: list[dict[str, Any]]
    start_s: float
    disturbance_start_s: float
    disturbance_end_s: float
    end_s: float
    cpu_s: dict[str, float] = field(factory=dict)


@frozen
class ClassFigures:
    """Figures of one class during the disturbance."""

    name: str
    offered_per_s: float
    goodput_per_s: float
    refused_per_s: float
    p50_ms: float
    p99_ms: float


@frozen
class Figures:
    """Figures of one trial.

    ``recovery_s`` is ``None`` if the goodput didn't recover before the end.
    """

    classes: tuple[ClassFigures, ...]
    goodput_per_s: float
    bottleneck_goodput_per_s: float
    wasted_share: float
    calls_per_good_request: float
    attempts_per_request: float
    recovery_s: float | None
    inversions: int
    refused_last_refusals: int
    duplicate_runs: int
    false_refusals: int


def is_good(record: Record, spec: ClassSpec) -> bool:
    """Return whether a request got a complete response within its target time."""
    within_s = spec.within_ms / 1000
    return record.outcome == "complete" and record.t_end - record.t_start <= within_s


def compute_figures(trial: Trial) -> Figures:
    """Return the figures of a trial."""
    shape = trial.shape
    seconds = trial.disturbance_end_s - trial.disturbance_start_s
    classes = tuple(_compute_class_figures(trial, spec) for spec in shape.classes)
    bottleneck_goodput_per_s = sum(
        figures.goodput_per_s * shape.count_bottleneck_calls(spec)
        for figures, spec in zip(classes, shape.classes, strict=True)
    )
    goodput_per_s = sum(figures.goodput_per_s for figures in classes)
    started_runs = [
        run
        for run in trial.runs
        if trial.disturbance_start_s
        <= (run["started"] or 0.0)
        < trial.disturbance_end_s
    ]
    attempts = sum(
        trial.disturbance_start_s <= attempt.t_start < trial.disturbance_end_s
        for record in trial.records
        for attempt in record.sendings
    )
    offered_requests = sum(figures.offered_per_s for figures in classes) * seconds
    inversions, refused_last_refusals = _count_inversions(trial)
    return Figures(
        classes=classes,
        goodput_per_s=goodput_per_s,
        bottleneck_goodput_per_s=bottleneck_goodput_per_s,
        wasted_share=_compute_wasted_share(trial, started_runs),
        calls_per_good_request=len(started_runs) / max(goodput_per_s * seconds, 1.0),
        attempts_per_request=attempts / max(offered_requests, 1.0),
        recovery_s=find_recovery_s(trial),
        inversions=inversions,
        refused_last_refusals=refused_last_refusals,
        duplicate_runs=len(find_duplicate_runs(trial.runs)),
        false_refusals=len(find_false_refusals(trial.records, trial.runs)),
    )


def _compute_class_figures(trial: Trial, spec: ClassSpec) -> ClassFigures:
    seconds = trial.disturbance_end_s - trial.disturbance_start_s
    records = [
        record
        for record in trial.records
        if record.class_name == spec.name
        and trial.disturbance_start_s <= record.t_start < trial.disturbance_end_s
    ]
    good = [record for record in records if is_good(record, spec)]
    refused = sum(record.outcome == "refused" for record in records)
    times_ms = sorted((record.t_end - record.t_start) * 1000 for record in good)
    return ClassFigures(
        spec.name,
        len(records) / seconds,
        len(good) / seconds,
        refused / seconds,
        find_quantile(times_ms, 0.5),
        find_quantile(times_ms, 0.99),
    )


def _compute_wasted_share(trial: Trial, started_runs: list[dict[str, Any]]) -> float:
    """Return the share of the servers' time spent on requests that failed."""
    complete = {
        record.sendings[-1].request
        for record in trial.records
        if record.outcome == "complete"
    }
    busy_s = 0.0
    wasted_s = 0.0
    for run in started_runs:
        run_s = (run["finished"] or trial.end_s) - run["started"]
        busy_s += run_s
        if run["request"] not in complete or run["outcome"] != "finished":
            wasted_s += run_s
    return wasted_s / busy_s if busy_s else 0.0


def _count_inversions(trial: Trial) -> tuple[int, int]:
    """Count inversions, and all refusals of refused-last requests.

    A refusal is an inversion if a refused-first request started on the bottleneck
    service at almost the same time.
    """
    shape = trial.shape
    first = {
        f"{spec.method} {spec.path}" for spec in shape.classes if not spec.refuse_last
    }
    starts = sorted(
        run["started"]
        for run in trial.runs
        if run["service"] == shape.bottleneck
        and run["route"] in first
        and run["started"]
    )
    last = {spec.name for spec in shape.classes if spec.refuse_last}
    refusals = [
        attempt.t_end
        for record in trial.records
        if record.class_name in last
        for attempt in record.sendings
        if attempt.reason in ("overload", "queue-full")
    ]
    inversions = 0
    for refused_s in refusals:
        index = bisect_left(starts, refused_s - _MAX_INVERSION_GAP_S)
        inversions += (
            index < len(starts) and starts[index] <= refused_s + _MAX_INVERSION_GAP_S
        )
    return inversions, len(refusals)


def count_goodput(trial: Trial) -> dict[str, Counter[int]]:
    """Count good requests, by class and by the second in which they started."""
    specs = {spec.name: spec for spec in trial.shape.classes}
    counts: dict[str, Counter[int]] = {name: Counter() for name in specs}
    counts["offered"] = Counter()
    for record in trial.records:
        second = int(record.t_start - trial.start_s)
        counts["offered"][second] += 1
        if is_good(record, specs[record.class_name]):
            counts[record.class_name][second] += 1
    return counts


def find_recovery_s(trial: Trial) -> float | None:
    """Return the seconds from the end of the disturbance to lasting recovery.

    The system has recovered when the share of good requests in each second stays
    above ``_RECOVERED_SHARE`` of its mean before the disturbance.
    """
    counts = count_goodput(trial)
    offered = counts.pop("offered")
    good: Counter[int] = Counter()
    for class_counts in counts.values():
        good.update(class_counts)
    disturbance_second = int(trial.disturbance_start_s - trial.start_s)
    before = range(int(_SETTLE_S), disturbance_second)
    baseline_share = sum(good[second] for second in before) / max(
        sum(offered[second] for second in before), 1
    )
    first = int(trial.disturbance_end_s - trial.start_s)
    last = int(trial.end_s - trial.start_s)
    recovered_second = None
    for second in range(first, last):
        if not offered[second]:
            continue
        if good[second] / offered[second] < _RECOVERED_SHARE * baseline_share:
            recovered_second = None
        elif recovered_second is None:
            recovered_second = second
    if recovered_second is None:
        return None
    return max(0.0, recovered_second - (trial.disturbance_end_s - trial.start_s))
