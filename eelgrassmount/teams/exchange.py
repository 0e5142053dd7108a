"""Exchanges quota messages between the quota clients and allocators of nodes."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING, Any

from attrs import asdict, define, field
from loguru import logger

from eelgrassmount.gen import ttypes
from eelgrassmount.policy.quotas import choose_allocator
from eelgrassmount.relay.frames import FrameKind
from eelgrassmount.teams.quota_allocator import (
    UNGRANTED_PERIOD_S,
    Grant,
    QuotaAllocator,
    QuotaRequest,
)
from eelgrassmount.teams.quota_client import QuotaClient

if TYPE_CHECKING:
    from collections.abc import Callable

    from eelgrassmount.policy.quotas import QuotaBounds
    from eelgrassmount.relay.members import Member
    from eelgrassmount.relay.shared_state import SharedState
    from eelgrassmount.teams.directory import Team
    from eelgrassmount.teams.quota_allocator import QuotaEvent
    from eelgrassmount.topics.readers import LogReaders

# Interval at which a node reports to the allocators that it lends its share.
LENDER_REPORT_INTERVAL_S = 0.5
MAX_REPORTED_WAIT_S = 60.0


def call_later(delay_s: float, action: Callable[[], None]) -> asyncio.Handle:
    """Call an action after a delay, or in the next turn of the event loop."""
    loop = asyncio.get_running_loop()
    return loop.call_later(delay_s, action) if delay_s else loop.call_soon(action)


@define(eq=False, repr=False)
class QuotaExchange:
    """Connects the quota client and the quota allocator of a node with those of others.

    The readers of the log in each failure domain allocate its share of the quotas, each
    team at one of them. ``local_allocators`` are those of the local failure domain,
    ``remote_allocators`` those of each other one.
    """

    state: SharedState
    readers: LogReaders
    bounds: QuotaBounds
    open_link: Callable[[Member], None]
    count: Callable[[QuotaEvent, float], None] = lambda event, requests: None
    client: QuotaClient = field(init=False)
    allocator: QuotaAllocator = field(init=False)
    local_allocators: tuple[str, ...] = ()
    remote_allocators: dict[str, tuple[str, ...]] = field(factory=dict)
    reply_senders: dict[str, Callable[[FrameKind, Any], None]] = field(factory=dict)
    _lender_reported_s: float = -math.inf
    _version: int = -1
    _teams_with_quota: list[Team] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        """Create the quota client and the quota allocator."""
        clock = self.state.clock
        self.client = QuotaClient(
            clock,
            call_later,
            self.list_allocators,
            self._send_client_request,
            UNGRANTED_PERIOD_S,
        )
        self.allocator = QuotaAllocator(
            self.state.name,
            self.bounds,
            clock,
            call_later,
            lambda: len(self.state.members.by_name),
            self.list_remote_allocators,
            self._send_borrow,
            self._send_grant,
            self.count,
        )

    def step(self) -> None:
        """Update the allocators, and report to them that this node lends its share."""
        if self.state.table.version != self._version:
            self._update_teams()
        if not self._teams_with_quota:
            return
        self.allocator.step(self._teams_with_quota)
        self.client.step()
        previous = self.local_allocators
        self._update_allocators()
        now_s = self.state.clock()
        if (
            self.local_allocators == previous
            and now_s - self._lender_reported_s < LENDER_REPORT_INTERVAL_S
        ):
            return
        self._lender_reported_s = now_s
        for name in previous:
            if name not in self.local_allocators:
                self._report_to(name, ())
        for name in self.local_allocators:
            self._report_to(name, self.local_allocators)

    def list_allocators(self, team_name: str) -> list[str]:
        """Return the allocators of a team, that of the local failure domain first."""
        local = choose_allocator(team_name, self.local_allocators)
        return [*([local] if local else []), *self.list_remote_allocators(team_name)]

    def list_remote_allocators(self, team_name: str) -> list[str]:
        """Return the allocators of a team in other failure domains."""
        found = [
            choose_allocator(team_name, names)
            for names in self.remote_allocators.values()
        ]
        return [name for name in found if name]

    def handle_frame(
        self, kind: FrameKind, struct: Any, send: Callable[[FrameKind, Any], None]
    ) -> None:
        """Handle a quota frame; ``send`` sends the answer."""
        if kind is FrameKind.QUOTA_ASK:
            self._handle_request(struct, send)
        elif kind is FrameKind.QUOTA_GRANTS:
            for one in struct.grants:
                self.client.handle_grant(struct.number, _read_grant(one))
        elif kind is FrameKind.QUOTA_BORROW:
            self._handle_borrow(struct, send)
        elif kind is FrameKind.QUOTA_LOAN:
            team = self._find_team(self.allocator.find_loan_team(struct.number) or "")
            self.allocator.handle_loan(struct.number, struct.amount, team)

    def _update_teams(self) -> None:
        self._version = self.state.table.version
        teams = self.state.table.teams.teams
        self._teams_with_quota = [team for team in teams.values() if team.has_quota()]
        names = {team.name for team in self._teams_with_quota}
        if self._teams_with_quota and not self.allocator.quotas:
            logger.info(
                "quotas in force", teams=len(names), **asdict(self.allocator.bounds)
            )
        self.client.keep_teams(names)
        self.allocator.keep_teams(names)

    def _find_team(self, name: str) -> Team | None:
        team = self.state.table.teams.teams.get(name)
        return team if team is not None and team.has_quota() else None

    def _update_allocators(self) -> None:
        now_s = self.state.clock()
        local_domain = self.state.failure_domain
        found = {
            domain: tuple(self.readers.list_readers(domain, now_s))
            for domain in sorted(self.readers.ranking.list_domains())
        }
        self.local_allocators = found.pop(local_domain, ())
        self.remote_allocators = found
        for name in self.local_allocators:
            self._connect(name)
        if self.state.name in self.local_allocators:
            for names in self.remote_allocators.values():
                for name in names:
                    self._connect(name)

    def _connect(self, name: str) -> Member | None:
        """Return another node if its link is up; otherwise open the link."""
        member = self.state.members.by_name.get(name)
        if member is None or name == self.state.name:
            return None
        if member.is_connected():
            return member
        if self.state.clock() >= member.retry_at_s:
            self.open_link(member)
        return None

    def _send_frame(self, name: str, kind: FrameKind, struct: Any) -> bool:
        member = self._connect(name)
        if member is not None:
            member.link.send(kind, struct)
        return member is not None

    def _report_to(self, name: str, allocators: tuple[str, ...]) -> None:
        uses = [
            ttypes.QuotaUse(team_name, self.client.drain_unreported(team_name), 0)
            for team_name, quota in self.client.quotas.items()
            if quota.unreported
            and choose_allocator(team_name, self.local_allocators) == name
        ]
        request = ttypes.RelayQuotaAsk(self.state.name, 0, list(allocators), uses)
        if self._send_request(name, request):
            return
        for use in uses:
            self.client.quotas[use.team_name].unreported += use.used

    def _handle_local_frame(self, kind: FrameKind, struct: Any) -> None:
        """Handle an answer of this node's own allocator."""
        self.handle_frame(kind, struct, self._handle_local_frame)

    def _send_client_request(
        self, allocator: str, number: int, team: Team, used: int, wanted: int
    ) -> bool:
        use = ttypes.QuotaUse(team.name, used, wanted)
        request = ttypes.RelayQuotaAsk(
            self.state.name, number, list(self.local_allocators), [use]
        )
        return self._send_request(allocator, request)

    def _send_request(self, allocator: str, request: ttypes.RelayQuotaAsk) -> bool:
        if allocator != self.state.name:
            return self._send_frame(allocator, FrameKind.QUOTA_ASK, request)
        self._handle_request(request, self._handle_local_frame)
        return True

    def _handle_request(
        self, request: ttypes.RelayQuotaAsk, send: Callable[[FrameKind, Any], None]
    ) -> None:
        self.allocator.record_lender(request.node_name, tuple(request.holders))
        self.reply_senders[request.node_name] = send
        for use in request.uses:
            team = self._find_team(use.team_name)
            if team is None:
                # The requesting node has another configuration and tries other nodes.
                continue
            if use.used:
                self.allocator.record_usage(team, use.used)
            if use.wanted:
                self._allocate(request, use, team, send)

    def _allocate(
        self,
        request: ttypes.RelayQuotaAsk,
        use: ttypes.QuotaUse,
        team: Team,
        send: Callable[[FrameKind, Any], None],
    ) -> None:
        def answer(grant: Grant) -> None:
            send(FrameKind.QUOTA_GRANTS, self._write_grant(request.number, grant))

        self.allocator.request(
            team, QuotaRequest(request.node_name, request.number, use.wanted, answer)
        )

    def _write_grant(self, number: int, grant: Grant) -> ttypes.RelayQuotaGrants:
        row = ttypes.QuotaGrant(
            grant.team_name,
            grant.wanted,
            grant.granted,
            grant.allows_ungranted,
            min(MAX_REPORTED_WAIT_S, grant.wait_s),
            grant.interval_s,
        )
        return ttypes.RelayQuotaGrants(self.state.name, number, [row])

    def _send_grant(self, name: str, grant: Grant) -> None:
        send = self.reply_senders.get(name)
        if send is not None:
            send(FrameKind.QUOTA_GRANTS, self._write_grant(0, grant))

    def _send_borrow(
        self, allocator: str, number: int, team_name: str, wanted: float
    ) -> bool:
        struct = ttypes.RelayQuotaBorrow(self.state.name, number, team_name, wanted)
        return self._send_frame(allocator, FrameKind.QUOTA_BORROW, struct)

    def _handle_borrow(
        self, borrow: ttypes.RelayQuotaBorrow, send: Callable[[FrameKind, Any], None]
    ) -> None:
        team = self._find_team(borrow.team_name)
        amount = self.allocator.lend(team, borrow.wanted) if team is not None else 0.0
        loan = ttypes.RelayQuotaLoan(self.state.name, borrow.number, amount)
        send(FrameKind.QUOTA_LOAN, loan)


def _read_grant(row: ttypes.QuotaGrant) -> Grant:
    return Grant(
        row.team_name, row.wanted, row.granted, row.free, row.wait_s, row.gap_s
    )
