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
ANSWER_LIMIT_S = 0.06
# holders that are asked for one request
MAX_ASKED = 2
# requests that were granted and not used go back after so long
KEEP_S = 0.5
# requests that are asked for ahead, as the time for which they are likely to last
AHEAD_S = 0.1
# what was begun without asking is told after so long
TELL_S = 0.01
# a node that no holder answers lets some requests begin within this time after a holder
# has said that most of a quota is left: as many as usually come in the second time
TRUST_S = 1.0
TRUSTED_S = 0.3
# all others are told to come back after so long
UNHEARD_WAIT_S = 0.3
# the rate of requests is a mean over about so long
RATE_S = 0.5


@frozen
class QuotaVerdict:
    """Whether a request may begin, or why not and when to come back."""

    refusal: Reason | None = None
    wait_s: float = 0.0


ALLOWED = QuotaVerdict()


@define(eq=False)
class Waiting:
    """A request that waits for quota; ``decide`` is called once."""

    decide: Callable[[QuotaVerdict], None]
    tried: list[str] = field(factory=list)
    ended: bool = False


@define(eq=False)
class TeamTaking:
    """What a node has of one team's quota, and asks for.

    ``in_hand`` requests were granted and may begin until ``keep_until_s``. Until
    ``free_until_s`` the node needs not ask. If no holder answers, ``trusted`` requests
    may begin until ``trust_until_s``. ``used`` counts what was not told yet. The team
    ``is_short`` while less is granted than asked for.
    """

    in_hand: int = 0
    keep_until_s: float = -math.inf
    free_until_s: float = -math.inf
    trust_until_s: float = -math.inf
    trusted: int = 0
    used: int = 0
    rate: float = 0.0
    read_s: float = -math.inf
    waiting: deque[Waiting] = field(factory=deque)
    is_short: bool = False
    is_asking: bool = False
    is_telling: bool = False

    def note_request(self, now_s: float) -> None:
        """Take up a request into the mean rate."""
        kept = max(0.0, 1.0 - (now_s - self.read_s) / RATE_S)
        self.rate = kept * self.rate + 1.0 / RATE_S
        self.read_s = now_s


@define(eq=False)
class OpenQuestion:
    """What was asked of a holder: the requests that wait for its answer."""

    team: Team
    holder: str
    waiting: list[Waiting]


@define(eq=False)
class QuotaTaker:
    """Asks the holder of a team's quota for each request of its clients.

    Where most of a quota is left, requests begin at once and the holder is told. One
    that doesn't answer is left for the holder of another failure domain.
    ``list_holders`` returns the holders of a team, the nearest one first, and ``ask``
    sends a question to one of them and returns whether it can be reached.
    """

    clock: Callable[[], float]
    call_later: Callable[[float, Callable[[], None]], object]
    list_holders: Callable[[str], list[str]]
    ask: Callable[[str, int, Team, int, int], bool]
    free_s: float
    teams: dict[str, TeamTaking] = field(factory=dict)
    _numbers: int = 0
    _open: dict[int, OpenQuestion] = field(factory=dict)

    def take(self, team: Team, decide: Callable[[QuotaVerdict], None]) -> Waiting:
        """Decide on one request of a team, now or within some milliseconds.

        A request whose client leaves meanwhile is ended by ``cancel``.
        """
        now_s = self.clock()
        taking = self.teams.setdefault(team.name, TeamTaking())
        taking.note_request(now_s)
        waiting = Waiting(decide)
        if taking.in_hand and now_s < taking.keep_until_s:
            taking.in_hand -= 1
            self._decide(waiting, ALLOWED)
        elif now_s < taking.free_until_s:
            self._use(team, taking)
            self._decide(waiting, ALLOWED)
        else:
            taking.waiting.append(waiting)
            if not taking.is_asking:
                # those of one turn of the loop are asked for together
                taking.is_asking = True
                self.call_later(0.0, lambda: self._ask(team, taking))
        return waiting

    def give_back(self, team: Team) -> None:
        """Take a request back that may begin and does not run."""
        taking = self.teams.setdefault(team.name, TeamTaking())
        self._use(team, taking, -1)

    def cancel(self, waiting: Waiting) -> None:
        """End a request that nobody waits for."""
        waiting.ended = True

    def note_grant(self, number: int, grant: Grant) -> None:
        """Take up the answer to a question, or the word that the node must ask."""
        taking = self.teams.get(grant.team_name)
        if taking is None:
            return
        now_s = self.clock()
        taking.free_until_s = now_s + self.free_s if grant.is_free else -math.inf
        if grant.is_free:
            taking.trust_until_s = now_s + TRUST_S
            taking.trusted = max(1, math.floor(TRUSTED_S * taking.rate))
        elif grant.granted < grant.wanted:
            taking.trusted = 0
        if grant.wanted:
            taking.is_short = grant.granted < grant.wanted
        question = self._open.pop(number, None)
        if question is not None:
            self._share_out(taking, question, grant, now_s)

    def step(self) -> None:
        """Give back what was granted and not used."""
        now_s = self.clock()
        for taking in self.teams.values():
            if taking.in_hand and now_s >= taking.keep_until_s:
                taking.used -= taking.in_hand
                taking.in_hand = 0

    def drain_used(self, name: str) -> int:
        """Return what was begun without asking since it was last told."""
        taking = self.teams.get(name)
        if taking is None:
            return 0
        used, taking.used = taking.used, 0
        return used

    def keep_teams(self, names: set[str]) -> None:
        """Forget all other teams, unless their requests wait."""
        self.teams = {
            name: one
            for name, one in self.teams.items()
            if name in names or one.waiting
        }

    def _use(self, team: Team, taking: TeamTaking, count: int = 1) -> None:
        taking.used += count
        if not taking.is_telling:
            taking.is_telling = True
            self.call_later(TELL_S, lambda: self._tell(team, taking))

    def _tell(self, team: Team, taking: TeamTaking) -> None:
        taking.is_telling = False
        holder = next(iter(self.list_holders(team.name)), None)
        if holder is None or not taking.used:
            return
        self._numbers += 1
        used = self.drain_used(team.name)
        if not self.ask(holder, self._numbers, team, used, 0):
            taking.used += used

    def _ask(self, team: Team, taking: TeamTaking) -> None:
        """Ask for all requests that wait."""
        taking.is_asking = False
        found = [one for one in taking.waiting if not one.ended]
        taking.waiting.clear()
        ahead = 0 if taking.is_short else math.floor(AHEAD_S * taking.rate)
        if found:
            self._send(team, taking, found, ahead)

    def _send(
        self, team: Team, taking: TeamTaking, found: list[Waiting], ahead: int
    ) -> None:
        tried = found[0].tried
        for holder in self.list_holders(team.name):
            if holder in tried or len(tried) >= MAX_ASKED:
                continue
            for one in found:
                one.tried.append(holder)
            self._numbers += 1
            number = self._numbers
            # before the question goes out, as a holder may answer at once
            self._open[number] = OpenQuestion(team, holder, found)
            used = self.drain_used(team.name)
            if self.ask(holder, number, team, used, len(found) + ahead):
                self.call_later(ANSWER_LIMIT_S, partial(self._leave, number))
                return
            del self._open[number]
            taking.used += used
        self._decide_alone(team, taking, found)

    def _leave(self, number: int) -> None:
        """Ask another holder for what one has not answered."""
        question = self._open.pop(number, None)
        if question is None:
            return
        taking = self.teams.setdefault(question.team.name, TeamTaking())
        found = [one for one in question.waiting if not one.ended]
        if found:
            self._send(question.team, taking, found, 0)

    def _decide_alone(
        self, team: Team, taking: TeamTaking, found: list[Waiting]
    ) -> None:
        if self.clock() >= taking.trust_until_s:
            taking.trusted = 0
        for one in found:
            if taking.trusted:
                taking.trusted -= 1
                self._use(team, taking)
                self._decide(one, ALLOWED)
            else:
                refusal = QuotaVerdict(Reason.QUOTA_UNJUDGED, UNHEARD_WAIT_S)
                self._decide(one, refusal)

    def _share_out(
        self, taking: TeamTaking, question: OpenQuestion, grant: Grant, now_s: float
    ) -> None:
        left = grant.granted
        wait_s = grant.wait_s
        for one in question.waiting:
            if one.ended:
                continue
            if left:
                left -= 1
                self._decide(one, ALLOWED)
            else:
                self._decide(one, QuotaVerdict(Reason.QUOTA_SPENT, wait_s))
                wait_s += grant.gap_s
        if left:
            if now_s >= taking.keep_until_s:
                taking.used -= taking.in_hand
                taking.in_hand = 0
            taking.in_hand += left
            taking.keep_until_s = now_s + KEEP_S

    def _decide(self, waiting: Waiting, verdict: QuotaVerdict) -> None:
        if not waiting.ended:
            waiting.ended = True
            waiting.decide(verdict)
