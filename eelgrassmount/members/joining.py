"""Finding the other nodes: seeds, and announcements on the log."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from attrs import define, field
from thrift.protocol.TBinaryProtocol import TBinaryProtocolAcceleratedFactory
from thrift.Thrift import TException
from thrift.TSerialization import deserialize, serialize

from eelgrassmount.gen import ttypes
from eelgrassmount.log_port import LogFailure
from eelgrassmount.members import exchange
from eelgrassmount.members.counts import Count
from eelgrassmount.members.delegates import choose_addresses
from eelgrassmount.members.timing import MAX_ADDRESSES
from eelgrassmount.members.table import MemberState
from eelgrassmount.members.wire import decode_members, encode_member

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from anyio.abc import TaskGroup

    from eelgrassmount.log_port import LogPort, Record
    from eelgrassmount.members.roster import Roster
    from eelgrassmount.members.rounds import Rounds
    from eelgrassmount.members.table import Member
    from eelgrassmount.timers import TimerService

STREAM = "members"
_TAIL_RECORDS = 200
_MAX_ASKED = 8
_DELEGATE_LOOK_S = 15.0
_ANNOUNCED_LOOK_S = 2.0
_EAGER_LOOKS = 3
# a log that hangs must not keep a node from its seeds
_LOOK_LIMIT_S = 8.0
_PROTOCOL = TBinaryProtocolAcceleratedFactory()


def encode_announcement(members: Iterable[Member]) -> bytes:
    """Return the record that announces members on the log."""
    structs = [encode_member(member, "") for member in members]
    return serialize(ttypes.Gossip(members=structs), _PROTOCOL)


def decode_announcement(body: bytes, roster: Roster) -> list[Member]:
    """Return the members that a record announces; none if it is not readable."""
    try:
        gossip = deserialize(ttypes.Gossip(), body, _PROTOCOL)
    except (TException, EOFError, ValueError, UnicodeDecodeError):
        roster.counts.add(Count.MALFORMED)
        return []
    return decode_members(gossip.members, roster.identity, 0.0)


def list_candidates(roster: Roster, records: Iterable[Record]) -> list[str]:
    """Note the announced addresses and return those worth asking, newest first.

    An announcement proves nothing about the present, so members are only
    learned from the nodes that answer.
    """
    own = roster.identity
    for record in records:
        for member in decode_announcement(record.body, roster):
            _note_announced(roster, member)
    known = frozenset(roster.others)
    near = [
        address
        for address in roster.contacts.list_known(own.failure_domain)
        if address not in known
    ]
    far = [
        address
        for domain in roster.contacts.domains
        if domain != own.failure_domain
        for address in roster.contacts.list_known(domain)
    ]
    count = _MAX_ASKED // 2 if not roster.others else 1
    chosen_far = roster.rng.sample(far, min(len(far), count))
    return near[: _MAX_ASKED - len(chosen_far)] + chosen_far


def _note_announced(roster: Roster, member: Member) -> None:
    identity = member.identity
    if identity.address != roster.identity.address:
        roster.contacts.add(identity.failure_domain, identity.address)
    elif identity.incarnation != roster.identity.incarnation:
        roster.apply_member(member, member.heard_s)


@define
class Joiner:
    """Looks for other nodes: often while alone, rarely as a delegate.

    A node announces itself only if its second look finds nobody of its failure
    domain either; else the members that it joined are announced already. The
    first look of a node that announced itself is followed by another one soon, for two
    nodes that announced themselves at once.
    """

    roster: Roster
    timers: TimerService
    rounds: Rounds
    log: LogPort
    seeds: tuple[str, ...]
    is_delegate: Callable[[], bool]
    _backoff_s: float = field(init=False)
    _next_look_s: float = 0.0
    _next_announcement_s: float = 0.0
    _looks: int = 0
    _looking: bool = False
    _announced: bool = False

    def __attrs_post_init__(self) -> None:
        self._backoff_s = self.roster.timing.look_least_s

    @property
    def alone(self) -> bool:
        """Tell whether no other member of the failure domain is known."""
        return not self.roster.others

    def start(self) -> None:
        """Look once at once and then subscribe to the timers."""
        timing = self.roster.timing
        delay_s = self.roster.rng.uniform(0.5, 1.5) * timing.announce_s
        self._next_announcement_s = self.timers.read() + delay_s
        self.rounds.spawn(self.look)
        self.timers.subscribe(timing.look_least_s / 2, self.check, 0.2)

    def check(self) -> None:
        """Look again when that is due, and announce members from time to time."""
        now_s = self.timers.read()
        if now_s < self._next_look_s or self._looking or not self.roster.own.present:
            return
        if self.alone or self.is_delegate():
            self.rounds.spawn(self.look)
        else:
            self._next_look_s = now_s + self.roster.timing.look_most_s
        self._announce_again(now_s)

    async def look(self) -> None:
        """Ask seeds and announced nodes; announce this node if there is nobody."""
        self._looking = True
        self._looks += 1
        try:
            with anyio.move_on_after(_LOOK_LIMIT_S):
                await self._ask_around()
        finally:
            self._plan_next_look()
            self._looking = False

    async def _ask_around(self) -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(self._look_at_log, group)
            for address in self._choose_seeds():
                group.start_soon(self._join_through, address)

    async def _look_at_log(self, group: TaskGroup) -> None:
        records = await self._read_tail()
        for address in list_candidates(self.roster, records or ()):
            group.start_soon(self._join_through, address)
        patient = self._looks > 1
        if records is not None and patient and self.alone and not self._announced:
            self._announced = await self.announce([self.roster.own])

    async def announce(self, members: list[Member]) -> bool:
        """Append addresses to the log, so that nodes to come find them."""
        self.roster.counts.add(Count.LOG_ANNOUNCEMENTS)
        answer = await self.log.append(STREAM, encode_announcement(members))
        if isinstance(answer, LogFailure):
            self.roster.counts.add(Count.LOG_FAILURES)
            return False
        return True

    def _announce_again(self, now_s: float) -> None:
        """Announce a few live members, before the log drops older announcements."""
        if now_s < self._next_announcement_s or not self.is_delegate():
            return
        delay_s = self.roster.rng.uniform(0.75, 1.25) * self.roster.timing.announce_s
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
        count = _MAX_ASKED if self.alone else 1
        return self.roster.rng.sample(seeds, min(len(seeds), count))

    async def _join_through(self, address: str) -> None:
        gossip = exchange.build_join(self.roster)
        self.rounds.fill(gossip)
        await self.rounds.request(address, gossip, self.roster.timing.ask_s)

    async def _read_tail(self) -> tuple[Record, ...] | None:
        """Return the newest announcements, or ``None`` when the log gave no answer."""
        self.roster.counts.add(Count.LOG_LOOKS)
        probe = await self.log.read(STREAM, 0, 1, 0.0)
        if isinstance(probe, LogFailure):
            self.roster.counts.add(Count.LOG_FAILURES)
            return None
        if probe.next <= probe.first:
            return ()
        offset = max(probe.first, probe.next - _TAIL_RECORDS)
        page = await self.log.read(STREAM, offset, _TAIL_RECORDS, 0.0)
        if isinstance(page, LogFailure):
            self.roster.counts.add(Count.LOG_FAILURES)
            return None
        return page.records

    def _plan_next_look(self) -> None:
        """Back off, with jitter, while alone; else look as rarely as a delegate."""
        timing = self.roster.timing
        if not self.alone:
            self._backoff_s = timing.look_least_s
            wait_s = _ANNOUNCED_LOOK_S if self._announced else _DELEGATE_LOOK_S
            self._announced = False
        else:
            wait_s = self._backoff_s
            if self._looks >= _EAGER_LOOKS:
                self._backoff_s = min(2 * self._backoff_s, timing.look_most_s)
        wait_s *= self.roster.rng.uniform(0.7, 1.3)
        self._next_look_s = self.timers.read() + wait_s
