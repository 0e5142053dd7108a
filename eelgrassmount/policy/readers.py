"""Chooses the nodes of a failure domain that read the log for its other nodes.

If each node read the log itself, the log would serve as many calls per event as there
are nodes. Readers are chosen without an election, from the failures that each node
observes, so that a partitioned failure domain has readers of its own.
"""

from __future__ import annotations

import math
import zlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

# With two readers, a node notices nothing of the loss of one.
SUBSCRIBED_READERS = 2
# Each reader serves up to this number of nodes times `SUBSCRIBED_READERS`, which takes
# little of its processor time.
NODES_PER_READER = 32


def count_readers(nodes: int) -> int:
    """Return how many readers a failure domain with this number of nodes has.

    >>> count_readers(33), count_readers(1700)
    (2, 54)
    """
    return max(SUBSCRIBED_READERS, math.ceil(nodes / NODES_PER_READER))


def choose_readers(
    ranked: Iterable[str], is_usable: Callable[[str], bool], count: int
) -> list[str]:
    """Return the first ``count`` usable nodes, in an order that all nodes share.

    Nodes that observe the same failures choose the same readers::

        choose_readers(["a", "b", "c", "d"], lambda name: name != "b", 2)
        # ["a", "c"]
    """
    readers = []
    for name in ranked:
        if len(readers) >= count:
            break
        if is_usable(name):
            readers.append(name)
    return readers


def choose_subscribed_readers(
    node_name: str, readers: Iterable[str], count: int = SUBSCRIBED_READERS
) -> list[str]:
    """Return the readers that a node subscribes to, spread by a hash over all nodes.

    A node subscribes to all readers if there are no more than ``count``.
    """
    others = [name for name in readers if name != node_name]
    others.sort(key=lambda name: zlib.crc32(f"{node_name} {name}".encode()))
    return others[:count]
