"""The days that the hunts play: readable, explained, and without a site's names."""

from __future__ import annotations

import re
import tomllib
from pathlib import Path

import pytest

DAYS = sorted((Path(__file__).parents[2] / "deploy" / "days").glob("*.toml"))
PLACES = ("zone", "to_zone", "service", "class")
PLACEHOLDER = re.compile(r"@[csz]\d")


def test_there_are_days():
    assert len(DAYS) >= 7


@pytest.mark.parametrize("path", DAYS, ids=lambda path: path.stem)
def test_day(path):
    text = path.read_text()
    day = tomllib.loads(text)
    assert text.startswith("# "), "says what it is for"
    assert day["name"] == path.stem
    # a day without traffic of its own is played with the site's
    assert "traffic" not in day
    assert day["faults"]
    for entry in (*day["plan"], *day["faults"]):
        assert 0 <= entry["at"] < day["length_s"]
        places = [entry[place] for place in PLACES if place in entry]
        assert all(PLACEHOLDER.fullmatch(place) for place in places)
