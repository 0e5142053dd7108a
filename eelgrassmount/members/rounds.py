"""Rounds of gossip inside a failure domain, which also probe its members."""

from __future__ import annotations

import math
from functools import partial
from typing import TYPE_CHECKING

import anyio
from attrs import define, field
from loguru import logger

from eelgrassmount.gen import ttypes
from eelgrassmount.members import exchange
from eelgrassmount.members.counts import Count
from eelgrassmount.members.delegates import choose_addresses
from eelgrassmount.members.timing import MAX_PARTNERS
from eelgrassmount.members.updates import MemberKey
from eelgrassmount.peer.port import PeerFailure

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from eelgrassmount.gen.ttypes import Gossip, Hello, Message
    from eelgrassmount.members.roster import Roster
    from eelgrassmount.peer.port import PeerPort
    from eelgrassmount.timers import TimerService

_MAX_RESUME_PROBES = 3

# Sequence numbers of an indirect ping and of its reply. A node of an older release
# returns the ping unchanged, which does not count as reached.
_PING_REQUEST = 0
_PING_REACHED = 1
_PING_UNREACHED = 2


def _do_nothing() -> None:
    pass


@define
class Rounds:
    """Exchanges gossip with the members of the local failure domain.

    ``fill`` adds the fields of other components to a message before it is sent,
    ``observe`` passes received messages to them; both are called often and must
    be cheap. ``publish_urgent`` is called before urgent updates are sent,
    ``resolve_conflict`` when another incarnation claims this node's address.
    """

    roster: Roster
    timers: TimerService
    peers: PeerPort
    spawn: Callable[..., None]
    fill: Callable[[Gossip], None]
    observe: Callable[[str, Gossip], None]
    publish_urgent: Callable[[], None] = _do_nothing
    resolve_conflict: Callable[[], None] = _do_nothing
    _flush_pending: bool = False
    _last_sweep_s: float = 0.0
    _resumed_s: float = 0.0
    _pulled_s: float = 0.0
    _partners: list[str] = field(factory=list)
    _partners_version: int = -1

    @property
    def partners(self) -> list[str]:
        """Return the members that this node exchanges gossip with.

        Each node chooses a bounded number of partners by hash; together, the choices
        connect all members within a few hops.
        """
        if self._partners_version != self.roster.version:
            self._partners_version = self.roster.version
            address = self.roster.identity.address
            self._partners = choose_addresses(address, self.roster.others, MAX_PARTNERS)
        return self._partners

    # periodic work

    def start(self) -> None:
        """Subscribe to the timers."""
        timing = self.roster.timing
        self._last_sweep_s = self.timers.read()
        self.timers.subscribe(
            timing.round_interval_s, self.start_round, timing.round_jitter
        )
        self.timers.subscribe(timing.sweep_interval_s, self.sweep)
        self.timers.subscribe(timing.dead_probe_interval_s, self.start_dead_probe, 0.3)

    def sweep(self) -> None:
        """Declare overdue suspects dead, and detect pauses of this process."""
        now_s = self.timers.read()
        gap_s = now_s - self._last_sweep_s
        self._last_sweep_s = now_s
        if gap_s > self.roster.timing.pause_threshold_s:
            self._handle_pause(gap_s, now_s)
        for address in self.roster.declare_overdue_dead(now_s):
            logger.info("member {} is declared dead", address)
            self.spawn(self._notify_suspect, address)
        self.roster.release_held(now_s)
        self.flush_soon()

    def start_round(self) -> None:
        """Probe the next member with a gossip message."""
        if not self.roster.local_member.present:
            return
        target = self.roster.detector.choose_target(frozenset(self.partners))
        if target is not None:
            self.spawn(self.probe, target)

    def start_dead_probe(self) -> None:
        """Contact a dead member, since partitioned nodes declare each other dead."""
        self.roster.remove_expired(self.timers.read())
        inactive = [
            address
            for address, member in self.roster.table.members.items()
            if not member.present and address != self.roster.identity.address
        ]
        if inactive and self.roster.local_member.present:
            self.spawn(self.exchange_gossip, self.roster.rng.choice(inactive))

    def _handle_pause(self, gap_s: float, now_s: float) -> None:
        """Extend suspicions and refresh this node's state after a pause."""
        logger.info("this process was paused for {:.2f} s", gap_s)
        self.roster.counts.add(Count.OWN_GAPS)
        self._resumed_s = now_s
        self.roster.detector.extend_suspicions(gap_s)
        self.roster.update_local_member(now_s)
        self.roster.urgent[MemberKey(self.roster.identity.address)] = None
        for address in self._sample(self.partners, _MAX_RESUME_PROBES):
            self.spawn(self.exchange_gossip, address)

    # probing

    async def probe(self, address: str) -> None:
        """Exchange gossip with a member, and suspect it if no helper reaches it."""
        detector = self.roster.detector
        started_s = self.timers.read()
        timeout_s = detector.compute_timeout_s()
        self.roster.counts.add(Count.ROUNDS)
        if await self.exchange_gossip(address, timeout_s):
            detector.record_answer(self.timers.read() - started_s)
            return
        self.roster.counts.add(Count.PROBES_FAILED)
        if self._was_paused(started_s):
            return
        if await self._probe_indirectly(address):
            self.roster.counts.add(Count.PROBES_AGAIN_OK)
            return
        if self._was_paused(started_s) or self._was_contacted_since(address, started_s):
            return
        detector.record_timeout()
        if self.roster.suspect(address, self.timers.read()):
            logger.info("member {} is suspected", address)
            self.spawn(self._notify_suspect, address)

    async def exchange_gossip(self, address: str, timeout_s: float = 0.0) -> bool:
        """Exchange gossip with a node; return whether it answered."""
        gossip = exchange.build_round(self.roster)
        self.fill(gossip)
        reply = await self.request(
            address, gossip, timeout_s or self.roster.timing.request_timeout_s
        )
        if reply is None:
            return False
        self.roster.record_contact(address, self.timers.read())
        if reply.buckets:
            self.spawn(self._pull, address, reply.buckets)
        return True

    async def request(
        self, address: str, gossip: Gossip, timeout_s: float
    ) -> Gossip | None:
        """Send a message and apply its reply; return ``None`` if there is none."""
        reply = await self.peers.request(
            address, ttypes.Message(gossip=gossip), timeout_s
        )
        if isinstance(reply, PeerFailure) or reply.gossip is None:
            return None
        self.apply_gossip(address, reply.gossip)
        return reply.gossip

    def apply_gossip(self, address: str, gossip: Gossip) -> None:
        """Apply a received message and act on conflicts and urgent updates."""
        exchange.apply(self.roster, gossip, self.timers.read())
        self.observe(address, gossip)
        if self.roster.conflict is not None:
            self.resolve_conflict()
        self.flush_soon()

    async def _pull(self, address: str, buckets: list[int]) -> None:
        now_s = self.timers.read()
        differing = self.roster.digest.compare(buckets)
        if (
            not differing
            or now_s - self._pulled_s < self.roster.timing.min_pull_interval_s
        ):
            return
        self._pulled_s = now_s
        self.roster.counts.add(Count.PULLS)
        question = exchange.build_pull(self.roster, differing)
        await self.request(address, question, self.roster.timing.request_timeout_s)

    async def _probe_indirectly(self, address: str) -> bool:
        """Probe a member directly and through helpers at the same time."""
        others = [other for other in self.partners if other != address]
        helpers = self._sample(others, self.roster.timing.indirect_probes)
        timeout_s = 2 * self.roster.detector.compute_timeout_s()
        reached: list[str] = []
        async with anyio.create_task_group() as group:

            async def reach(action: Callable[[], Awaitable[bool]], by: str) -> None:
                if await action():
                    reached.append(by)
                    group.cancel_scope.cancel()

            group.start_soon(
                reach, partial(self.exchange_gossip, address, timeout_s), address
            )
            for helper in helpers:
                ping = partial(self._ping, helper, address, timeout_s)
                group.start_soon(reach, ping, helper)
        return bool(reached)

    async def _ping(self, helper: str, address: str, timeout_s: float) -> bool:
        question = ttypes.Message(
            ping=ttypes.Ping(sequence=_PING_REQUEST, address=address)
        )
        reply = await self.peers.request(helper, question, timeout_s)
        if isinstance(reply, PeerFailure) or reply.ping is None:
            return False
        return reply.ping.sequence == _PING_REACHED

    def _was_paused(self, started_s: float) -> bool:
        """Return whether this process was paused since ``started_s``."""
        gap_s = self.timers.read() - self._last_sweep_s
        return (
            self._resumed_s >= started_s or gap_s > self.roster.timing.pause_threshold_s
        )

    def _was_contacted_since(self, address: str, started_s: float) -> bool:
        return self.roster.last_contact_s.get(address, -math.inf) > started_s

    async def _notify_suspect(self, address: str) -> None:
        """Send a suspect or dead member the report about it, so that it can refute."""
        gossip = exchange.build_updates(self.roster, [MemberKey(address)])
        gossip.digest = self.roster.digest.total
        await self.request(address, gossip, self.roster.timing.request_timeout_s)

    # urgent updates

    def flush_soon(self) -> None:
        """Send urgent updates after a short delay that batches them."""
        if self.roster.urgent and not self._flush_pending:
            self._flush_pending = True
            self.timers.schedule(self.roster.timing.flush_delay_s, self._flush)

    def _flush(self) -> None:
        self._flush_pending = False
        self.publish_urgent()
        gossip = exchange.build_urgent(self.roster)
        for address in self._sample(self.partners, self.roster.timing.fan_out):
            self.roster.counts.add(Count.URGENT_SENT)
            self.spawn(self.send, address, gossip)
        self.flush_soon()

    def _sample(self, addresses: list[str], count: int) -> list[str]:
        return self.roster.rng.sample(addresses, min(len(addresses), count))

    async def send(self, address: str, gossip: Gossip) -> None:
        """Send a message that has no reply."""
        await self.peers.send(address, ttypes.Message(gossip=gossip))

    # handlers

    async def answer_gossip(self, sender: Hello, message: Message) -> Message | None:
        """Apply received gossip, and return the reply if the sender expects one."""
        gossip = message.gossip
        if sender.failure_domain == self.roster.identity.failure_domain:
            self.roster.record_contact(sender.address, self.timers.read())
        else:
            self.roster.contacts.add(sender.failure_domain, sender.address)
        self.apply_gossip(sender.address, gossip)
        if not exchange.expects_reply(gossip):
            return None
        reply = exchange.build_reply(self.roster, sender, gossip)
        if gossip.wanted is None:
            self.fill(reply)
        return ttypes.Message(gossip=reply)

    async def answer_ping(self, sender: Hello, message: Message) -> Message | None:
        """Ping a third node on behalf of the sender."""
        target = message.ping.address
        question = ttypes.Message(ping=ttypes.Ping(sequence=_PING_REQUEST))
        timeout_s = self.roster.detector.compute_timeout_s()
        reply = await self.peers.request(target, question, timeout_s)
        result = _PING_UNREACHED if isinstance(reply, PeerFailure) else _PING_REACHED
        return ttypes.Message(ping=ttypes.Ping(sequence=result, address=target))
