"""The concurrency limiter with a simulated server."""

from __future__ import annotations

import pytest

from benchmarks.limiter import SCENARIOS, measure
from eelgrassmount.load.limiter import INITIAL_LIMIT, Limiter
from eelgrassmount.load.port import Sample, SampleKind

_BY_NAME = {scenario.name: scenario for scenario in SCENARIOS}


@pytest.mark.parametrize(
    ("name", "from_s", "to_s"),
    [
        ("25 slots", 3, 10),
        ("25 slots, wide", 3, 10),
        ("180 slots", 3, 10),
        ("180, cold", 7, 12),
        ("25, slow at 10-20", 12, 20),
        ("25, downstream", 8, 14),
        ("25, sheds at 30", 3, 10),
    ],
)
def test_limit_approaches_the_number_of_slots(
    name: str, from_s: int, to_s: int
) -> None:
    scenario = _BY_NAME[name]
    points = measure(scenario, Limiter(), seconds=to_s).points[from_s:]
    limits = [point.limit for point in points]
    assert min(limits) > 0.7 * scenario.slots
    assert max(limits) < 1.7 * scenario.slots
    assert sum(limits) / len(limits) == pytest.approx(1.1 * scenario.slots, rel=0.25)


def test_limit_is_unchanged_while_few_calls_arrive() -> None:
    limiter = Limiter()
    for step in range(1000):
        now_s = step * 0.1
        limiter.record_start(1, now_s)
        limiter.record(Sample(SampleKind.COMPLETE, 0.05), 1, now_s + 0.05)
        limiter.adjust(now_s + 0.05)
    assert limiter.limit == INITIAL_LIMIT


def test_limit_falls_when_calls_time_out() -> None:
    limiter = Limiter()
    for step in range(400):
        now_s = step * 0.1
        running = limiter.limit
        for started in range(running):
            limiter.record_start(started + 1, now_s)
        for remaining in range(running, 0, -1):
            limiter.record(Sample(SampleKind.TIMEOUT, 0.09), remaining, now_s + 0.095)
        limiter.adjust(now_s + 0.099)
    assert limiter.limit == 2
