"""Conversion of pytest and behave reports to results."""

from __future__ import annotations

import json
from pathlib import Path

from tools.reports import read_behave, read_pytest
from tools.results import Result, Status

THIS_FILE = "tests/tools/test_reports.py"
PYTEST = """<testsuites><testsuite>
<testcase classname="tests.tools.test_reports" name="test_a[x]" />
<testcase classname="tests.tools.test_reports.TestB" name="run"><failure/></testcase>
<testcase classname="tests.tools.test_reports" name="test_c"><skipped/></testcase>
<testcase classname="tests.tools.test_reports" name="test_d"><skipped message="no x"/>
</testcase>
<testcase classname="" name="tests.broken"><error/></testcase>
</testsuite></testsuites>"""
BEHAVE = [
    {
        "location": "tests/features/a.feature:1",
        "elements": [
            {"type": "background", "name": "", "status": "passed"},
            {"type": "scenario", "name": "one", "status": "passed"},
            {"type": "scenario", "name": "two", "status": "failed"}
            | {
                "steps": [
                    {"keyword": "Given", "name": "a node", "result": {}},
                    {"keyword": "Then", "name": "it runs"}
                    | {"result": {"error_message": ["ASSERT FAILED", "no"]}},
                ]
            },
            {"type": "scenario", "name": "three", "status": "hook_error"},
        ],
    }
]


def test_read_pytest(tmp_path, monkeypatch):
    monkeypatch.chdir(Path(__file__).parents[2])
    report = tmp_path / "report.xml"
    report.write_text(PYTEST)
    assert list(read_pytest(report)) == [
        Result(f"{THIS_FILE}::test_a[x]", Status.PASSED),
        Result(f"{THIS_FILE}::TestB::run", Status.FAILED),
        Result(f"{THIS_FILE}::test_c", Status.SKIPPED),
        Result(f"{THIS_FILE}::test_d", Status.SKIPPED, "no x"),
        Result("collection::tests.broken", Status.FAILED),
    ]


def test_read_behave(tmp_path):
    report = tmp_path / "report.json"
    report.write_text(json.dumps(BEHAVE))
    assert list(read_behave(report)) == [
        Result("tests/features/a.feature::one", Status.PASSED),
        Result(
            "tests/features/a.feature::two",
            Status.FAILED,
            "Then it runs\nASSERT FAILED\nno",
        ),
        Result("tests/features/a.feature::three", Status.FAILED),
    ]
