"""How much of what is offered a short service can take.

The load that this answers: demand surges within a second, the calls that it leads to
arrive over the next one, and reports of them come later still. A level that is moved
step by step by what it sees is too late, and then goes on moving for what it has
changed already. So the level in force when the calls were admitted is taken into
account: it tells how much is offered, and that tells the level at once.
"""

from __future__ import annotations

from collections import deque

from attrs import define, field

from eelgrassmount.policy.forecast import combine_offered

# demand, as a part of what the servers can do, that admission aims at, and while
# calls wait longer than allowed
TARGET_DEMAND = 0.97
TARGET_WITH_WAIT = 0.87
# demand that waits above the allowed stand for, whatever was counted: servers that slow
# down make the count too small, and the level would rise while requests fail
LEAST_BY_WAIT = 0.95
BY_WAIT = 0.05
MOST_BY_WAIT = 1.1
MIN_LEVEL = 0.02
# less demand than this says nothing about how much was offered
MIN_DEMAND = 0.02
STEP_S = 0.2
# steps after which what was admitted shows in the demand: calls follow each other for
# about a second, and the mean of the demand is some steps old
NEWEST_STEP = 2
OLDEST_STEP = 8
# part of the way to the level sought that one step takes: with all of it, the level
# swings by what is counted at random
STEP_GAIN = 0.4
# a level this near to the one sought is set to it, so that it comes to an end
NEAR = 0.01
# growth in one step while nothing is known
MAX_RISE = 1.15
# reports that are older are not waited for
MAX_AGE_STEPS = 8


def find_target(demand: float, wait: float) -> tuple[float, float]:
    """Return the demand to aim at and the one to go by.

    Both are parts of what the servers can do; ``wait`` is a part of what is allowed.
    """
    if wait <= 1.0:
        return TARGET_DEMAND, demand
    by_wait = min(MOST_BY_WAIT, LEAST_BY_WAIT + BY_WAIT * wait)
    return TARGET_WITH_WAIT, max(demand, by_wait)


def seek_level(
    in_force: float, demand: float, wait: float, foreseen: float = 0.0
) -> float:
    """Return the level at which demand would meet its target.

    ``in_force`` is the mean level at which the demand was admitted: demand over it is
    what was offered. ``foreseen`` is what clients offer by their requests, and more
    where the calls of those that failed never came.

        >>> round(seek_level(in_force=0.5, demand=0.485, wait=0.0), 2)
        1.0
        >>> round(seek_level(in_force=0.5, demand=0.97, wait=0.0, foreseen=4.0), 2)
        0.24
    """
    target, demand = find_target(demand, wait)
    counted = max(MIN_DEMAND, demand) / in_force
    offered = combine_offered(counted, foreseen, demand)
    return min(1.0, max(MIN_LEVEL, target / offered))


@define
class LevelControl:
    """The level of a service: the part of what is offered that is admitted.

    Each step compares the work that arrives at the servers with what they can do.
    The length of the queues says little, since a backlog stays for a while after
    the demand has fallen, and since fast servers have queues where slow ones don't.
    """

    level: float = 1.0
    _past: deque[float] = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Begin as if the level had been in force for long."""
        steps = OLDEST_STEP + MAX_AGE_STEPS
        self._past = deque([self.level] * steps, maxlen=steps)

    def update(
        self, demand: float, wait: float, age_steps: int = 0, foreseen: float = 0.0
    ) -> float:
        """Take up demand and wait, as parts of what is possible and allowed.

        They were reported so many steps ago; ``foreseen`` is the demand that follows
        from what clients offer now.
        """
        age = min(MAX_AGE_STEPS, age_steps)
        known = list(self._past)
        seen = known[-OLDEST_STEP - age : len(known) - NEWEST_STEP - age + 1]
        sought = seek_level(sum(seen) / len(seen), demand, wait, foreseen)
        missing = sought - self.level
        near = abs(missing) < NEAR
        return self._move(sought if near else self.level + STEP_GAIN * missing)

    def relax(self) -> float:
        """Rise while nothing is known: to go on refusing would keep it so."""
        return self._move(min(1.0, self.level * MAX_RISE))

    def _move(self, level: float) -> float:
        self.level = level
        self._past.append(level)
        return level
