"""What nodes say to each other about the quotas of teams."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING, Any

from attrs import asdict, define, field
from loguru import logger

from eelgrassmount.gen import ttypes
from eelgrassmount.policy.quotas import choose_allocator
from eelgrassmount.relay.frames import FrameKind
from eelgrassmount.teams.quota_allocator import FREE_S, Ask, Grant, QuotaHolder
from eelgrassmount.teams.quota_client import QuotaTaker

if TYPE_CHECKING:
    from collections.abc import Callable

    from eelgrassmount.policy.quotas import QuotaBounds
    from eelgrassmount.relay.members import Member
    from eelgrassmount.relay.shared_state import SharedState
    from eelgrassmount.teams.directory import Team
    from eelgrassmount.teams.quota_allocator import QuotaEvent
    from eelgrassmount.topics.readers import LogReaders

# a node tells the holders of its failure domain so often that it lends them its part
LEND_PERIOD_S = 0.5
# the longest time to come back that a holder tells
MAX_WAIT_S = 60.0


def call_later(delay_s: float, action: Callable[[], None]) -> asyncio.Handle:
    """Call an action after so many seconds, or in the next turn of the loop."""
    loop = asyncio.get_running_loop()
    return loop.call_later(delay_s, action) if delay_s else loop.call_soon(action)


@define(eq=False)
class QuotaExchange:
    """Joins a node's own requests for quota with the holders, itself among them.

    The readers of the log of each failure domain hold its part of the quotas, each team
    at one of them. ``near`` holds those of the own failure domain and ``far`` those of
    the others.
    """

    beliefs: SharedState
    readers: LogReaders
    bounds: QuotaBounds
    open_link: Callable[[Member], None]
    count: Callable[[QuotaEvent, float], None] = lambda event, requests: None
    taker: QuotaTaker = field(init=False)
    holder: QuotaHolder = field(init=False)
    near: tuple[str, ...] = ()
    far: dict[str, tuple[str, ...]] = field(factory=dict)
    asked_by: dict[str, Callable[[FrameKind, Any], None]] = field(factory=dict)
    _lent_s: float = -math.inf
    _version: int = -1
    _limited: list[Team] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        """Make the two sides."""
        clock = self.beliefs.clock
        self.taker = QuotaTaker(clock, call_later, self.list_holders, self._ask, FREE_S)
        self.holder = QuotaHolder(
            self.beliefs.name,
            self.bounds,
            clock,
            call_later,
            lambda: len(self.beliefs.members.by_name),
            self.list_lenders,
            self._borrow,
            self._tell_node,
            self.count,
        )

    def step(self) -> None:
        """Find out who holds the quotas, and lend this node's part to them."""
        if self.beliefs.table.version != self._version:
            self._note_teams()
        if not self._limited:
            return
        self.holder.step(self._limited)
        self.taker.step()
        before = self.near
        self._find_holders()
        now_s = self.beliefs.clock()
        if self.near == before and now_s - self._lent_s < LEND_PERIOD_S:
            return
        self._lent_s = now_s
        for name in before:
            if name not in self.near:
                self._lend_to(name, ())
        for name in self.near:
            self._lend_to(name, self.near)

    def list_holders(self, team_name: str) -> list[str]:
        """Return the holders of a team, that of the own failure domain first."""
        near = choose_allocator(team_name, self.near)
        return [*([near] if near else []), *self.list_lenders(team_name)]

    def list_lenders(self, team_name: str) -> list[str]:
        """Return the holders of a team in other failure domains."""
        found = [choose_allocator(team_name, names) for names in self.far.values()]
        return [name for name in found if name]

    def take_frame(
        self, kind: FrameKind, struct: Any, send: Callable[[FrameKind, Any], None]
    ) -> None:
        """Handle a frame about quotas; ``send`` answers it."""
        if kind is FrameKind.QUOTA_ASK:
            self._take_ask(struct, send)
        elif kind is FrameKind.QUOTA_GRANTS:
            for one in struct.grants:
                self.taker.note_grant(struct.number, _read_grant(one))
        elif kind is FrameKind.QUOTA_BORROW:
            self._take_borrow(struct, send)
        elif kind is FrameKind.QUOTA_LOAN:
            team = self._find_team(self.holder.find_team(struct.number) or "")
            self.holder.note_loan(struct.number, struct.amount, team)

    def _note_teams(self) -> None:
        self._version = self.beliefs.table.version
        teams = self.beliefs.table.teams.teams
        self._limited = [team for team in teams.values() if team.has_quota()]
        names = {team.name for team in self._limited}
        if self._limited and not self.holder.held:
            logger.info(
                "quotas in force", teams=len(names), **asdict(self.holder.bounds)
            )
        self.taker.keep_teams(names)
        self.holder.keep_teams(names)

    def _find_team(self, name: str) -> Team | None:
        team = self.beliefs.table.teams.teams.get(name)
        return team if team is not None and team.has_quota() else None

    def _find_holders(self) -> None:
        now_s = self.beliefs.clock()
        own = self.beliefs.failure_domain
        found = {
            domain: tuple(self.readers.list_readers(domain, now_s))
            for domain in sorted(self.readers.ranking.list_domains())
        }
        self.near = found.pop(own, ())
        self.far = found
        for name in self.near:
            self._connect(name)
        if self.beliefs.name in self.near:
            for names in self.far.values():
                for name in names:
                    self._connect(name)

    def _connect(self, name: str) -> Member | None:
        """Return another node if it can be sent a frame at once."""
        member = self.beliefs.members.by_name.get(name)
        if member is None or name == self.beliefs.name:
            return None
        if member.is_connected():
            return member
        if self.beliefs.clock() >= member.retry_at_s:
            self.open_link(member)
        return None

    def _send(self, name: str, kind: FrameKind, struct: Any) -> bool:
        member = self._connect(name)
        if member is not None:
            member.link.send(kind, struct)
        return member is not None

    def _lend_to(self, name: str, holders: tuple[str, ...]) -> None:
        uses = [
            ttypes.QuotaUse(team_name, self.taker.drain_used(team_name), 0)
            for team_name, taking in self.taker.teams.items()
            if taking.used and choose_allocator(team_name, self.near) == name
        ]
        ask = ttypes.RelayQuotaAsk(self.beliefs.name, 0, list(holders), uses)
        if self._send_ask(name, ask):
            return
        for use in uses:
            self.taker.teams[use.team_name].used += use.used

    def _take_own(self, kind: FrameKind, struct: Any) -> None:
        """Take what this node as a holder tells itself."""
        self.take_frame(kind, struct, self._take_own)

    def _ask(
        self, holder: str, number: int, team: Team, used: int, wanted: int
    ) -> bool:
        use = ttypes.QuotaUse(team.name, used, wanted)
        ask = ttypes.RelayQuotaAsk(self.beliefs.name, number, list(self.near), [use])
        return self._send_ask(holder, ask)

    def _send_ask(self, holder: str, ask: ttypes.RelayQuotaAsk) -> bool:
        if holder != self.beliefs.name:
            return self._send(holder, FrameKind.QUOTA_ASK, ask)
        self._take_ask(ask, self._take_own)
        return True

    def _take_ask(
        self, ask: ttypes.RelayQuotaAsk, send: Callable[[FrameKind, Any], None]
    ) -> None:
        self.holder.note_lender(ask.node_name, tuple(ask.holders))
        self.asked_by[ask.node_name] = send
        for use in ask.uses:
            team = self._find_team(use.team_name)
            if team is None:
                # the asking node has another configuration, and asks elsewhere
                continue
            if use.used:
                self.holder.note_used(team, use.used)
            if use.wanted:
                self._take_question(ask, use, team, send)

    def _take_question(
        self,
        ask: ttypes.RelayQuotaAsk,
        use: ttypes.QuotaUse,
        team: Team,
        send: Callable[[FrameKind, Any], None],
    ) -> None:
        def answer(grant: Grant) -> None:
            send(FrameKind.QUOTA_GRANTS, self._write_grant(ask.number, grant))

        self.holder.ask(team, Ask(ask.node_name, ask.number, use.wanted, answer))

    def _write_grant(self, number: int, grant: Grant) -> ttypes.RelayQuotaGrants:
        row = ttypes.QuotaGrant(
            grant.team_name,
            grant.wanted,
            grant.granted,
            grant.is_free,
            min(MAX_WAIT_S, grant.wait_s),
            grant.gap_s,
        )
        return ttypes.RelayQuotaGrants(self.beliefs.name, number, [row])

    def _tell_node(self, name: str, grant: Grant) -> None:
        send = self.asked_by.get(name)
        if send is not None:
            send(FrameKind.QUOTA_GRANTS, self._write_grant(0, grant))

    def _borrow(self, holder: str, number: int, team_name: str, wanted: float) -> bool:
        struct = ttypes.RelayQuotaBorrow(self.beliefs.name, number, team_name, wanted)
        return self._send(holder, FrameKind.QUOTA_BORROW, struct)

    def _take_borrow(
        self, borrow: ttypes.RelayQuotaBorrow, send: Callable[[FrameKind, Any], None]
    ) -> None:
        team = self._find_team(borrow.team_name)
        amount = self.holder.lend(team, borrow.wanted) if team is not None else 0.0
        loan = ttypes.RelayQuotaLoan(self.beliefs.name, borrow.number, amount)
        send(FrameKind.QUOTA_LOAN, loan)


def _read_grant(row: ttypes.QuotaGrant) -> Grant:
    return Grant(
        row.team_name, row.wanted, row.granted, row.free, row.wait_s, row.gap_s
    )
