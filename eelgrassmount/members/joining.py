"""Discovery of other nodes through seeds and announcements on the log."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from attrs import define, field
from thrift.protocol.TBinaryProtocol import TBinaryProtocolAcceleratedFactory
from thrift.Thrift import TException
from thrift.TSerialization import deserialize, serialize

from eelgrassmount.gen import ttypes
from eelgrassmount.log_service import LogFailure
from eelgrassmount.members import exchange
from eelgrassmount.members.counts import Count
from eelgrassmount.members.delegates import choose_addresses
from eelgrassmount.members.table import MemberState
from eelgrassmount.members.timing import MAX_ADDRESSES
from eelgrassmount.members.wire import decode_members, encode_member

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from anyio.abc import TaskGroup

    from eelgrassmount.log_service import LogService, Record
    from eelgrassmount.members.roster import Roster
    from eelgrassmount.members.rounds import Rounds
    from eelgrassmount.members.table import Member
    from eelgrassmount.timers import TimerService

STREAM = "members"
_MAX_TAIL_RECORDS = 200
_MAX_CONTACTED = 8
_DELEGATE_INTERVAL_S = 15.0
_ANNOUNCED_INTERVAL_S = 2.0
_MIN_BACKOFF_DISCOVERIES = 3
# Bounds a discovery, so that a log without answers does not delay the next one.
_DISCOVERY_TIMEOUT_S = 8.0
_PROTOCOL = TBinaryProtocolAcceleratedFactory()


def encode_announcement(members: Iterable[Member]) -> bytes:
    """Return the body of a record that announces members on the log."""
    structs = [encode_member(member, "") for member in members]
    return serialize(ttypes.Gossip(members=structs), _PROTOCOL)


def decode_announcement(body: bytes, roster: Roster) -> list[Member]:
    """Return the members that a record announces; none if it is malformed."""
    try:
        gossip = deserialize(ttypes.Gossip(), body, _PROTOCOL)
    except (TException, EOFError, ValueError, UnicodeDecodeError):
        roster.counts.add(Count.MALFORMED)
        return []
    return decode_members(gossip.members, roster.identity, 0.0)


def list_candidates(roster: Roster, records: Iterable[Record]) -> list[str]:
    """Record announced addresses and return those to contact, newest first.

    Announcements may be out of date, so an announced node becomes a member only
    by the answer of a live node.
    """
    identity = roster.identity
    for record in records:
        for member in decode_announcement(record.body, roster):
            _record_announced(roster, member)
    known = frozenset(roster.others)
    local = [
        address
        for address in roster.contacts.list_newest_first(identity.failure_domain)
        if address not in known
    ]
    remote = [
        address
        for domain in roster.contacts.domains
        if domain != identity.failure_domain
        for address in roster.contacts.list_newest_first(domain)
    ]
    count = _MAX_CONTACTED // 2 if not roster.others else 1
    chosen_remote = roster.rng.sample(remote, min(len(remote), count))
    return local[: _MAX_CONTACTED - len(chosen_remote)] + chosen_remote


def _record_announced(roster: Roster, member: Member) -> None:
    identity = member.identity
    if identity.address != roster.identity.address:
        roster.contacts.add(identity.failure_domain, identity.address)
    elif identity.incarnation != roster.identity.incarnation:
        roster.apply_member(member, member.received_s)


@define
class Joiner:
    """Discovers other nodes: often while no member is known, rarely as a delegate.

    A node announces itself on the log if its second discovery finds no member of
    its failure domain either. A node that announced itself and then found
    members runs another discovery soon, in case two nodes announced themselves at
    the same time.
    """

    roster: Roster
    timers: TimerService
    rounds: Rounds
    log: LogService
    seeds: tuple[str, ...]
    is_delegate: Callable[[], bool]
    _backoff_s: float = field(init=False)
    _next_discovery_s: float = 0.0
    _next_announcement_s: float = 0.0
    _discoveries: int = 0
    _discovering: bool = False
    _announced: bool = False

    def __attrs_post_init__(self) -> None:
        self._backoff_s = self.roster.timing.min_discovery_interval_s

    @property
    def is_alone(self) -> bool:
        """Return whether no other member of the failure domain is known."""
        return not self.roster.others

    def start(self) -> None:
        """Start a discovery and subscribe to the timers."""
        timing = self.roster.timing
        delay_s = self.roster.rng.uniform(0.5, 1.5) * timing.announcement_interval_s
        self._next_announcement_s = self.timers.read() + delay_s
        self.rounds.spawn(self.discover)
        self.timers.subscribe(timing.min_discovery_interval_s / 2, self.check, 0.2)

    def check(self) -> None:
        """Start a discovery and announce members when each is due."""
        now_s = self.timers.read()
        if (
            now_s < self._next_discovery_s
            or self._discovering
            or not self.roster.local_member.present
        ):
            return
        if self.is_alone or self.is_delegate():
            self.rounds.spawn(self.discover)
        else:
            self._next_discovery_s = now_s + self.roster.timing.max_discovery_interval_s
        self._announce_members_if_due(now_s)

    async def discover(self) -> None:
        """Contact seeds and announced nodes; announce this node if none is found."""
        self._discovering = True
        self._discoveries += 1
        try:
            with anyio.move_on_after(_DISCOVERY_TIMEOUT_S):
                await self._contact_candidates()
        finally:
            self._schedule_next_discovery()
            self._discovering = False

    async def _contact_candidates(self) -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(self._discover_through_log, group)
            for address in self._choose_seeds():
                group.start_soon(self._join_through, address)

    async def _discover_through_log(self, group: TaskGroup) -> None:
        records = await self._read_tail()
        for address in list_candidates(self.roster, records or ()):
            group.start_soon(self._join_through, address)
        repeated = self._discoveries > 1
        if records is not None and repeated and self.is_alone and not self._announced:
            self._announced = await self.announce([self.roster.local_member])

    async def announce(self, members: list[Member]) -> bool:
        """Announce members on the log; return whether the append was answered."""
        self.roster.counts.add(Count.LOG_ANNOUNCEMENTS)
        answer = await self.log.append(STREAM, encode_announcement(members))
        if isinstance(answer, LogFailure):
            self.roster.counts.add(Count.LOG_FAILURES)
            return False
        return True

    def _announce_members_if_due(self, now_s: float) -> None:
        """Announce a few live members before the log drops older announcements."""
        if now_s < self._next_announcement_s or not self.is_delegate():
            return
        delay_s = (
            self.roster.rng.uniform(0.75, 1.25)
            * self.roster.timing.announcement_interval_s
        )
        self._next_announcement_s = now_s + delay_s
        alive = {
            member.identity.address: member
            for member in self.roster.table.members.values()
            if member.state is MemberState.ALIVE
        }
        domain = self.roster.identity.failure_domain
        chosen = choose_addresses(domain, alive, MAX_ADDRESSES)
        self.rounds.spawn(self.announce, [alive[address] for address in chosen])

    def _choose_seeds(self) -> list[str]:
        known = {self.roster.identity.address, *self.roster.others}
        seeds = [seed for seed in self.seeds if seed not in known]
        count = _MAX_CONTACTED if self.is_alone else 1
        return self.roster.rng.sample(seeds, min(len(seeds), count))

    async def _join_through(self, address: str) -> None:
        gossip = exchange.build_join(self.roster)
        self.rounds.fill(gossip)
        await self.rounds.request(address, gossip, self.roster.timing.request_timeout_s)

    async def _read_tail(self) -> tuple[Record, ...] | None:
        """Return the newest announcements, or ``None`` if the log failed."""
        self.roster.counts.add(Count.LOG_LOOKS)
        probe = await self.log.read(STREAM, 0, 1, 0.0)
        if isinstance(probe, LogFailure):
            self.roster.counts.add(Count.LOG_FAILURES)
            return None
        if probe.next <= probe.first:
            return ()
        offset = max(probe.first, probe.next - _MAX_TAIL_RECORDS)
        page = await self.log.read(STREAM, offset, _MAX_TAIL_RECORDS, 0.0)
        if isinstance(page, LogFailure):
            self.roster.counts.add(Count.LOG_FAILURES)
            return None
        return page.records

    def _schedule_next_discovery(self) -> None:
        """Back off while no member is known; else use the interval of delegates."""
        timing = self.roster.timing
        if not self.is_alone:
            self._backoff_s = timing.min_discovery_interval_s
            wait_s = _ANNOUNCED_INTERVAL_S if self._announced else _DELEGATE_INTERVAL_S
            self._announced = False
        else:
            wait_s = self._backoff_s
            if self._discoveries >= _MIN_BACKOFF_DISCOVERIES:
                self._backoff_s = min(
                    2 * self._backoff_s, timing.max_discovery_interval_s
                )
        wait_s *= self.roster.rng.uniform(0.7, 1.3)
        self._next_discovery_s = self.timers.read() + wait_s
