"""A node's requests for quota, on behalf of the clients that come to it."""

from __future__ import annotations

import math
from collections import deque
from functools import partial
from typing import TYPE_CHECKING

from attrs import define, field, frozen

from eelgrassmount.verdict import Reason

if TYPE_CHECKING:
    from collections.abc import Callable

    from eelgrassmount.teams.directory import Team
    from eelgrassmount.teams.quota_allocator import Grant

# a holder that has not answered after so long is left, and another asked
ANSWER_TIMEOUT_S = 0.06
# holders that are asked for one request
MAX_ALLOCATORS_PER_REQUEST = 2
# requests that were granted and not used go back after so long
GRANT_LIFETIME_S = 0.5
# requests that are asked for ahead, as the time for which they are likely to last
PREFETCH_PERIOD_S = 0.1
# what was begun without asking is told after so long
USAGE_REPORT_DELAY_S = 0.01
# a node that no holder answers lets some requests begin within this time after a holder
# has said that most of a quota is left: as many as usually come in the second time
FALLBACK_PERIOD_S = 1.0
FALLBACK_QUOTA_S = 0.3
# all others are told to come back after so long
UNJUDGED_WAIT_S = 0.3
# the rate of requests is a mean over about so long
RATE_WINDOW_S = 0.5


@frozen
class QuotaVerdict:
    """Whether a request may begin, or why not and when to come back."""

    refusal: Reason | None = None
    wait_s: float = 0.0


ALLOWED = QuotaVerdict()


@define(eq=False)
class WaitingRequest:
    """A request that waits for quota; ``decide`` is called once."""

    decide: Callable[[QuotaVerdict], None]
    tried_allocators: list[str] = field(factory=list)
    finished: bool = False


@define(eq=False)
class TeamQuota:
    """What a node has of one team's quota, and asks for.

    ``in_hand`` requests were granted and may begin until ``keep_until_s``. Until
    ``free_until_s`` the node needs not ask. If no holder answers, ``trusted`` requests
    may begin until ``trust_until_s``. ``used`` counts what was not told yet. The team
    ``is_short`` while less is granted than asked for.
    """

    unused_grants: int = 0
    grants_expire_s: float = -math.inf
    ungranted_until_s: float = -math.inf
    fallback_until_s: float = -math.inf
    fallback_requests: int = 0
    unreported: int = 0
    rate: float = 0.0
    updated_s: float = -math.inf
    waiting: deque[WaitingRequest] = field(factory=deque)
    is_exhausted: bool = False
    is_request_due: bool = False
    is_report_due: bool = False

    def record_request(self, now_s: float) -> None:
        """Take up a request into the mean rate."""
        remaining_weight = max(0.0, 1.0 - (now_s - self.updated_s) / RATE_WINDOW_S)
        self.rate = remaining_weight * self.rate + 1.0 / RATE_WINDOW_S
        self.updated_s = now_s


@define(eq=False)
class OpenRequest:
    """What was asked of a holder: the requests that wait for its answer."""

    team: Team
    allocator: str
    waiting: list[WaitingRequest]


@define(eq=False)
class QuotaClient:
    """Asks the holder of a team's quota for each request of its clients.

    Where most of a quota is left, requests begin at once and the holder is told. One
    that doesn't answer is left for the holder of another failure domain.
    ``list_holders`` returns the holders of a team, the nearest one first, and ``ask``
    sends a question to one of them and returns whether it can be reached.
    """

    clock: Callable[[], float]
    call_later: Callable[[float, Callable[[], None]], object]
    list_allocators: Callable[[str], list[str]]
    send_request: Callable[[str, int, Team, int, int], bool]
    ungranted_period_s: float
    quotas: dict[str, TeamQuota] = field(factory=dict)
    _last_number: int = 0
    _open_requests: dict[int, OpenRequest] = field(factory=dict)

    def request(
        self, team: Team, decide: Callable[[QuotaVerdict], None]
    ) -> WaitingRequest:
        """Decide on one request of a team, now or within some milliseconds.

        A request whose client leaves meanwhile is ended by ``cancel``.
        """
        now_s = self.clock()
        quota = self.quotas.setdefault(team.name, TeamQuota())
        quota.record_request(now_s)
        waiting = WaitingRequest(decide)
        if quota.unused_grants and now_s < quota.grants_expire_s:
            quota.unused_grants -= 1
            self._decide(waiting, ALLOWED)
        elif now_s < quota.ungranted_until_s:
            self._record_usage(team, quota)
            self._decide(waiting, ALLOWED)
        else:
            quota.waiting.append(waiting)
            if not quota.is_request_due:
                # those of one turn of the loop are asked for together
                quota.is_request_due = True
                self.call_later(0.0, lambda: self._request_grants(team, quota))
        return waiting

    def return_quota(self, team: Team) -> None:
        """Take a request back that may begin and does not run."""
        quota = self.quotas.setdefault(team.name, TeamQuota())
        self._record_usage(team, quota, -1)

    def cancel(self, waiting: WaitingRequest) -> None:
        """End a request that nobody waits for."""
        waiting.finished = True

    def handle_grant(self, number: int, grant: Grant) -> None:
        """Take up the answer to a question, or the word that the node must ask."""
        quota = self.quotas.get(grant.team_name)
        if quota is None:
            return
        now_s = self.clock()
        quota.ungranted_until_s = (
            now_s + self.ungranted_period_s if grant.allows_ungranted else -math.inf
        )
        if grant.allows_ungranted:
            quota.fallback_until_s = now_s + FALLBACK_PERIOD_S
            quota.fallback_requests = max(1, math.floor(FALLBACK_QUOTA_S * quota.rate))
        elif grant.granted < grant.wanted:
            quota.fallback_requests = 0
        if grant.wanted:
            quota.is_exhausted = grant.granted < grant.wanted
        request = self._open_requests.pop(number, None)
        if request is not None:
            self._distribute_grant(quota, request, grant, now_s)

    def step(self) -> None:
        """Give back what was granted and not used."""
        now_s = self.clock()
        for quota in self.quotas.values():
            if quota.unused_grants and now_s >= quota.grants_expire_s:
                quota.unreported -= quota.unused_grants
                quota.unused_grants = 0

    def drain_unreported(self, name: str) -> int:
        """Return what was begun without asking since it was last told."""
        quota = self.quotas.get(name)
        if quota is None:
            return 0
        used, quota.unreported = quota.unreported, 0
        return used

    def keep_teams(self, names: set[str]) -> None:
        """Forget all other teams, unless their requests wait."""
        self.quotas = {
            name: one
            for name, one in self.quotas.items()
            if name in names or one.waiting
        }

    def _record_usage(self, team: Team, quota: TeamQuota, count: int = 1) -> None:
        quota.unreported += count
        if not quota.is_report_due:
            quota.is_report_due = True
            self.call_later(
                USAGE_REPORT_DELAY_S, lambda: self._report_usage(team, quota)
            )

    def _report_usage(self, team: Team, quota: TeamQuota) -> None:
        quota.is_report_due = False
        allocator = next(iter(self.list_allocators(team.name)), None)
        if allocator is None or not quota.unreported:
            return
        self._last_number += 1
        used = self.drain_unreported(team.name)
        if not self.send_request(allocator, self._last_number, team, used, 0):
            quota.unreported += used

    def _request_grants(self, team: Team, quota: TeamQuota) -> None:
        """Ask for all requests that wait."""
        quota.is_request_due = False
        requests = [one for one in quota.waiting if not one.finished]
        quota.waiting.clear()
        prefetch = (
            0 if quota.is_exhausted else math.floor(PREFETCH_PERIOD_S * quota.rate)
        )
        if requests:
            self._send(team, quota, requests, prefetch)

    def _send(
        self,
        team: Team,
        quota: TeamQuota,
        requests: list[WaitingRequest],
        prefetch: int,
    ) -> None:
        tried = requests[0].tried_allocators
        for allocator in self.list_allocators(team.name):
            if allocator in tried or len(tried) >= MAX_ALLOCATORS_PER_REQUEST:
                continue
            for one in requests:
                one.tried_allocators.append(allocator)
            self._last_number += 1
            number = self._last_number
            # before the question goes out, as a holder may answer at once
            self._open_requests[number] = OpenRequest(team, allocator, requests)
            used = self.drain_unreported(team.name)
            if self.send_request(
                allocator, number, team, used, len(requests) + prefetch
            ):
                self.call_later(
                    ANSWER_TIMEOUT_S, partial(self._try_next_allocator, number)
                )
                return
            del self._open_requests[number]
            quota.unreported += used
        self._decide_without_allocator(team, quota, requests)

    def _try_next_allocator(self, number: int) -> None:
        """Ask another holder for what one has not answered."""
        request = self._open_requests.pop(number, None)
        if request is None:
            return
        quota = self.quotas.setdefault(request.team.name, TeamQuota())
        requests = [one for one in request.waiting if not one.finished]
        if requests:
            self._send(request.team, quota, requests, 0)

    def _decide_without_allocator(
        self, team: Team, quota: TeamQuota, requests: list[WaitingRequest]
    ) -> None:
        if self.clock() >= quota.fallback_until_s:
            quota.fallback_requests = 0
        for one in requests:
            if quota.fallback_requests:
                quota.fallback_requests -= 1
                self._record_usage(team, quota)
                self._decide(one, ALLOWED)
            else:
                refusal = QuotaVerdict(Reason.QUOTA_UNJUDGED, UNJUDGED_WAIT_S)
                self._decide(one, refusal)

    def _distribute_grant(
        self, quota: TeamQuota, request: OpenRequest, grant: Grant, now_s: float
    ) -> None:
        remaining = grant.granted
        wait_s = grant.wait_s
        for one in request.waiting:
            if one.finished:
                continue
            if remaining:
                remaining -= 1
                self._decide(one, ALLOWED)
            else:
                self._decide(one, QuotaVerdict(Reason.QUOTA_SPENT, wait_s))
                wait_s += grant.interval_s
        if remaining:
            if now_s >= quota.grants_expire_s:
                quota.unreported -= quota.unused_grants
                quota.unused_grants = 0
            quota.unused_grants += remaining
            quota.grants_expire_s = now_s + GRANT_LIFETIME_S

    def _decide(self, waiting: WaitingRequest, verdict: QuotaVerdict) -> None:
        if not waiting.finished:
            waiting.finished = True
            waiting.decide(verdict)
