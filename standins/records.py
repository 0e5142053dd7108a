"""Records of the callers' requests, and checks of them against the runs."""

from __future__ import annotations

import base64
import hashlib
import json
from collections import Counter, defaultdict
from typing import TYPE_CHECKING, Any

from attrs import asdict, define, field, frozen

from standins.plans import list_requests, measure_shape

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from standins.client import Answer

OUTCOMES = (
    "complete",
    "refused",
    "unknown",
    "unreached",
    "failed",
    "partial",
    "mixed",
)


@frozen
class Attempt:
    """One attempt of a request; times are seconds of the monotonic clock."""

    request: str
    node: str
    t_start: float
    t_end: float
    outcome: str
    verdict: str
    status: int
    reason: str
    retry_after_ms: float = 0.0


@define
class Record:
    """One request of a caller with all its attempts; the last one sets the outcome."""

    class_name: str
    key: str
    t_start: float
    t_end: float = 0.0
    outcome: str = "unreached"
    sendings: list[Attempt] = field(factory=list)

    def dump(self) -> str:
        """Return the record as one JSON line."""
        last = self.sendings[-1]
        flags = {name: self.outcome == name for name in OUTCOMES}
        last_answer = {
            "verdict": last.verdict,
            "status": last.status,
            "reason": last.reason,
        }
        return json.dumps({**asdict(self), **flags, **last_answer})

    @classmethod
    def load(cls, line: str) -> Record:
        """Parse a line written by ``dump``."""
        entry = json.loads(line)
        attempts = [Attempt(**attempt) for attempt in entry["sendings"]]
        return cls(
            entry["class_name"],
            entry["key"],
            entry["t_start"],
            entry["t_end"],
            entry["outcome"],
            attempts,
        )


def classify_answer(answer: Answer, request: str, expect: str) -> str:
    """Return the outcome of a request after checks of its answer."""
    verdict = answer.headers.get("eelgrassmount-verdict", "")
    if verdict == "not-run":
        return "refused"
    if verdict == "may-have-run":
        return "unknown"
    if answer.status != 200:
        return "failed"
    if not _check_digest(answer):
        return "partial"
    try:
        content = json.loads(answer.body)
        if list_requests(content) != {request}:
            return "mixed"
        return "complete" if measure_shape(content) == expect else "partial"
    except (ValueError, KeyError, TypeError):
        return "partial"


def _check_digest(answer: Answer) -> bool:
    digest = answer.headers.get("content-digest")
    if digest is None:
        return True
    found = base64.b64encode(hashlib.sha256(answer.body).digest()).decode()
    return digest == f"sha-256=:{found}:"


def find_duplicate_runs(runs: Iterable[Mapping[str, Any]]) -> list[tuple[str, str]]:
    """Return each (request, route) that ran more than once, except for GET.

    The call tree of a request must contain each route at most once.
    """
    counts = Counter(
        (run["request"], run["route"])
        for run in runs
        if not run["route"].startswith("GET ")
    )
    return [key for key, count in counts.items() if count > 1]


def find_false_refusals(
    records: Iterable[Record], runs: Iterable[Mapping[str, Any]]
) -> list[Attempt]:
    """Return the attempts with the verdict "not run" whose request did run.

    A run that started after the refusal is allowed if the caller made a further
    attempt.
    """
    starts: dict[str, list[float]] = defaultdict(list)
    for run in runs:
        starts[run["request"]].append(run["started"])
    found = []
    for record in records:
        for index, attempt in enumerate(record.sendings):
            if attempt.verdict != "not-run":
                continue
            retried = any(
                other.request == attempt.request
                for other in record.sendings[index + 1 :]
            )
            run_starts = starts.get(attempt.request, ())
            if any(not retried or start < attempt.t_end for start in run_starts):
                found.append(attempt)
    return found


def summarise(
    records: Iterable[Record], doubled: Iterable[tuple[str, str]] = ()
) -> dict[str, dict[str, float]]:
    """Return counts and latencies by class and for all requests.

    Latencies are in milliseconds, of requests with complete answers.
    """
    all_records = list(records)
    groups: dict[str, list[Record]] = defaultdict(list)
    for record in all_records:
        groups[record.class_name].append(record)
    groups = {**dict(sorted(groups.items())), "all": all_records}
    duplicate_requests = {request for request, _ in doubled}
    return {
        name: _summarise_group(group, duplicate_requests)
        for name, group in groups.items()
    }


def _summarise_group(
    group: list[Record], duplicate_requests: set[str]
) -> dict[str, float]:
    counts = Counter(record.outcome for record in group)
    times_ms = sorted(
        (record.t_end - record.t_start) * 1000
        for record in group
        if record.outcome == "complete"
    )
    return {
        "sent": len(group),
        **{name: counts[name] for name in OUTCOMES},
        "doubled": sum(
            any(attempt.request in duplicate_requests for attempt in record.sendings)
            for record in group
        ),
        "sendings": sum(len(record.sendings) for record in group),
        "p50_ms": round(find_quantile(times_ms, 0.50), 2),
        "p99_ms": round(find_quantile(times_ms, 0.99), 2),
    }


def find_quantile(ordered: list[float], fraction: float) -> float:
    """Return the quantile of values in ascending order; 0 when there is none."""
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]
