"""The day files are valid, explained, and free of names of a specific site."""

from __future__ import annotations

import re
import tomllib
from pathlib import Path

import pytest

DAYS = sorted((Path(__file__).parents[2] / "deploy" / "days").glob("*.toml"))
PLACES = ("zone", "to_zone", "service", "class")
PLACEHOLDER = re.compile(r"@[csz]\d")


def test_day_files_are_found():
    assert len(DAYS) >= 7


@pytest.mark.parametrize("path", DAYS, ids=lambda path: path.stem)
def test_day_file_is_valid(path):
    text = path.read_text()
    day = tomllib.loads(text)
    assert text.startswith("# "), "the file starts with a comment that explains it"
    assert day["name"] == path.stem
    # Without traffic in the file, the day runs with the traffic of the site.
    assert "traffic" not in day
    assert day["faults"]
    for entry in (*day["plan"], *day["faults"]):
        assert 0 <= entry["at"] < day["length_s"]
        places = [entry[place] for place in PLACES if place in entry]
        assert all(PLACEHOLDER.fullmatch(place) for place in places)
