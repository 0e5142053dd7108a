"""Parsing of decimal numbers."""

from __future__ import annotations

import math

import pytest

from eelgrassmount.util.fields import parse_number


# A decimal bound with many digits was refused, so that no node started.
@pytest.mark.parametrize(
    ("text", "value"),
    [
        ("213", 213.0),
        ("32.76923076923077", 32.76923076923077),
        (repr(1 / 3), 1 / 3),
        (repr(2.0**53), 2.0**53),
        (repr(1e-07), 1e-07),
        ("1e6", 1e6),
        ("1.5E+3", 1500.0),
        ("+6", 6.0),
        ("-0.2", -0.2),
        ("0" * 20 + "6", 6.0),
    ],
)
def test_decimal_formats_are_parsed(text, value):
    assert parse_number(text) == value


@pytest.mark.parametrize(
    "text",
    ["", "soon", "true", "nan", "inf", "-inf", "6_0", " 6", "6.", ".5", "1e", "0x6"],
)
def test_other_texts_are_not_numbers(text):
    assert math.isnan(parse_number(text))


def test_overlong_number_is_refused():
    assert math.isnan(parse_number("9" * 10_000))
