"""Division of the classes that are admitted in part among groups of callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field, frozen
from loguru import logger

from eelgrassmount.entry.request_rates import smooth_rates
from eelgrassmount.policy.fair_shares import (
    FairDivision,
    GroupKey,
    divide_fairly,
    list_heaviest,
)
from eelgrassmount.relay.tallies import Tally

if TYPE_CHECKING:
    from collections.abc import Callable

    from eelgrassmount.policy.shedding import RequestClass

# Groups that a node tells others of, in all classes together.
MAX_TOLD_GROUPS = 16
# Control steps for which a class that is admitted whole again is still told. Nodes
# notice the end of an overload at different times, and sums over some would be wrong.
TOLD_STEPS = 15
# Fraction relative to its class below which a group counts as limited.
MAX_LIMITED_FRACTION = 0.9
# Control steps for which a group is limited more than not before it is logged; rates of
# a few requests vary.
LOGGED_STEPS = 15


@frozen
class LimitedGroup:
    """A group that gets less than its class; ``rate`` is in requests per second."""

    key: GroupKey
    rate: float
    fraction: float


@frozen
class ClassDivision:
    """The division of a class of which a fraction is admitted."""

    class_fraction: float
    rates: dict[str, float]
    shares: FairDivision

    def find_relative_fraction(self, group: str) -> float:
        """Return the admitted fraction of a group, relative to that of the class."""
        shares = self.shares
        fraction = shares.group_fractions.get(group, shares.others_fraction)
        return fraction / self.class_fraction


@define(eq=False)
class FairShares:
    """Divides the classes that are admitted in part by max-min fairness.

    A group is a team, or the failure domain of the entry node for requests of no team;
    with an empty ``failure_domain`` they belong to no group.
    ``find_cluster_counts`` returns the counts of all nodes; while they contain no
    groups, the node uses its own ``rates``. Every node divides by the same counts, so
    that a group gets the same fraction wherever its requests arrive. ``on_decision`` is
    called with the size of the group and whether its request was admitted.
    """

    failure_domain: str = ""
    find_cluster_counts: Callable[[], Tally] = Tally
    on_decision: Callable[[str, bool], None] = lambda size, admitted: None
    is_enabled: bool = False
    rates: dict[GroupKey, float] = field(factory=dict)
    divisions: dict[RequestClass, ClassDivision] = field(factory=dict)
    _new_requests: dict[GroupKey, int] = field(factory=dict)
    _told_steps: dict[RequestClass, int] = field(factory=dict)
    _limited_steps: dict[GroupKey, int] = field(factory=dict)
    _logged: set[GroupKey] = field(factory=set)

    def record(self, request_class: RequestClass, group: str) -> None:
        """Count a request of a group; ``""`` stands for the failure domain."""
        name = group or self.failure_domain
        if self.is_enabled and name:
            key = GroupKey(request_class, name)
            self._new_requests[key] = self._new_requests.get(key, 0) + 1

    def find_group_fraction(self, request_class: RequestClass, group: str) -> float:
        """Return the admitted fraction of a group, relative to that of its class.

        It is below 1 for heavy groups and above 1 for light ones. The product with the
        fraction of the class never exceeds 1.
        """
        division = self.divisions.get(request_class)
        if division is None:
            return 1.0
        return division.find_relative_fraction(group or self.failure_domain)

    def find_listed_key(
        self, request_class: RequestClass, group: str
    ) -> GroupKey | None:
        """Return the key of a group whose rate is known, ``None`` for other groups."""
        division = self.divisions.get(request_class)
        name = group or self.failure_domain
        if division is None or name not in division.rates:
            return None
        return GroupKey(request_class, name)

    def record_decision(
        self, request_class: RequestClass, group: str, admitted: bool
    ) -> None:
        """Count a decision on a request of a class that is admitted in part."""
        if self.is_enabled:
            is_heavy = self.find_group_fraction(request_class, group) < 1.0
            self.on_decision("heavy" if is_heavy else "light", admitted)

    def list_told(self) -> dict[GroupKey, float]:
        """Return the rates of the heaviest groups, for the counts of all nodes."""
        told = {
            key: rate
            for key, rate in self.rates.items()
            if key.request_class in self._told_steps
        }
        return list_heaviest(told, MAX_TOLD_GROUPS)

    def list_limited(self) -> list[LimitedGroup]:
        """Return the groups that get less than their class, heaviest first."""
        limited = [
            LimitedGroup(
                GroupKey(request_class, group),
                division.rates[group],
                division.shares.group_fractions[group],
            )
            for request_class, division in self.divisions.items()
            for group in division.rates
            if division.find_relative_fraction(group) < MAX_LIMITED_FRACTION
        ]
        return sorted(limited, key=lambda one: (-one.rate, one.key))

    def update(
        self, is_enabled: bool, admitted_fractions: dict[RequestClass, float]
    ) -> None:
        """Divide the classes that are admitted in part, once each control step."""
        self.is_enabled = is_enabled
        self.rates = smooth_rates(self.rates, self._new_requests) if is_enabled else {}
        self._new_requests.clear()
        partial = {
            request_class: fraction
            for request_class, fraction in admitted_fractions.items()
            if is_enabled and 0.0 < fraction < 1.0
        }
        self._told_steps = _count_down(
            self._told_steps, dict.fromkeys(partial, TOLD_STEPS)
        )
        self.divisions = self._divide(partial)
        self._log_limited()

    def _divide(
        self, partial: dict[RequestClass, float]
    ) -> dict[RequestClass, ClassDivision]:
        """Return the divisions of the classes that have known groups."""
        if not partial:
            return {}
        counts = self.find_cluster_counts()
        if not counts.groups:
            counts = self._tally_local_groups()
        rates_by_class: dict[RequestClass, dict[str, float]] = {}
        for (request_class, group), rate in counts.groups.items():
            if rate > 0.0 and request_class in partial:
                rates_by_class.setdefault(request_class, {})[group] = rate
        divisions = {}
        for request_class, rates in rates_by_class.items():
            fraction = partial[request_class]
            others = counts.offered.get(request_class, 0.0) - sum(rates.values())
            shares = divide_fairly(rates, max(0.0, others), fraction)
            divisions[request_class] = ClassDivision(fraction, rates, shares)
        return divisions

    def _tally_local_groups(self) -> Tally:
        tally = Tally(1, groups=self.list_told())
        for key, rate in self.rates.items():
            offered = tally.offered.get(key.request_class, 0.0)
            tally.offered[key.request_class] = offered + rate
        return tally

    def _log_limited(self) -> None:
        limited = {one.key: one for one in self.list_limited()}
        known = self._limited_steps
        steps = {
            key: known.get(key, 0) + (1 if key in limited else -1)
            for key in known.keys() | limited.keys()
        }
        self._limited_steps = {
            key: min(LOGGED_STEPS, count) for key, count in steps.items() if count > 0
        }
        for key, one in limited.items():
            if steps[key] >= LOGGED_STEPS and key not in self._logged:
                self._logged.add(key)
                _log_change("group limited", key, one)
        for key in sorted(self._logged - self._limited_steps.keys()):
            self._logged.remove(key)
            _log_change("group no longer limited", key)


def _count_down(steps: dict, started: dict) -> dict:
    """Return the remaining steps after one more, with new and restarted entries."""
    remaining = {key: left - 1 for key, left in steps.items() if left > 1}
    return {**remaining, **started}


def _log_change(event: str, key: GroupKey, limited: LimitedGroup | None = None) -> None:
    request_class, group = key
    details = {}
    if limited is not None:
        details["rate"] = round(limited.rate, 1)
        details["fraction"] = round(limited.fraction, 3)
    logger.info(
        event,
        group=group,
        route=request_class.route_name,
        rank=request_class.rank,
        **details,
    )
