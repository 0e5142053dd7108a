"""Reads the reports that pytest and behave write."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from xml.etree import ElementTree

from tools.results import Result, Status

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path


def read_pytest(path: Path) -> Iterator[Result]:
    """Return the result of each test of a JUnit report in xunit1 form."""
    for case in ElementTree.parse(path).iter("testcase"):
        # a file that can't be imported is reported without a file of its own
        place = case.get("file") or case.get("classname") or "collection"
        yield Result(f"{place}::{case.get('name')}", _judge_case(case))


def _judge_case(case: ElementTree.Element) -> Status:
    if case.find("failure") is not None or case.find("error") is not None:
        return Status.FAILED
    if case.find("skipped") is not None:
        return Status.SKIPPED
    return Status.PASSED


def read_behave(path: Path) -> Iterator[Result]:
    """Return the result of each scenario of a behave report in JSON."""
    for feature in json.loads(path.read_text()):
        file_name = feature["location"].rpartition(":")[0]
        for element in feature.get("elements", ()):
            if element["type"] != "background":
                yield Result(f"{file_name}::{element['name']}", _judge_status(element))


def _judge_status(element: dict[str, str]) -> Status:
    match element.get("status"):
        case "passed":
            return Status.PASSED
        case "skipped":
            return Status.SKIPPED
    return Status.FAILED
