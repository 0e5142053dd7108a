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
LENT_S = 1.25
# a node may take without asking for so long, unless it is told otherwise
FREE_S = 0.5
# loans that have not come after so long are not waited for
LOAN_LIMIT_S = 0.03
# holders that had nothing to lend are asked again after so long, doubled each time
BORROW_AGAIN_S = 0.1
BORROW_AGAIN_LIMIT_S = 1.0
# the rate of what is asked for is a mean over about so long
RATE_S = 1.0


class QuotaEvent(StrEnum):
    """What became of requests of a quota at a holder."""

    GRANTED = "granted"
    REFUSED = "refused"
    BORROWED = "borrowed"
    LENT = "lent"


@define(eq=False)
class Ask:
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
    is_free: bool = False
    wait_s: float = 0.0
    gap_s: float = 0.0


@define(eq=False)
class Borrowing:
    """Requests that other holders were asked for, by number, while loans may come."""

    open_numbers: set[int]
    borrowed: float = 0.0


@define(eq=False)
class HeldQuota:
    """What this node hands out of one team's quota.

    ``free_until_s`` holds the nodes that may take without asking, ``waiting`` the
    questions that wait for loans. ``promised`` counts those that were told to come
    back, and fades as the quota comes in.
    """

    bucket: TokenBucket
    asked_per_s: float = 0.0
    promised: float = 0.0
    read_s: float = 0.0
    free_until_s: dict[str, float] = field(factory=dict)
    waiting: deque[Ask] = field(factory=deque)
    borrowing: Borrowing | None = None
    borrow_again_s: float = 0.0
    borrow_delay_s: float = BORROW_AGAIN_S

    def note_asked(self, count: int, now_s: float) -> None:
        """Take up that so many requests came, and let the mean fade."""
        passed_s = max(0.0, now_s - self.read_s)
        self.read_s = now_s
        kept = max(0.0, 1.0 - passed_s / RATE_S)
        self.asked_per_s = kept * self.asked_per_s + max(0, count) / RATE_S
        self.promised = max(0.0, self.promised - self.bucket.rate * passed_s)


@define(eq=False)
class QuotaHolder:
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
    list_lenders: Callable[[str], list[str]]
    borrow: Callable[[str, int, str, float], bool]
    tell_node: Callable[[str, Grant], None]
    count: Callable[[QuotaEvent, float], None] = lambda event, requests: None
    held: dict[str, HeldQuota] = field(factory=dict)
    lent: dict[str, tuple[tuple[str, ...], float]] = field(factory=dict)
    _numbers: int = 0
    _open: dict[int, str] = field(factory=dict)
    _lenders: Counter[tuple[str, ...]] = field(factory=Counter)
    _sized: dict[str, tuple[Team, float, QuotaBounds]] = field(factory=dict)
    _known: object = None

    def note_lender(self, node_name: str, holders: tuple[str, ...]) -> None:
        """Take up to which holders a node lends its part."""
        now_s = self.clock()
        known = self.lent.get(node_name)
        if known is None or known[0] != holders:
            if known is not None:
                self._lenders[known[0]] -= 1
            self._lenders[holders] += 1
        self.lent[node_name] = (holders, now_s + LENT_S)

    def step(self, teams: list[Team]) -> None:
        """Forget nodes that have not asked for long, and hold what others lend.

        A quota is held before anybody asks for it, so that it is there by then.
        """
        now_s = self.clock()
        for name, (holders, until_s) in list(self.lent.items()):
            if until_s < now_s:
                del self.lent[name]
                self._lenders[holders] -= 1
        self._lenders += Counter()
        known = (dict(self._lenders), self.count_nodes(), self.bounds, teams)
        if known == self._known:
            return
        self._known = known
        for team in teams:
            if team.name in self.held or self._find_portion(team.name):
                self._find(team)

    def keep_teams(self, names: set[str]) -> None:
        """Forget the quotas of all other teams."""
        self.held = {name: one for name, one in self.held.items() if name in names}
        self._sized = {name: one for name, one in self._sized.items() if name in names}

    def note_used(self, team: Team, used: int) -> None:
        """Take up what a node let begin without asking, or gives back."""
        held = self._find(team)
        held.note_asked(used, self.clock())
        held.bucket.charge(used, self.clock())
        self._call_in(team.name, held)

    def ask(self, team: Team, ask: Ask) -> None:
        """Answer a question, now or once other holders have answered."""
        held = self._find(team)
        now_s = self.clock()
        held.note_asked(ask.wanted, now_s)
        if held.waiting:
            held.waiting.append(ask)
            return
        missing = ask.wanted - held.bucket.compute_available(now_s)
        if missing > 0.0 and self._start_borrowing(team, held, missing, now_s):
            held.waiting.append(ask)
        else:
            self._answer(team, held, ask, now_s)

    def lend(self, team: Team, wanted: float) -> float:
        """Return the requests that another holder may have, which are gone here."""
        held = self._find(team)
        now_s = self.clock()
        held.note_asked(0, now_s)
        spare = compute_spare_tokens(
            held.bucket.compute_available(now_s), held.asked_per_s
        )
        lent = min(wanted, spare)
        held.bucket.charge(lent, now_s)
        self.count(QuotaEvent.LENT, lent)
        self._call_in(team.name, held)
        return lent

    def note_loan(self, number: int, amount: float, team: Team | None) -> None:
        """Take up a loan, once; one that comes too late is lost."""
        team_name = self._open.pop(number, None)
        held = self.held.get(team_name or "")
        if team is None or held is None or held.borrowing is None:
            return
        held.bucket.refill(self.clock())
        held.bucket.tokens += amount
        self.count(QuotaEvent.BORROWED, amount)
        held.borrowing.borrowed += amount
        held.borrowing.open_numbers.discard(number)
        if not held.borrowing.open_numbers:
            self._end_borrowing(team, held)

    def find_team(self, number: int) -> str | None:
        """Return the team that a loan is for, ``None`` if nothing is waited for."""
        return self._open.get(number)

    def _find(self, team: Team) -> HeldQuota:
        now_s = self.clock()
        held = self.held.get(team.name)
        if held is None:
            held = self.held[team.name] = HeldQuota(TokenBucket(now_s), read_s=now_s)
        portion = self._find_portion(team.name)
        size = (team, portion, self.bounds)
        if self._sized.get(team.name) != size:
            self._sized[team.name] = size
            whole = team.rate * self.bounds.window_s + team.burst
            held.bucket.resize(
                portion * team.rate,
                portion * team.burst,
                portion * self.bounds.compute_max_debt(team),
                whole,
                now_s,
            )
        return held

    def _find_portion(self, team_name: str) -> float:
        lenders = sum(
            count
            for holders, count in self._lenders.items()
            if count and choose_allocator(team_name, holders) == self.name
        )
        return compute_allocator_share(lenders, self.count_nodes())

    def _start_borrowing(
        self, team: Team, held: HeldQuota, missing: float, now_s: float
    ) -> bool:
        if now_s < held.borrow_again_s:
            return False
        amount = compute_loan_request(missing, held.asked_per_s)
        numbers = set()
        for name in self.list_lenders(team.name):
            self._numbers += 1
            if self.borrow(name, self._numbers, team.name, amount):
                numbers.add(self._numbers)
                self._open[self._numbers] = team.name
        if not numbers:
            return False
        borrowing = held.borrowing = Borrowing(numbers)

        def give_up() -> None:
            if held.borrowing is borrowing:
                self._end_borrowing(team, held)

        self.call_later(LOAN_LIMIT_S, give_up)
        return True

    def _end_borrowing(self, team: Team, held: HeldQuota) -> None:
        now_s = self.clock()
        borrowing = held.borrowing
        held.borrowing = None
        for number in borrowing.open_numbers:
            self._open.pop(number, None)
        if borrowing.borrowed:
            held.borrow_delay_s = BORROW_AGAIN_S
        else:
            held.borrow_again_s = now_s + held.borrow_delay_s
            held.borrow_delay_s = min(BORROW_AGAIN_LIMIT_S, 2 * held.borrow_delay_s)
        waiting, held.waiting = held.waiting, deque()
        for ask in waiting:
            self._answer(team, held, ask, now_s)

    def _answer(self, team: Team, held: HeldQuota, ask: Ask, now_s: float) -> None:
        grant = Grant(team.name, ask.wanted, held.bucket.take(ask.wanted, now_s))
        self.count(QuotaEvent.GRANTED, grant.granted)
        if grant.granted < ask.wanted:
            self.count(QuotaEvent.REFUSED, ask.wanted - grant.granted)
            grant.wait_s = held.bucket.compute_wait_s(held.promised, now_s)
            grant.gap_s = held.bucket.compute_interval_s()
            promised = held.promised + ask.wanted - grant.granted
            # who is told to come back later than this mostly doesn't
            most = held.bucket.rate * self.bounds.window_s
            held.promised = min(promised, most)
        grant.is_free = self._may_be_free(held, ask.node_name, now_s)
        ask.answer(grant)
        self._call_in(team.name, held)

    def _may_be_free(self, held: HeldQuota, node_name: str, now_s: float) -> bool:
        held.free_until_s = {
            name: until_s
            for name, until_s in held.free_until_s.items()
            if until_s > now_s and name != node_name
        }
        if not held.bucket.may_admit_without_grant(len(held.free_until_s)):
            return False
        held.free_until_s[node_name] = now_s + FREE_S
        return True

    def _call_in(self, team_name: str, held: HeldQuota) -> None:
        """Let all nodes ask again once little is left."""
        if not held.free_until_s or not held.bucket.requires_grants():
            return
        names = list(held.free_until_s)
        held.free_until_s.clear()
        for name in names:
            self.tell_node(name, Grant(team_name))
