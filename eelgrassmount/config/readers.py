"""Choice of the nodes of a failure domain that tail the log."""

from __future__ import annotations

from itertools import islice
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

READERS_PER_DOMAIN = 2
ROTATION_INTERVAL_S = 60.0


def is_reader(address: str, live: Iterable[str], epoch: int) -> bool:
    """Return whether the node at ``address`` tails the log.

    ``live`` are the addresses of the live nodes of its failure domain, as it
    knows them. The first `READERS_PER_DOMAIN` nodes by rendezvous hash tail the
    log; when one dies, the next in rank replaces it. One more node is chosen by a
    hash that varies with ``epoch``, a count of periods of `ROTATION_INTERVAL_S`
    on the node's clock. It follows the log if the others cannot reach it.
    """
    candidates = set(live) | {address}
    if _is_among_first(address, candidates, "", READERS_PER_DOMAIN):
        return True
    return _is_among_first(address, candidates, str(epoch), 1)


def _is_among_first(address: str, candidates: set[str], salt: str, count: int) -> bool:
    score = _compute_score(address, salt)
    above = (other for other in candidates if _compute_score(other, salt) > score)
    # stops at the first ``count`` of them
    return next(islice(above, count - 1, None), None) is None


def _compute_score(address: str, salt: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{salt}|{address}".encode())
