"""Requests quota for the requests that a node's clients send."""

from __future__ import annotations

import math
from collections import deque
from functools import partial
from typing import TYPE_CHECKING

from attrs import define, field, frozen

from eelgrassmount.verdict import Reason

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from eelgrassmount.teams.directory import Team
    from eelgrassmount.teams.quota_allocator import Grant

# Another allocator is tried after this time without an answer.
ANSWER_TIMEOUT_S = 0.06
MAX_ALLOCATORS_PER_REQUEST = 2
# Unused grants are returned after this time.
GRANT_LIFETIME_S = 0.5
# Grants are requested ahead for the requests expected in this time.
PREFETCH_PERIOD_S = 0.1
# Usage without a grant is collected for this time before it is reported.
USAGE_REPORT_DELAY_S = 0.01
# Within the first period after an allocator has allowed requests without a grant, a
# node that gets no answer admits the usual number of requests of the second period.
FALLBACK_PERIOD_S = 1.0
FALLBACK_QUOTA_S = 0.3
# Retry delay of requests that are refused because no allocator answered.
UNJUDGED_RETRY_DELAY_S = 0.3
# Smoothing window of the rate of requests.
RATE_WINDOW_S = 0.5


@frozen
class QuotaVerdict:
    """Whether a request may start; a refusal has a reason and a time to retry."""

    refusal: Reason | None = None
    wait_s: float = 0.0


ALLOWED = QuotaVerdict()


@define(eq=False, repr=False)
class WaitingRequest:
    """A request that waits for quota; ``decide`` is called once."""

    decide: Callable[[QuotaVerdict], None]
    tried_allocators: list[str] = field(factory=list)
    finished: bool = False


@define(eq=False, repr=False)
class TeamQuota:
    """The state of one team's quota at this node.

    ``unused_grants`` requests may start until ``grants_expire_s``. Until
    ``ungranted_until_s`` requests may start without a grant. If no allocator answers,
    ``fallback_requests`` requests may start until ``fallback_until_s``. ``unreported``
    counts used quota that no allocator knows of; it is negative if quota is to be
    returned. ``is_exhausted`` is set while less is granted than requested.
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
        """Add a request to the mean rate."""
        remaining_weight = max(0.0, 1.0 - (now_s - self.updated_s) / RATE_WINDOW_S)
        self.rate = remaining_weight * self.rate + 1.0 / RATE_WINDOW_S
        self.updated_s = now_s


@define(eq=False, repr=False)
class OpenRequest:
    """A quota request without an answer, and the requests that wait for it.

    ``timer`` tries another allocator.
    """

    team: Team
    allocator: str
    waiting: list[WaitingRequest]
    timer: asyncio.Handle | None = None


@define(eq=False, repr=False)
class QuotaClient:
    """Requests quota from the allocator of a team for each request of its clients.

    While most of a quota is available, requests start at once and their number is
    reported to the allocator. An allocator of another failure domain is tried if one
    does not answer. ``list_allocators`` returns the allocators of a team, the
    nearest one first. ``send_request`` sends a quota request (allocator, number, team,
    used and wanted requests) and returns whether the allocator is reachable.
    """

    clock: Callable[[], float]
    call_later: Callable[[float, Callable[[], None]], asyncio.Handle]
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

        If its client disconnects before, `cancel` drops the request.
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
                # Requests of one turn of the event loop share a quota request.
                quota.is_request_due = True
                self.call_later(0.0, lambda: self._request_grants(team, quota))
        return waiting

    def return_quota(self, team: Team) -> None:
        """Return the quota of an admitted request that does not run."""
        quota = self.quotas.setdefault(team.name, TeamQuota())
        self._record_usage(team, quota, -1)

    def cancel(self, waiting: WaitingRequest) -> None:
        """Drop a waiting request whose client has disconnected."""
        waiting.finished = True

    def handle_grant(self, number: int, grant: Grant) -> None:
        """Apply a grant, or a notice that this node needs grants again."""
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
            if request.timer is not None:
                # It would wake the process up for each request.
                request.timer.cancel()
            self._distribute_grant(quota, request, grant, now_s)

    def step(self) -> None:
        """Return grants that expired unused."""
        now_s = self.clock()
        for quota in self.quotas.values():
            if quota.unused_grants and now_s >= quota.grants_expire_s:
                quota.unreported -= quota.unused_grants
                quota.unused_grants = 0

    def drain_unreported(self, name: str) -> int:
        """Return and reset the used quota that was not reported."""
        quota = self.quotas.get(name)
        if quota is None:
            return 0
        used, quota.unreported = quota.unreported, 0
        return used

    def keep_teams(self, names: set[str]) -> None:
        """Delete the state of all other teams, unless requests of theirs wait."""
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
        """Request grants for all waiting requests."""
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
            # Stored before sending, since the local allocator answers at once.
            request = OpenRequest(team, allocator, requests)
            self._open_requests[number] = request
            used = self.drain_unreported(team.name)
            if self.send_request(
                allocator, number, team, used, len(requests) + prefetch
            ):
                if number in self._open_requests:
                    request.timer = self.call_later(
                        ANSWER_TIMEOUT_S, partial(self._try_next_allocator, number)
                    )
                return
            del self._open_requests[number]
            quota.unreported += used
        self._decide_without_allocator(team, quota, requests)

    def _try_next_allocator(self, number: int) -> None:
        """Send an unanswered quota request to another allocator."""
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
                refusal = QuotaVerdict(Reason.QUOTA_UNJUDGED, UNJUDGED_RETRY_DELAY_S)
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
