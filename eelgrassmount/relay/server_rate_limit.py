"""The rate limit that a backend server names in its answers."""

from __future__ import annotations

import math

from attrs import define


@define(eq=False)
class ServerRateLimit:
    """The rate limit of a server, in requests per second of all nodes together.

    ``per_s`` is ``None`` while the server names no limit.
    """

    per_s: float | None = None
    _named_s: float = -math.inf

    def apply_answer(self, per_s: float | None, sent_s: float, now_s: float) -> bool:
        """Apply what an answer says; return whether a limit has begun or ended.

        ``per_s`` is the limit that the answer names, if it names one, and ``sent_s``
        the time at which its request was sent. An answer without a limit ends the
        current one only if its request was sent after the limit was last named, because
        answers to earlier requests may arrive late.
        """
        previous = self.per_s
        if per_s is not None:
            self.per_s = per_s
            self._named_s = now_s
        elif sent_s > self._named_s:
            self.per_s = None
        return (previous is None) != (self.per_s is None)

    def clear(self) -> None:
        """Forget the limit, as when the server is replaced."""
        self.per_s = None
        self._named_s = -math.inf
