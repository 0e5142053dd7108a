"""A node's part in handing out the quotas of teams."""

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

# a node that has not asked for so long lends its part to this holder no longer. It asks
# twice within the time
LENDER_TIMEOUT_S = 1.25
# a node may take without asking for so long, unless it is told otherwise
UNGRANTED_PERIOD_S = 0.5
# loans that have not come after so long are not waited for
LOAN_TIMEOUT_S = 0.03
# holders that had nothing to lend are asked again after so long, doubled each time
MIN_BORROW_RETRY_DELAY_S = 0.1
MAX_BORROW_RETRY_DELAY_S = 1.0
# the rate of what is asked for is a mean over about so long
RATE_WINDOW_S = 1.0


class QuotaEvent(StrEnum):
    """What became of requests of a quota at a holder."""

    GRANTED = "granted"
    REFUSED = "refused"
    BORROWED = "borrowed"
    LENT = "lent"


@define(eq=False)
class QuotaRequest:
    """A question of one node for requests of a team."""

    node_name: str
    number: int
    wanted: int
    answer: Callable[[Grant], None]


@define
class Grant:
    """The answer to a question, or the word that a node must ask.

    Another request may begin in ``wait_s``, and each further one ``gap_s`` later.
    """

    team_name: str
    wanted: int = 0
    granted: int = 0
    allows_ungranted: bool = False
    wait_s: float = 0.0
    interval_s: float = 0.0


@define(eq=False)
class PendingLoans:
    """Requests that other holders were asked for, by number, while loans may come."""

    open_numbers: set[int]
    loaned: float = 0.0


@define(eq=False)
class AllocatedQuota:
    """What this node hands out of one team's quota.

    ``free_until_s`` holds the nodes that may take without asking, ``waiting`` the
    questions that wait for loans. ``promised`` counts those that were told to come
    back, and fades as the quota comes in.
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
        """Take up that so many requests came, and let the mean fade."""
        elapsed_s = max(0.0, now_s - self.updated_s)
        self.updated_s = now_s
        remaining_weight = max(0.0, 1.0 - elapsed_s / RATE_WINDOW_S)
        self.requested_per_s = (
            remaining_weight * self.requested_per_s + max(0, count) / RATE_WINDOW_S
        )
        self.deferred = max(0.0, self.deferred - self.bucket.rate * elapsed_s)


@define(eq=False)
class QuotaAllocator:
    """Hands out a part of each quota to the nodes that ask.

    The part follows from the nodes that lend theirs. What it doesn't have it borrows
    from the holders of other failure domains, which lower their own part before they
    answer: whatever gets lost on the way, no request is handed out twice.
    ``list_lenders`` returns the holders of the other failure domains for a team,
    ``borrow`` asks one of them and returns whether it can be reached, ``tell_node``
    tells a node that it must ask, ``call_later`` is a timer, and ``count`` hears of
    requests that were granted, refused, borrowed and lent.
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
        """Take up to which holders a node lends its part."""
        now_s = self.clock()
        known = self.allocators_by_lender.get(node_name)
        if known is None or known[0] != allocators:
            if known is not None:
                self._lender_counts[known[0]] -= 1
            self._lender_counts[allocators] += 1
        self.allocators_by_lender[node_name] = (allocators, now_s + LENDER_TIMEOUT_S)

    def step(self, teams: list[Team]) -> None:
        """Forget nodes that have not asked for long, and hold what others lend.

        A quota is held before anybody asks for it, so that it is there by then.
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
        """Forget the quotas of all other teams."""
        self.quotas = {name: one for name, one in self.quotas.items() if name in names}
        self._sizes = {name: one for name, one in self._sizes.items() if name in names}

    def record_usage(self, team: Team, used: int) -> None:
        """Take up what a node let begin without asking, or gives back."""
        quota = self._get_quota(team)
        quota.record_requests(used, self.clock())
        quota.bucket.charge(used, self.clock())
        self._revoke_if_low(team.name, quota)

    def request(self, team: Team, request: QuotaRequest) -> None:
        """Answer a question, now or once other holders have answered."""
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
        """Return the requests that another holder may have, which are gone here."""
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
        """Take up a loan, once; one that comes too late is lost."""
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
        """Return the team that a loan is for, ``None`` if nothing is waited for."""
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
            # who is told to come back later than this mostly doesn't
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
        """Let all nodes ask again once little is left."""
        if not quota.ungranted_until_s or not quota.bucket.requires_grants():
            return
        nodes = list(quota.ungranted_until_s)
        quota.ungranted_until_s.clear()
        for name in nodes:
            self.send_grant(name, Grant(team_name))
