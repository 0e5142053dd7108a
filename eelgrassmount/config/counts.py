"""Counts of configuration events and of requests to the log."""

from __future__ import annotations

from collections import Counter

from attrs import define, field


@define
class ConfigCounts:
    """Counts since the start of the process.

    ``appends`` counts records appended to the log by kind, ``read_records`` records
    read from it, ``log_failures`` failed requests to it. ``gaps`` counts how often
    the log dropped records before this node had read them. ``applied`` counts
    versions by their source, ``publishes`` publishes by their outcome,
    ``questions`` requests to other nodes for a newer version.
    """

    appends: Counter[str] = field(factory=Counter)
    applied: Counter[str] = field(factory=Counter)
    publishes: Counter[str] = field(factory=Counter)
    questions: int = 0
    read_records: int = 0
    log_failures: int = 0
    gaps: int = 0
