"""Recognizes returning clients and chooses when refused ones should return.

In bursts of some seconds, clients that are refused return once, when Retry-After tells
them to, and have then used a part of their objective. A random delay sends them back
while the burst lasts or when they are late, and as newcomers they are refused again.
"""

from __future__ import annotations

import math
import zlib
from typing import TYPE_CHECKING

from attrs import frozen

from eelgrassmount.policy.waiting import MAX_ENTRY_WAIT_SHARE, Visit

if TYPE_CHECKING:
    from collections.abc import Mapping

# Stated times within this factor fall in one bucket.
BUCKET_FACTOR = 1.005
# Share of the requests of a route that has to state the same time.
DOMINANT_SHARE = 0.5
# A time that this share of the requests state is the deadline of a kind of client, if
# it stands out from the times around it. Those of returning clients are spread.
COMMON_SHARE = 0.03
COMMON_PEAK_SHARE = 0.6
PEAK_BUCKETS = 8
# Recent requests, with decaying weights, without which no time counts as dominant.
MIN_STATED_REQUESTS = 10.0
# A client whose first attempt was less than this long ago is new: this share of the
# full time, and at least this many seconds, which a client may take to connect.
MIN_ELAPSED_SHARE = 0.005
MIN_ELAPSED_S = 0.03
# Weight of a stated time that seems to be a further attempt.
FURTHER_WEIGHT = 0.25
# Clients wait for at most this share of the time that they have left.
OBEYED_SHARE = 1.0 / 3.0
# Shortest Retry-After as a share of the longest useful delay. Delays that lie closer
# together would look like the deadline of another kind of client.
MIN_RETURN_SHARE = 0.8
# Part of the spread of delays by which clients without foreseen tokens, or with tokens
# foreseen at the same time, differ.
RANDOM_SPREAD_SHARE = 0.25
# Attempts of one client have the same deadline up to this error in seconds.
DEADLINE_RESOLUTION_S = 0.1
# Change of the share of the returning clients that precede new ones, for each of them
# that gets tokens and as a factor for each that does not.
FAVORED_INCREASE = 0.002
FAVORED_DECREASE = 0.95
MIN_FAVORED_SHARE = 0.02
# Nodes measure different path times; a client may be early by this share of the
# objective.
EARLY_TOLERANCE_SHARE = 0.03
# Delay of a client that can't be in time, as a share of the objective: a late answer
# is better than none.
MIN_LATE_SHARE = 0.25
MAX_LATE_SHARE = 0.6


@frozen
class StatedTime:
    """The mean time in seconds that requests of a route stated, with their weight."""

    seconds: float
    weight: float

    def add(self, seconds: float, weight: float) -> StatedTime:
        """Return the mean with another request."""
        total = self.weight + weight
        mean_s = self.seconds + (seconds - self.seconds) * weight / total
        return StatedTime(mean_s, total)


def find_bucket(seconds: float) -> int:
    """Return the bucket of a stated time; buckets have the same relative width."""
    return math.floor(math.log(max(seconds, 0.001)) / math.log(BUCKET_FACTOR))


def sum_near(stated: Mapping[int, StatedTime], bucket: int, distance: int) -> float:
    """Return the weight of the requests in a bucket and those around it."""
    near = range(bucket - distance, bucket + distance + 1)
    return sum(stated[one].weight for one in near if one in stated)


def is_common(stated: Mapping[int, StatedTime], bucket: int) -> bool:
    """Return whether a kind of client states the times in a bucket at first."""
    weight = sum_near(stated, bucket, 1)
    if weight < COMMON_SHARE * sum(one.weight for one in stated.values()):
        return False
    return weight >= COMMON_PEAK_SHARE * sum_near(stated, bucket, PEAK_BUCKETS)


def find_full_time_s(stated: Mapping[int, StatedTime]) -> float | None:
    """Return the time that most clients of a route state on their first attempt.

    ``None`` unless one value is dominant: where clients choose their deadlines freely,
    less time does not mean that a client has tried before.
    """
    total = sum(one.weight for one in stated.values())
    if total < MIN_STATED_REQUESTS:
        return None
    heaviest = max(stated, key=lambda bucket: stated[bucket].weight)
    if sum_near(stated, heaviest, 1) < DOMINANT_SHARE * total:
        return None
    return stated[heaviest].seconds


def compute_elapsed_s(stated: Mapping[int, StatedTime], remaining_s: float) -> float:
    """Return how long ago a client began, 0 if it is new or that is not known.

    For example::

        stated = {find_bucket(5.0): StatedTime(5.0, 100.0)}
        compute_elapsed_s(stated, remaining_s=4.2)  # 0.8
    """
    full_s = find_full_time_s(stated)
    if full_s is None:
        return 0.0
    if full_s - remaining_s < max(MIN_ELAPSED_S, MIN_ELAPSED_SHARE * full_s):
        return 0.0
    if is_common(stated, find_bucket(remaining_s)):
        return 0.0
    return full_s - remaining_s


@frozen
class ReturnLimits:
    """The times in seconds that bound the return of a refused client.

    ``objective_s`` counts from the first attempt, ``elapsed_s`` ago. ``path_s`` is what
    a request usually takes, ``remaining_s`` what the client has left.
    """

    objective_s: float
    elapsed_s: float
    path_s: float
    remaining_s: float

    def find_longest_delay_s(self) -> float:
        """Return the longest delay after which the client can be served in time.

        It may still have to wait at the entry then, and comes after a third of its
        remaining time in any case. Negative if it can't be in time any more::

            ReturnLimits(1.6, 0.0, path_s=0.4, remaining_s=5.0).find_longest_delay_s()
            # 1.0
        """
        wait_s = MAX_ENTRY_WAIT_SHARE * self.objective_s
        in_time_s = self.objective_s - self.elapsed_s - self.path_s - wait_s
        return min(in_time_s, OBEYED_SHARE * self.remaining_s)

    def find_shortest_delay_s(self) -> float:
        """Return the shortest Retry-After that a client is told."""
        longest_s = self.find_longest_delay_s()
        if longest_s <= 0:
            return min(
                MIN_LATE_SHARE * self.objective_s, OBEYED_SHARE * self.remaining_s
            )
        return MIN_RETURN_SHARE * longest_s


def draw_client(target: str, deadline_unix_s: float) -> float:
    """Return a number from 0 to 1 that is the same for all attempts of a client.

    All nodes draw the same number if their clocks agree. If they don't, the client gets
    another draw, with the same odds.
    """
    tick = round(deadline_unix_s / DEADLINE_RESOLUTION_S)
    return zlib.crc32(f"{tick} {target}".encode()) / 2**32


def adjust_favored_share(share: float, succeeded: bool) -> float:
    """Return the share of the returning clients that may precede new ones.

    If more return than there are tokens for, a part of them, chosen by `draw_client`,
    gets all tokens. Further attempts would improve the odds of a client if each of them
    were decided anew.
    """
    if succeeded:
        return min(1.0, share + FAVORED_INCREASE)
    return max(MIN_FAVORED_SHARE, FAVORED_DECREASE * share)


def classify_visit(
    limits: ReturnLimits, elapsed_s: float, is_repeating: bool, is_favored: bool
) -> Visit:
    """Return what kind of attempt a request is, ``elapsed_s`` after the first one.

    ``limits`` are those of the first attempt. ``is_repeating`` is set if the client is
    known to have repeated its request too early, ``is_favored`` if it is among those
    that may precede new ones. The interval in which clients return depends on nothing
    that one node knows alone, so that all nodes recognize those of each other::

        limits = ReturnLimits(1.6, 0.0, path_s=0.4, remaining_s=5.0)
        classify_visit(limits, 0.5, is_repeating=False, is_favored=True)  # EARLY
        classify_visit(limits, 0.9, is_repeating=False, is_favored=True)  # RETURNING
    """
    if elapsed_s <= 0:
        return Visit.NEW
    tolerance_s = EARLY_TOLERANCE_SHARE * limits.objective_s
    longest_s = limits.find_longest_delay_s()
    if elapsed_s < limits.find_shortest_delay_s() - tolerance_s:
        return Visit.EARLY
    if elapsed_s > longest_s + MAX_ENTRY_WAIT_SHARE * limits.objective_s:
        return Visit.LATE
    return Visit.RETURNING if is_favored and not is_repeating else Visit.UNFAVORED


def choose_return_delay_s(
    limits: ReturnLimits, foreseen_s: float, draw: float
) -> float:
    """Return after how many seconds a refused client should come back.

    ``foreseen_s`` is when tokens are foreseen for it, infinite if none are. Those with
    earlier tokens return earlier. ``draw``, from 0 to 1, spreads the clients that are
    refused together::

        limits = ReturnLimits(1.6, 0.0, path_s=0.4, remaining_s=5.0)
        choose_return_delay_s(limits, foreseen_s=0.0, draw=0.0)  # 0.8
        choose_return_delay_s(limits, foreseen_s=2.0, draw=1.0)  # 1.0
    """
    longest_s = limits.find_longest_delay_s()
    if longest_s <= 0:
        share = MIN_LATE_SHARE + draw * (MAX_LATE_SHARE - MIN_LATE_SHARE)
        late_s = share * limits.objective_s
        return max(0.0, min(late_s, OBEYED_SHARE * limits.remaining_s))
    shortest_s = limits.find_shortest_delay_s()
    position = draw
    if foreseen_s <= longest_s:
        position *= RANDOM_SPREAD_SHARE
        position += (1.0 - RANDOM_SPREAD_SHARE) * foreseen_s / longest_s
    return shortest_s + position * (longest_s - shortest_s)
