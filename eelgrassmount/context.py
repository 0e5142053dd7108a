"""The context that is passed along with each call of a call graph."""

from __future__ import annotations

from enum import IntEnum

import xxhash
from attrs import evolve, frozen

PRIORITY_LEVELS = 1024
MAX_DEPTH = 32


class Tier(IntEnum):
    """Order of refusal under overload: the highest tier is refused first."""

    REFUSED_LAST = 0
    REFUSED_FIRST = 1


@frozen
class Context:
    """The data about a call that every hop has.

    ``deadline_s`` is on this process's monotonic clock; processes exchange only the
    remaining time. ``priority`` is the same at every hop for one root request, from
    0 (refused last) to ``PRIORITY_LEVELS - 1``. ``key`` is empty for a call without
    an idempotency key, ``digest`` identifies the content of the call (method, path
    and body).
    """

    root_id: str
    call_id: str
    parent_id: str
    class_name: str
    deadline_s: float
    attempts_left: int
    tier: Tier
    priority: int
    depth: int
    idempotent: bool
    key: str = ""
    digest: str = ""

    def compute_remaining_s(self, now_s: float) -> float:
        """Return the seconds until the deadline, negative after it."""
        return self.deadline_s - now_s


def compute_priority(root_id: str) -> int:
    """Return the admission priority of a root request.

    Every hop computes the same number, so that under overload all hops admit the
    calls of the same root requests.
    """
    return xxhash.xxh32_intdigest(root_id.encode()) % PRIORITY_LEVELS


def compute_digest(method: str, path: str, body: bytes) -> str:
    """Return a digest of the content of a call."""
    digest = xxhash.xxh3_128()
    digest.update(method.encode())
    digest.update(b"\0")
    digest.update(path.encode())
    digest.update(b"\0")
    digest.update(body)
    return digest.hexdigest()


def derive_child_context(parent: Context, call_id: str, attempts_left: int) -> Context:
    """Return the context of a downstream call made on behalf of ``parent``."""
    return evolve(
        parent,
        call_id=call_id,
        parent_id=parent.call_id,
        attempts_left=attempts_left,
        depth=parent.depth + 1,
        key="",
    )
