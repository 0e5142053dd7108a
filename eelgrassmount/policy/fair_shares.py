"""Divides the admitted requests of a class among the groups of callers that send them.

A team that sends several times its usual load would otherwise take most of an
overloaded service, since all requests of a class have the same odds. Without teams,
the failure domains of the clients have peaks at different times.
"""

from __future__ import annotations

import math
from heapq import nlargest
from typing import TYPE_CHECKING, NamedTuple

from attrs import frozen

from eelgrassmount.policy.shedding import RequestClass

if TYPE_CHECKING:
    from collections.abc import Mapping


class GroupKey(NamedTuple):
    """The requests of one class that a group of callers sends."""

    request_class: RequestClass
    group: str


@frozen
class FairDivision:
    """The admitted fractions of a class by group.

    ``level`` is the rate per weight that no heavy group exceeds. ``group_fractions``
    holds the fractions of the heavy groups, and ``others_fraction`` applies to all
    other groups.
    """

    level: float
    group_fractions: dict[str, float]
    others_fraction: float


def divide_fairly(
    heavy_rates: Mapping[str, float],
    others_rate: float,
    admitted_fraction: float,
    weights: Mapping[str, float] | None = None,
) -> FairDivision:
    """Divide the admitted requests of a class by max-min fairness.

    ``heavy_rates`` holds the rates of the heavy groups, ``others_rate`` that of all
    other groups together; the single rates of the latter are unknown, but none exceeds
    the smallest heavy one. The heavy groups share what the others leave::

        divide_fairly({"press": 60.0, "guild": 10.0}, 30.0, 0.7)
        # level 30.0, press 0.5, guild 1.0, others 1.0

    If that is less than the smallest heavy rate, other groups may exceed the level too.
    Each heavy group then counts with the smallest rate, and all are reduced alike::

        divide_fairly({"press": 60.0, "guild": 10.0}, 30.0, 0.3)
        # level 6.0, press 0.1, guild 0.6, others 0.6

    The sum of what is admitted is the same in each case. ``weights`` are 1 by default.
    """
    rates = {group: rate for group, rate in heavy_rates.items() if rate > 0.0}
    if admitted_fraction >= 1.0:
        return FairDivision(math.inf, dict.fromkeys(rates, 1.0), 1.0)
    if not rates:
        return FairDivision(0.0, {}, admitted_fraction)
    weight_of = {group: (weights or {}).get(group, 1.0) for group in rates}
    admitted_rate = admitted_fraction * (math.fsum(rates.values()) + others_rate)
    level = _find_level(rates, weight_of, admitted_rate - others_rate)
    others_fraction = 1.0
    smallest = min(rate / weight_of[group] for group, rate in rates.items())
    if level < smallest:
        counted_rate = smallest * math.fsum(weight_of.values()) + others_rate
        others_fraction = admitted_rate / counted_rate
        level = smallest * others_fraction
    fractions = {
        group: min(1.0, level * weight_of[group] / rate)
        for group, rate in rates.items()
    }
    return FairDivision(level, fractions, others_fraction)


def _find_level(
    rates: dict[str, float], weights: dict[str, float], room: float
) -> float:
    """Return the rate per weight at which all groups together take up the room."""
    total_weight = math.fsum(weights.values())
    for group in sorted(
        rates, key=lambda group: (rates[group] / weights[group], group)
    ):
        if room * weights[group] < rates[group] * total_weight:
            break
        room -= rates[group]
        total_weight -= weights[group]
    else:
        return math.inf
    return room / total_weight


def list_heaviest(rates: Mapping[GroupKey, float], limit: int) -> dict[GroupKey, float]:
    """Return the groups with the largest shares of their classes.

    Shares are compared instead of rates, as a class with few requests would otherwise
    have no groups in the list.
    """
    if len(rates) <= limit:
        return dict(rates)
    class_rates: dict[RequestClass, float] = {}
    for key, rate in rates.items():
        class_rates[key.request_class] = class_rates.get(key.request_class, 0.0) + rate
    largest = nlargest(
        limit, rates, key=lambda key: rates[key] / class_rates[key.request_class]
    )
    return {key: rates[key] for key in largest}
