"""Which routes are cut when a service that they lead to is short.

The load that this answers: several routes ask more of one service than it can do, of
which some are more urgent, and their requests make different numbers of calls.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from eelgrassmount.relay.routes import Route


def divide_level(asked: list[tuple[Route, float]], level: float) -> dict[str, float]:
    """Return the part of each route's requests that a service has room for.

    ``asked`` holds, by route, the calls that the offered requests ask of the service,
    and ``level`` the part of all of them that it can do. Routes stand one above the
    other, the most urgent at the bottom; those at the level are cut in proportion::

        divide_level([(book, 20.0), (price, 20.0)], 0.75)
        # {"shop/book/": 1.0, "shop/price/": 0.5}
    """
    room = level * sum(calls for _, calls in asked)
    shares = {}
    for priority in sorted({route.priority for route, _ in asked}):
        rank = [one for one in asked if one[0].priority == priority]
        height = sum(calls for _, calls in rank)
        share = max(0.0, min(1.0, room / height))
        shares.update({route.name: share for route, _ in rank})
        room -= height
    return shares
