"""Which nodes read the log for the others of their failure domain.

The load that this answers: each record of the log wakes all that wait for it. When
every node reads the log itself, its calls are nodes times events. A failure domain that
is cut off needs readers of its own, and a reader that fails has to be replaced by what
each node sees for itself, without an election.
"""

from __future__ import annotations

import math
import zlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

# readers that a node listens to: with two, the loss of one goes unnoticed
SUBSCRIBED_READERS = 2
# nodes of a failure domain for which there is one reader, so that it answers twice as
# many, which takes it little of its processor time
NODES_PER_READER = 32


def count_readers(nodes: int) -> int:
    """Return how many readers a failure domain of so many nodes has.

    >>> count_readers(33), count_readers(1700)
    (2, 54)
    """
    return max(SUBSCRIBED_READERS, math.ceil(nodes / NODES_PER_READER))


def choose_readers(
    ranked: Iterable[str], is_usable: Callable[[str], bool], count: int
) -> list[str]:
    """Return the first nodes that can be used, in an order that all nodes share.

    Nodes that see the same failures choose the same readers::

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
    """Return the readers that a node listens to, which differ from node to node.

    Where there are no more than two, it listens to both.
    """
    others = [name for name in readers if name != node_name]
    others.sort(key=lambda name: zlib.crc32(f"{node_name} {name}".encode()))
    return others[:count]
