"""Division of a class among groups of callers."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from eelgrassmount.policy.fair_shares import GroupKey, divide_fairly, list_heaviest
from eelgrassmount.policy.shedding import RequestClass

RATES = st.dictionaries(st.text(max_size=2), st.floats(0.01, 1e6), min_size=1)
OTHERS = st.floats(0.0, 1e6)
FRACTIONS = st.floats(0.001, 0.999)
ROUNDING = 1.0 + 1e-9


def compute_admitted(rates, division):
    return {group: rates[group] * division.group_fractions[group] for group in rates}


def test_one_heavy_team_takes_nothing_from_small_ones():
    division = divide_fairly({"press": 120.0, "guild": 9.0}, 171.0, 0.7)
    assert division.group_fractions == {"press": pytest.approx(0.25), "guild": 1.0}
    assert division.others_fraction == 1.0


def test_shares_are_proportional_to_weights():
    rates = {"press": 90.0, "guild": 60.0}
    division = divide_fairly(rates, 0.0, 0.4, {"press": 3.0})
    expected = {"press": pytest.approx(45.0), "guild": pytest.approx(15.0)}
    assert compute_admitted(rates, division) == expected


def test_nothing_is_divided_without_rates_or_at_the_limits():
    assert divide_fairly({"press": 0.0}, 5.0, 0.4).others_fraction == 0.4
    assert divide_fairly({"press": 9.0}, 1.0, 1.0).group_fractions == {"press": 1.0}
    assert divide_fairly({"press": 9.0}, 1.0, 0.0).group_fractions == {"press": 0.0}


@given(RATES, OTHERS, FRACTIONS, st.randoms())
def test_division_admits_the_fraction_of_the_class_up_to_a_level(
    rates, others, fraction, rng
):
    division = divide_fairly(rates, others, fraction)
    admitted = compute_admitted(rates, division)
    total = sum(admitted.values()) + others * division.others_fraction
    assert total == pytest.approx(fraction * (sum(rates.values()) + others))
    assert fraction <= division.others_fraction * ROUNDING <= ROUNDING
    for group, rate in rates.items():
        assert admitted[group] == pytest.approx(min(rate, division.level))
    shuffled = list(rates.items())
    rng.shuffle(shuffled)
    assert divide_fairly(dict(shuffled), others, fraction) == division


@given(RATES, OTHERS, FRACTIONS, st.floats(0.0, 1e6), st.data())
def test_more_requests_of_one_group_leave_the_others_their_equal_share(
    rates, others, fraction, more, data
):
    sender = data.draw(st.sampled_from(sorted(rates)))
    total = sum(rates.values()) + others
    raised = {**rates, sender: rates[sender] + more}
    before = compute_admitted(rates, divide_fairly(rates, others, fraction))
    # The admitted rate stays the same.
    division = divide_fairly(raised, others, fraction * total / (total + more))
    admitted = compute_admitted(raised, division)
    most_groups = len(raised) + others / min(raised.values())
    for group in rates.keys() - {sender}:
        equal_share = min(before[group], fraction * total / most_groups)
        assert admitted[group] * ROUNDING >= equal_share


def test_groups_with_the_largest_shares_of_their_classes_are_listed():
    large, small = RequestClass("shop/list/", 0), RequestClass("shop/book/", 0)
    rates = {GroupKey(large, f"t{number}"): 10.0 + number for number in range(40)}
    rates[GroupKey(small, "t0")] = 0.5
    found = list_heaviest(rates, 3)
    assert [key.group for key in found] == ["t0", "t39", "t38"]
