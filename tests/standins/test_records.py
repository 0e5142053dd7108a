"""Shapes of answers, their classification, and checks of the callers' records."""

from __future__ import annotations

import json

import pytest

from standins.answers import make_answer
from standins.caller import _parse_json_flag
from standins.client import Answer
from standins.plans import dump_plans, expect_shape, read_plans
from standins.records import (
    Attempt,
    Record,
    classify_answer,
    find_duplicate_runs,
    find_false_refusals,
    summarise,
)
from standins.runs import Run

TABLE = {
    "POST /a": {"calls": [["GET", "/c/x"], ["POST", "/b/x"]], "mode": "parallel"},
    "POST /b": {"calls": [["GET", "/c/x"]], "mode": "sequence"},
}


def _make_answer(request="r", service="a", downstream=("b", "c"), **headers):
    runs = [_make_content(name, request) for name in downstream]
    response = make_answer(Run("1", service, "v", "", "", request), runs)
    return Answer(200, {**response.headers, **headers}, response.body)


def _make_content(service, request):
    runs = [_make_content("c", request)] if service == "b" else []
    return {"service": service, "request": request, "runs": runs, "depth": 1}


def test_shape_follows_the_route_table_through_json():
    plans = read_plans(json.dumps(TABLE))
    assert read_plans(dump_plans(plans)) == plans
    assert expect_shape(plans, "POST", "/a/x") == "a(b(c),c)"
    assert expect_shape(plans, "POST", "/ab/x") == "ab"
    with pytest.raises(ValueError, match="mode"):
        read_plans({"GET /a": {"mode": "both"}})


@pytest.mark.parametrize(
    ("answer", "outcome"),
    [
        (_make_answer(), "complete"),
        (_make_answer(downstream=("c", "b")), "complete"),
        (_make_answer(downstream=("b",)), "partial"),
        (_make_answer(downstream=("b", "c", "c")), "partial"),
        (_make_answer(request="other"), "mixed"),
        (Answer(200, {}, b'{"service": "a"'), "partial"),
        (_make_answer(**{"content-digest": "sha-256=:AAAA:"}), "partial"),
        (_make_answer(**{"eelgrassmount-verdict": "may-have-run"}), "unknown"),
        (Answer(503, {"eelgrassmount-verdict": "not-run"}), "refused"),
        (Answer(500, {"eelgrassmount-verdict": "answered"}), "failed"),
    ],
)
def test_answers_are_classified(answer, outcome):
    assert classify_answer(answer, "r", "a(b(c),c)") == outcome


def _make_record(*attempts):
    made = [
        Attempt(request, "n", start, start + 1, "refused", verdict, 503, "")
        for request, start, verdict in attempts
    ]
    return Record("class", "key", 0.0, 9.0, "refused", made)


@pytest.mark.parametrize(
    ("attempts", "started", "false_refusals"),
    [
        ([("r", 0, "not-run")], None, 0),
        ([("r", 0, "not-run")], 0.5, 1),
        ([("r", 0, "not-run")], 5.0, 1),
        ([("r", 0, "not-run"), ("r", 4, "answered")], 5.0, 0),
        ([("r", 0, "not-run"), ("r", 4, "answered")], 0.5, 1),
        ([("r", 0, ""), ("r", 4, "not-run")], 0.5, 1),
        ([("r", 0, "may-have-run")], 0.5, 0),
        ([("other", 0, "not-run")], 0.5, 0),
    ],
)
def test_false_refusals_are_found(attempts, started, false_refusals):
    runs = [] if started is None else [{"request": "r", "started": started}]
    assert len(find_false_refusals([_make_record(*attempts)], runs)) == false_refusals


def test_duplicate_runs_are_found_and_counted_by_class():
    routes = ["POST /a", "POST /a", "GET /c", "GET /c", "POST /b"]
    doubled = find_duplicate_runs({"request": "r", "route": route} for route in routes)
    assert doubled == [("r", "POST /a")]
    record = Record.load(_make_record(("r", 0, "answered")).dump())
    summary = summarise([record], doubled)
    assert summary["class"]["doubled"] == 1
    assert summary["all"]["sent"] == summary["all"]["refused"] == 1


def test_booleans_in_flags_parsed_by_fire_keep_their_values() -> None:
    classes = [{"name": "a", "keyed": "false"}, {"name": "b", "keyed": "true"}]
    assert [entry["keyed"] for entry in _parse_json_flag(classes)] == [False, True]
    assert _parse_json_flag('[{"keyed": false}]') == [{"keyed": False}]
