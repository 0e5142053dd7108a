"""Time up to which a node knows the records of the log."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import define
from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from eelgrassmount.topics.follower import TopicFollower

# Age from which a node logs that its records are not confirmed. It also applies to the
# time since the start while nothing has been confirmed.
UNCONFIRMED_AGE_S = 5.0
MS_PER_S = 1000
# Source of what a node has read from the log itself.
LOG_SOURCE = "log"


@define(eq=False, repr=False)
class LogFreshness:
    """The time before which all records of the log are known to this node.

    Records that the log accepted later may be missing. The time is confirmed by reads
    of this node, of the topic read longest ago, or by another node, the ``source``. It
    is never too late: of another node's answer, the time of the request counts.
    """

    followers: list[TopicFollower]
    clock: Callable[[], float]
    received_s: float = -math.inf
    sender: str = ""
    _started_s: float = math.inf
    _is_reported: bool = False

    def __attrs_post_init__(self) -> None:
        """Record the start time."""
        self._started_s = self.clock()

    def find_read_s(self) -> float:
        """Return the time that the reads of this node confirm."""
        times_s = [follower.confirmed_s for follower in self.followers]
        return min(times_s, default=-math.inf)

    def receive(self, time_s: float, sender: str) -> None:
        """Record the time that another node confirms."""
        if time_s > self.received_s:
            self.received_s = time_s
            self.sender = sender

    def reset(self) -> None:
        """Forget what was confirmed for an earlier log epoch."""
        self.received_s = -math.inf

    def compute_age_s(self) -> float:
        """Return the age of the confirmed time, infinity if there is none."""
        return self.clock() - max(self.find_read_s(), self.received_s)

    def find_source(self) -> str:
        """Return the name of the node that has confirmed it, or ``log``."""
        return self.sender if self.received_s > self.find_read_s() else LOG_SOURCE

    def report(self, version: int, reading: bool) -> None:
        """Log when the records become too old and when they are confirmed again."""
        age_s = self.compute_age_s()
        is_old = min(age_s, self.clock() - self._started_s) > UNCONFIRMED_AGE_S
        if is_old == self._is_reported:
            return
        self._is_reported = is_old
        log = logger.warning if is_old else logger.info
        log(
            "log unconfirmed" if is_old else "log confirmed",
            age_s=None if math.isinf(age_s) else round(age_s, 3),
            source=self.find_source(),
            version=version,
            reading=reading,
        )
