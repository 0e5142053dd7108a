"""Counts of what the configuration did and of its use of the log."""

from __future__ import annotations

from collections import Counter

from attrs import define, field


@define
class ConfigCounts:
    """Counts since the start of the process, for the metrics.

    ``appends`` and ``read_records`` concern the log, by kind of record and in all;
    ``log_failures`` are requests to it without an answer, ``gaps`` the times that
    records were dropped before this node had read them. ``taken`` counts versions
    by where they came from, ``publishes`` by their outcome.
    """

    appends: Counter[str] = field(factory=Counter)
    taken: Counter[str] = field(factory=Counter)
    publishes: Counter[str] = field(factory=Counter)
    questions: int = 0
    read_records: int = 0
    log_failures: int = 0
    gaps: int = 0
