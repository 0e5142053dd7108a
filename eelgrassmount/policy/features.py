"""Decides which optional features a configuration turns on."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

if TYPE_CHECKING:
    from collections.abc import Iterable

    from eelgrassmount.relay.routes import Route


@frozen
class Features:
    """The optional features of a deployment.

    ``budgets_calls``: each node admits requests within its share of the calls that an
    overloaded service can run, and lets them wait briefly for it.
    ``expects_returns``: refused clients are told when to return, and those that do
    precede others of their rank. ``shares_fairly``: teams divide the
    requests of a class that is admitted in part. ``plans_retries``: retries are spent
    on the requests that they can finish. ``moves_calls``: servers with free slots take
    over calls that wait for other servers.
    """

    budgets_calls: bool = False
    expects_returns: bool = False
    shares_fairly: bool = False
    plans_retries: bool = False
    moves_calls: bool = False


def choose_features(routes: Iterable[Route]) -> Features:
    """Return the features that a configuration turns on.

    A bulk route declares that the deployment mixes bulk and interactive work on the
    same services. All features depend on it, so that a deployment whose configuration
    says nothing of the kind is served as by earlier releases::

        choose_features([sheet_download, price_list])
        # Features(budgets_calls=True, expects_returns=True, ...)
    """
    found = list(routes)
    if not any(route.is_bulk for route in found):
        return Features()
    return Features(
        budgets_calls=True,
        # A refused client can be in time only if it may wait longer than one attempt.
        expects_returns=any(route.objective_s > route.timeout_s for route in found),
        shares_fairly=True,
        plans_retries=True,
        moves_calls=True,
    )
