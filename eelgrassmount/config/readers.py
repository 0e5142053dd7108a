"""Which nodes of a failure domain tail the log."""

from __future__ import annotations

from itertools import islice
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

READERS_PER_DOMAIN = 2
ROTATION_S = 60.0


def is_reader(address: str, live: Iterable[str], epoch: int) -> bool:
    """Tell whether the node at ``address`` is to tail the log.

    ``live`` are the addresses of the live nodes of its failure domain, as it
    knows them. The first `READERS_PER_DOMAIN` nodes by rendezvous hash tail the log; when
    one dies the next in rank takes its place. One more is found by a hash that
    varies with ``epoch``, a count of periods of `ROTATION_S` on the node's own
    clock, so that a domain whose chosen nodes cannot reach the log is not cut
    from it for long.
    """
    candidates = set(live) | {address}
    if _is_among_first(address, candidates, "", READERS_PER_DOMAIN):
        return True
    return _is_among_first(address, candidates, str(epoch), 1)


def _is_among_first(address: str, candidates: set[str], salt: str, count: int) -> bool:
    own = _weigh(address, salt)
    above = (other for other in candidates if _weigh(other, salt) > own)
    # a few are enough to tell that this node is not among the first
    return next(islice(above, count - 1, None), None) is None


def _weigh(address: str, salt: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{salt}|{address}".encode())
