"""Readers for the reports of pytest and behave."""

from __future__ import annotations

import json
from pathlib import Path
from typing import TYPE_CHECKING, Any
from xml.etree import ElementTree

from tools.results import Result, Status

if TYPE_CHECKING:
    from collections.abc import Iterator


def read_pytest(path: Path) -> Iterator[Result]:
    """Yield the result of each test in a JUnit report, with pytest's node id."""
    for case in ElementTree.parse(path).iter("testcase"):
        test_path = _find_test_path(case.get("classname") or "")
        id = f"{test_path}::{case.get('name')}"
        yield Result(id, _read_case_status(case), _find_skip_reason(case))


def _find_test_path(class_name: str) -> str:
    """Return ``tests/a/test_b.py::TestC`` for ``tests.a.test_b.TestC``."""
    parts = class_name.split(".")
    for count in range(len(parts), 0, -1):
        file = Path("/".join(parts[:count]) + ".py")
        if file.exists():
            return "::".join([str(file), *parts[count:]])
    return class_name or "collection"


def _read_case_status(case: ElementTree.Element) -> Status:
    if case.find("failure") is not None or case.find("error") is not None:
        return Status.FAILED
    if case.find("skipped") is not None:
        return Status.SKIPPED
    return Status.PASSED


def _find_skip_reason(case: ElementTree.Element) -> str:
    skipped = case.find("skipped")
    return "" if skipped is None else skipped.get("message", "")


def read_behave(path: Path) -> Iterator[Result]:
    """Yield the result of each scenario in a JSON report of behave."""
    for feature in json.loads(path.read_text()):
        file_name = feature["location"].rpartition(":")[0]
        for element in feature.get("elements", ()):
            if element["type"] != "background":
                id = f"{file_name}::{element['name']}"
                yield Result(
                    id, _read_scenario_status(element), _describe_failure(element)
                )


def _read_scenario_status(element: dict[str, Any]) -> Status:
    match element.get("status"):
        case "passed":
            return Status.PASSED
        case "skipped":
            return Status.SKIPPED
    return Status.FAILED


def _describe_failure(element: dict[str, Any]) -> str:
    """Return the failed step with its error, which behave's progress format omits."""
    for step in element.get("steps", ()):
        lines = step.get("result", {}).get("error_message")
        if lines:
            text = lines if isinstance(lines, str) else "\n".join(lines)
            return f"{step['keyword']} {step['name']}\n{text}"
    return ""
