"""Parsing of configuration texts."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from eelgrassmount.config.classes import Document, RoutePattern, WorkClass
from eelgrassmount.config.document import MAX_TEXT_BYTES, parse_document, read_document

VALID_TEXT = """failure_domains = ["bowbazar", "howrah"]
[[class]]
name = "booking"
routes = [
  "POST /jobdesk/bookings",
  "PUT /jobdesk/bookings",
]
idempotent = false
refuse_last = true
complete_fraction = 1
within_ms = 2000
"""


def test_valid_text_is_parsed() -> None:
    routes = (
        RoutePattern("POST", "/jobdesk/bookings"),
        RoutePattern("PUT", "/jobdesk/bookings"),
    )
    booking = WorkClass("booking", routes, False, True, 1.0, 2000)
    assert parse_document(VALID_TEXT) == Document((booking,), ("bowbazar", "howrah"))


@pytest.mark.parametrize(
    ("old", "new", "line", "words"),
    [
        ('"howrah"', '"bowbazar"', 1, "named twice"),
        ('["bowbazar", "howrah"]', '"bowbazar"', 1, "must be a list"),
        ("[[class]]", "weight = 3\n[[class]]", 2, "remove it"),
        ("[[class]]", "[class]", 1, "[[class]]"),
        ('"booking"', '""', 3, "1 to 64"),
        ('name = "booking"\n', "", 2, "name is missing"),
        ("PUT /jobdesk", "PUT jobdesk", 6, "must begin with /"),
        ("PUT /jobdesk", "PUT /_eelgrassmount", 6, "must begin with /"),
        ("PUT /jobdesk", "PUT  /jobdesk", 6, "one space"),
        ("PUT", "FETCH", 6, "must be one of"),
        ('"PUT', '"POST', 6, "already"),
        ("= false", '= "no"', 8, "true or false"),
        ("refuse_last", "refuselast", 9, "did you mean 'refuse_last'"),
        ("= 1\n", "= 0.0\n", 10, "above 0"),
        ("= 1\n", "= true\n", 10, "above 0"),
        ("= 1\n", "= nan\n", 10, "above 0"),
        ("2000", "600001", 11, "600000"),
        ("2000", "2.5", 11, "whole number"),
        ("within_ms = 2000", 'address = "127.0.0.1:80"', 11, "by itself"),
        ("= 2000", "= = 2000", 11, "not TOML"),
        ("= 2000", "= 2000\nwithin_ms = 1", 12, "not TOML"),
        (VALID_TEXT, "x = [1", 1, "not TOML"),
        (VALID_TEXT, "", 1, "no class of work"),
        (VALID_TEXT, "[" * 5000, 1, "not TOML"),
        (VALID_TEXT, "#" * (MAX_TEXT_BYTES + 1), 1, "at most"),
    ],
)
def test_problem_is_reported_with_line(
    old: str, new: str, line: int, words: str
) -> None:
    problems = parse_document(VALID_TEXT.replace(old, new))
    assert isinstance(problems, tuple)
    assert any(p.line == line and words in p.message for p in problems), problems


def test_all_problems_are_reported_together() -> None:
    second = VALID_TEXT.partition("\n")[2].replace("= 2000", "= 0")
    problems = parse_document(VALID_TEXT.replace("= 1\n", "= 2\n") + second + "x = =\n")
    assert [p.line for p in problems] == [10, 13, 15, 16, 21, 22]


def test_unknown_keys_of_a_newer_release_are_ignored() -> None:
    text = VALID_TEXT.replace("[[class]]", "color = 1\n[[class]]")
    assert read_document(text).document == parse_document(VALID_TEXT)


@given(st.text(alphabet="[]=\"\n#classrouten_ '{},.0", max_size=80))
def test_any_text_is_parsed_or_reported(text: str) -> None:
    parsed = parse_document(text)
    assert isinstance(parsed, Document) or all(p.line >= 1 for p in parsed)
