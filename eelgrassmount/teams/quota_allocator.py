"""Allocates the quotas of teams to the nodes that request them."""

from __future__ import annotations

from collections import Counter, deque
from enum import StrEnum
from typing import TYPE_CHECKING

from attrs import define, field

from eelgrassmount.policy.quotas import (
    TokenBucket,
    choose_allocator,
    compute_allocator_share,
    compute_loan_request,
    compute_spare_tokens,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from eelgrassmount.policy.quotas import QuotaBounds
    from eelgrassmount.teams.directory import Team

# A lender that is silent for longer is dropped; lenders report twice in this time.
LENDER_TIMEOUT_S = 1.25
# Time for which a node may admit requests without a grant, unless revoked.
UNGRANTED_PERIOD_S = 0.5
LOAN_TIMEOUT_S = 0.03
# Delays after a failed attempt to borrow; they double with each attempt.
MIN_BORROW_RETRY_DELAY_S = 0.1
MAX_BORROW_RETRY_DELAY_S = 1.0
# Smoothing window of the rate of requests.
RATE_WINDOW_S = 1.0


class QuotaEvent(StrEnum):
    """What an allocator did with requests of a quota; values label a metric."""

    GRANTED = "granted"
    REFUSED = "refused"
    BORROWED = "borrowed"
    LENT = "lent"


@define(eq=False, repr=False)
class QuotaRequest:
    """A node's request for quota of a team; ``answer`` sends the reply."""

    node_name: str
    number: int
    wanted: int
    answer: Callable[[Grant], None]


@define
class Grant:
    """The answer to a quota request, or a notice that the node needs grants again.

    Of ``wanted`` requests, ``granted`` may start. The next one may start in ``wait_s``
    and each further one ``interval_s`` later. If ``allows_ungranted``, the node may
    admit requests without a grant for `UNGRANTED_PERIOD_S`.
    """

    team_name: str
    wanted: int = 0
    granted: int = 0
    allows_ungranted: bool = False
    wait_s: float = 0.0
    interval_s: float = 0.0


@define(eq=False, repr=False)
class PendingLoans:
    """Requests for loans that are unanswered, by number, and the tokens ``loaned``."""

    open_numbers: set[int]
    loaned: float = 0.0


@define(eq=False, repr=False)
class AllocatedQuota:
    """The share of a team's quota that this node allocates.

    ``ungranted_until_s`` maps nodes that may admit requests without a grant to the time
    at which the permission ends. ``waiting`` holds quota requests that wait for loans.
    ``deferred`` counts refused requests whose clients will probably retry; it decreases
    at the rate of the bucket.
    """

    bucket: TokenBucket
    requested_per_s: float = 0.0
    deferred: float = 0.0
    updated_s: float = 0.0
    ungranted_until_s: dict[str, float] = field(factory=dict)
    waiting: deque[QuotaRequest] = field(factory=deque)
    pending_loans: PendingLoans | None = None
    next_borrow_s: float = 0.0
    borrow_delay_s: float = MIN_BORROW_RETRY_DELAY_S

    def record_requests(self, count: int, now_s: float) -> None:
        """Add requests to the mean rate, and decay the rate and ``deferred``."""
        elapsed_s = max(0.0, now_s - self.updated_s)
        self.updated_s = now_s
        remaining_weight = max(0.0, 1.0 - elapsed_s / RATE_WINDOW_S)
        self.requested_per_s = (
            remaining_weight * self.requested_per_s + max(0, count) / RATE_WINDOW_S
        )
        self.deferred = max(0.0, self.deferred - self.bucket.rate * elapsed_s)


@define(eq=False, repr=False)
class QuotaAllocator:
    """Allocates a share of each quota to the nodes that request it.

    The share follows from the nodes that lend theirs. Missing tokens are borrowed from
    the allocators of other failure domains, which charge a loan to their own share
    before they answer. A lost message can therefore never grant a request twice.
    ``list_remote_allocators`` returns a team's allocators in other failure domains.
    ``send_borrow`` requests a loan from one of them and returns whether it is
    reachable. ``send_grant`` notifies a node that it needs grants again. ``count``
    receives numbers of requests that were granted, refused, borrowed and lent.
    """

    name: str
    bounds: QuotaBounds
    clock: Callable[[], float]
    call_later: Callable[[float, Callable[[], None]], object]
    count_nodes: Callable[[], int]
    list_remote_allocators: Callable[[str], list[str]]
    send_borrow: Callable[[str, int, str, float], bool]
    send_grant: Callable[[str, Grant], None]
    count: Callable[[QuotaEvent, float], None] = lambda event, requests: None
    quotas: dict[str, AllocatedQuota] = field(factory=dict)
    allocators_by_lender: dict[str, tuple[tuple[str, ...], float]] = field(factory=dict)
    _last_number: int = 0
    _teams_by_loan: dict[int, str] = field(factory=dict)
    _lender_counts: Counter[tuple[str, ...]] = field(factory=Counter)
    _sizes: dict[str, tuple[Team, float, QuotaBounds]] = field(factory=dict)
    _last_inputs: object = None

    def record_lender(self, node_name: str, allocators: tuple[str, ...]) -> None:
        """Record to which allocators a node lends its share."""
        now_s = self.clock()
        known = self.allocators_by_lender.get(node_name)
        if known is None or known[0] != allocators:
            if known is not None:
                self._lender_counts[known[0]] -= 1
            self._lender_counts[allocators] += 1
        self.allocators_by_lender[node_name] = (allocators, now_s + LENDER_TIMEOUT_S)

    def step(self, teams: list[Team]) -> None:
        """Expire silent lenders, and create the quotas that other nodes lend.

        A quota is created before the first request for it, so that its bucket can fill.
        """
        now_s = self.clock()
        for name, (allocators, until_s) in list(self.allocators_by_lender.items()):
            if until_s < now_s:
                del self.allocators_by_lender[name]
                self._lender_counts[allocators] -= 1
        self._lender_counts += Counter()
        known = (dict(self._lender_counts), self.count_nodes(), self.bounds, teams)
        if known == self._last_inputs:
            return
        self._last_inputs = known
        for team in teams:
            if team.name in self.quotas or self._compute_share(team.name):
                self._get_quota(team)

    def keep_teams(self, names: set[str]) -> None:
        """Delete the quotas of all other teams."""
        self.quotas = {name: one for name, one in self.quotas.items() if name in names}
        self._sizes = {name: one for name, one in self._sizes.items() if name in names}

    def record_usage(self, team: Team, used: int) -> None:
        """Charge requests that a node admitted without a grant, or returned."""
        quota = self._get_quota(team)
        quota.record_requests(used, self.clock())
        quota.bucket.charge(used, self.clock())
        self._revoke_if_low(team.name, quota)

    def request(self, team: Team, request: QuotaRequest) -> None:
        """Answer a quota request, now or once other allocators have answered."""
        quota = self._get_quota(team)
        now_s = self.clock()
        quota.record_requests(request.wanted, now_s)
        if quota.waiting:
            quota.waiting.append(request)
            return
        missing = request.wanted - quota.bucket.compute_available(now_s)
        if missing > 0.0 and self._request_loans(team, quota, missing, now_s):
            quota.waiting.append(request)
        else:
            self._answer(team, quota, request, now_s)

    def lend(self, team: Team, wanted: float) -> float:
        """Charge a loan for another allocator, and return its size in tokens."""
        quota = self._get_quota(team)
        now_s = self.clock()
        quota.record_requests(0, now_s)
        spare = compute_spare_tokens(
            quota.bucket.compute_available(now_s), quota.requested_per_s
        )
        loan = min(wanted, spare)
        quota.bucket.charge(loan, now_s)
        self.count(QuotaEvent.LENT, loan)
        self._revoke_if_low(team.name, quota)
        return loan

    def handle_loan(self, number: int, amount: float, team: Team | None) -> None:
        """Add a loan to its quota once; a loan that arrives late is dropped."""
        team_name = self._teams_by_loan.pop(number, None)
        quota = self.quotas.get(team_name or "")
        if team is None or quota is None or quota.pending_loans is None:
            return
        quota.bucket.refill(self.clock())
        quota.bucket.tokens += amount
        self.count(QuotaEvent.BORROWED, amount)
        quota.pending_loans.loaned += amount
        quota.pending_loans.open_numbers.discard(number)
        if not quota.pending_loans.open_numbers:
            self._finish_borrowing(team, quota)

    def find_loan_team(self, number: int) -> str | None:
        """Return the team of a pending loan, ``None`` if none is pending."""
        return self._teams_by_loan.get(number)

    def _get_quota(self, team: Team) -> AllocatedQuota:
        now_s = self.clock()
        quota = self.quotas.get(team.name)
        if quota is None:
            quota = self.quotas[team.name] = AllocatedQuota(
                TokenBucket(now_s), updated_s=now_s
            )
        share = self._compute_share(team.name)
        size = (team, share, self.bounds)
        if self._sizes.get(team.name) != size:
            self._sizes[team.name] = size
            window_quota = team.rate * self.bounds.window_s + team.burst
            quota.bucket.resize(
                share * team.rate,
                share * team.burst,
                share * self.bounds.compute_max_debt(team),
                window_quota,
                now_s,
            )
        return quota

    def _compute_share(self, team_name: str) -> float:
        lenders = sum(
            count
            for allocators, count in self._lender_counts.items()
            if count and choose_allocator(team_name, allocators) == self.name
        )
        return compute_allocator_share(lenders, self.count_nodes())

    def _request_loans(
        self, team: Team, quota: AllocatedQuota, missing: float, now_s: float
    ) -> bool:
        if now_s < quota.next_borrow_s:
            return False
        amount = compute_loan_request(missing, quota.requested_per_s)
        numbers = set()
        for name in self.list_remote_allocators(team.name):
            self._last_number += 1
            if self.send_borrow(name, self._last_number, team.name, amount):
                numbers.add(self._last_number)
                self._teams_by_loan[self._last_number] = team.name
        if not numbers:
            return False
        pending_loans = quota.pending_loans = PendingLoans(numbers)

        def time_out() -> None:
            if quota.pending_loans is pending_loans:
                self._finish_borrowing(team, quota)

        self.call_later(LOAN_TIMEOUT_S, time_out)
        return True

    def _finish_borrowing(self, team: Team, quota: AllocatedQuota) -> None:
        now_s = self.clock()
        pending_loans = quota.pending_loans
        quota.pending_loans = None
        for number in pending_loans.open_numbers:
            self._teams_by_loan.pop(number, None)
        if pending_loans.loaned:
            quota.borrow_delay_s = MIN_BORROW_RETRY_DELAY_S
        else:
            quota.next_borrow_s = now_s + quota.borrow_delay_s
            quota.borrow_delay_s = min(
                MAX_BORROW_RETRY_DELAY_S, 2 * quota.borrow_delay_s
            )
        waiting, quota.waiting = quota.waiting, deque()
        for request in waiting:
            self._answer(team, quota, request, now_s)

    def _answer(
        self, team: Team, quota: AllocatedQuota, request: QuotaRequest, now_s: float
    ) -> None:
        grant = Grant(
            team.name, request.wanted, quota.bucket.take(request.wanted, now_s)
        )
        self.count(QuotaEvent.GRANTED, grant.granted)
        if grant.granted < request.wanted:
            self.count(QuotaEvent.REFUSED, request.wanted - grant.granted)
            grant.wait_s = quota.bucket.compute_wait_s(quota.deferred, now_s)
            grant.interval_s = quota.bucket.compute_interval_s()
            deferred = quota.deferred + request.wanted - grant.granted
            # Clients with a later retry time mostly do not come back.
            max_deferred = quota.bucket.rate * self.bounds.window_s
            quota.deferred = min(deferred, max_deferred)
        grant.allows_ungranted = self._may_admit_without_grant(
            quota, request.node_name, now_s
        )
        request.answer(grant)
        self._revoke_if_low(team.name, quota)

    def _may_admit_without_grant(
        self, quota: AllocatedQuota, node_name: str, now_s: float
    ) -> bool:
        quota.ungranted_until_s = {
            name: until_s
            for name, until_s in quota.ungranted_until_s.items()
            if until_s > now_s and name != node_name
        }
        if not quota.bucket.may_admit_without_grant(len(quota.ungranted_until_s)):
            return False
        quota.ungranted_until_s[node_name] = now_s + UNGRANTED_PERIOD_S
        return True

    def _revoke_if_low(self, team_name: str, quota: AllocatedQuota) -> None:
        """Make all nodes request grants again once the bucket is low."""
        if not quota.ungranted_until_s or not quota.bucket.requires_grants():
            return
        nodes = list(quota.ungranted_until_s)
        quota.ungranted_until_s.clear()
        for name in nodes:
            self.send_grant(name, Grant(team_name))
