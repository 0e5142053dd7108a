"""Rounds of gossip inside a failure domain, which are its probes as well."""

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
from eelgrassmount.members.timing import PARTNERS
from eelgrassmount.members.updates import MemberKey
from eelgrassmount.peer.port import PeerFailure

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from eelgrassmount.gen.ttypes import Gossip, Hello, Message
    from eelgrassmount.members.roster import Roster
    from eelgrassmount.peer.port import PeerPort
    from eelgrassmount.timers import TimerService

_MAX_WAKE_PROBES = 3

# sequence of a ping through a third node, and of the reply to it; a node that does
# not know such pings returns them as they came
_ASKED = 0
_REACHED = 1
_UNREACHED = 2


def _do_nothing() -> None:
    pass


@define
class Rounds:
    """Talks to the members of the own failure domain.

    ``fill`` adds what other parts of the node have to say to a message that is
    about to be sent, and ``observe`` hands them what came in; both may be
    called very often and must be cheap. ``react`` is called before urgent news
    is sent, ``settle_conflict`` when another incarnation claims this address.
    """

    roster: Roster
    timers: TimerService
    peers: PeerPort
    spawn: Callable[..., None]
    fill: Callable[[Gossip], None]
    observe: Callable[[str, Gossip], None]
    react: Callable[[], None] = _do_nothing
    settle_conflict: Callable[[], None] = _do_nothing
    _flush_pending: bool = False
    _last_sweep_s: float = 0.0
    _awake_s: float = 0.0
    _pulled_s: float = 0.0
    _partners: list[str] = field(factory=list)
    _partners_version: int = -1

    @property
    def partners(self) -> list[str]:
        """Return the members that this node talks to, a bounded number of them.

        Each node chooses its own by hash; together the choices connect all members
        within a few steps.
        """
        if self._partners_version != self.roster.version:
            self._partners_version = self.roster.version
            own = self.roster.identity.address
            self._partners = choose_addresses(own, self.roster.others, PARTNERS)
        return self._partners

    # periodic work

    def start(self) -> None:
        """Subscribe to the timers."""
        timing = self.roster.timing
        self._last_sweep_s = self.timers.read()
        self.timers.subscribe(timing.round_s, self.start_round, timing.round_jitter)
        self.timers.subscribe(timing.sweep_s, self.sweep)
        self.timers.subscribe(timing.dead_probe_s, self.start_dead_probe, 0.3)

    def sweep(self) -> None:
        """Give verdicts that are due, and notice gaps in this node's own time."""
        now_s = self.timers.read()
        gap_s = now_s - self._last_sweep_s
        self._last_sweep_s = now_s
        if gap_s > self.roster.timing.frozen_s:
            self._wake_up(gap_s, now_s)
        for address in self.roster.bury_overdue(now_s):
            logger.info("member {} is declared dead", address)
            self.spawn(self._confront, address)
        self.roster.release_held(now_s)
        self.flush_soon()

    def start_round(self) -> None:
        """Probe the next member with one message of gossip."""
        if not self.roster.own.present:
            return
        target = self.roster.detector.choose_target(frozenset(self.partners))
        if target is not None:
            self.spawn(self.probe, target)

    def start_dead_probe(self) -> None:
        """Ask one of the dead: after a cut both sides hold the other for dead."""
        self.roster.forget_gone(self.timers.read())
        gone = [
            address
            for address, member in self.roster.table.members.items()
            if not member.present and address != self.roster.identity.address
        ]
        if gone and self.roster.own.present:
            self.spawn(self.greet, self.roster.rng.choice(gone))

    def _wake_up(self, gap_s: float, now_s: float) -> None:
        """Distrust what is known after this process stood still."""
        logger.info("this process stood still for {:.2f} s", gap_s)
        self.roster.counts.add(Count.OWN_GAPS)
        self._awake_s = now_s
        self.roster.detector.extend_suspicions(gap_s)
        self.roster.change_own(now_s)
        self.roster.urgent[MemberKey(self.roster.identity.address)] = None
        for address in self._sample(self.partners, _MAX_WAKE_PROBES):
            self.spawn(self.greet, address)

    # probing

    async def probe(self, address: str) -> None:
        """Ask a member for news, and suspect it when nobody can reach it."""
        detector = self.roster.detector
        started_s = self.timers.read()
        timeout_s = detector.compute_timeout_s()
        self.roster.counts.add(Count.ROUNDS)
        if await self.greet(address, timeout_s):
            detector.note_answer(self.timers.read() - started_s)
            return
        self.roster.counts.add(Count.PROBES_FAILED)
        if self._was_disturbed(started_s):
            return
        if await self._probe_again(address):
            self.roster.counts.add(Count.PROBES_AGAIN_OK)
            return
        if self._was_disturbed(started_s) or self._heard_since(address, started_s):
            return
        detector.note_silence()
        if self.roster.suspect(address, self.timers.read()):
            logger.info("member {} is suspected", address)
            self.spawn(self._confront, address)

    async def greet(self, address: str, timeout_s: float = 0.0) -> bool:
        """Exchange news with a node; tell whether it answered."""
        gossip = exchange.build_round(self.roster)
        self.fill(gossip)
        reply = await self.request(
            address, gossip, timeout_s or self.roster.timing.ask_s
        )
        if reply is None:
            return False
        self.roster.note_heard(address, self.timers.read())
        if reply.buckets:
            self.spawn(self._pull, address, reply.buckets)
        return True

    async def request(
        self, address: str, gossip: Gossip, timeout_s: float
    ) -> Gossip | None:
        """Send a question and take its answer in; ``None`` when there was none."""
        reply = await self.peers.request(
            address, ttypes.Message(gossip=gossip), timeout_s
        )
        if isinstance(reply, PeerFailure) or reply.gossip is None:
            return None
        self.take_in(address, reply.gossip)
        return reply.gossip

    def take_in(self, address: str, gossip: Gossip) -> None:
        """Learn from a message and act on what cannot wait."""
        exchange.learn(self.roster, gossip, self.timers.read())
        self.observe(address, gossip)
        if self.roster.conflict is not None:
            self.settle_conflict()
        self.flush_soon()

    async def _pull(self, address: str, buckets: list[int]) -> None:
        now_s = self.timers.read()
        differing = self.roster.digest.compare(buckets)
        if not differing or now_s - self._pulled_s < self.roster.timing.pull_s:
            return
        self._pulled_s = now_s
        self.roster.counts.add(Count.PULLS)
        question = exchange.build_pull(self.roster, differing)
        await self.request(address, question, self.roster.timing.ask_s)

    async def _probe_again(self, address: str) -> bool:
        """Probe once more, directly and through others, all at once."""
        others = [other for other in self.partners if other != address]
        helpers = self._sample(others, self.roster.timing.indirect_probes)
        timeout_s = 2 * self.roster.detector.compute_timeout_s()
        reached: list[str] = []
        async with anyio.create_task_group() as group:

            async def reach(action: Callable[[], Awaitable[bool]], by: str) -> None:
                if await action():
                    reached.append(by)
                    group.cancel_scope.cancel()

            group.start_soon(reach, partial(self.greet, address, timeout_s), address)
            for helper in helpers:
                ping = partial(self._ping, helper, address, timeout_s)
                group.start_soon(reach, ping, helper)
        return bool(reached)

    async def _ping(self, helper: str, address: str, timeout_s: float) -> bool:
        question = ttypes.Message(ping=ttypes.Ping(sequence=_ASKED, address=address))
        reply = await self.peers.request(helper, question, timeout_s)
        if isinstance(reply, PeerFailure) or reply.ping is None:
            return False
        return reply.ping.sequence == _REACHED

    def _was_disturbed(self, started_s: float) -> bool:
        """Tell whether this node itself stood still while it waited."""
        gap_s = self.timers.read() - self._last_sweep_s
        return self._awake_s >= started_s or gap_s > self.roster.timing.frozen_s

    def _heard_since(self, address: str, started_s: float) -> bool:
        return self.roster.heard_s.get(address, -math.inf) > started_s

    async def _confront(self, address: str) -> None:
        """Let a suspect know at once, so that it can refute."""
        gossip = exchange.build_updates(self.roster, [MemberKey(address)])
        gossip.digest = self.roster.digest.total
        await self.request(address, gossip, self.roster.timing.ask_s)

    # urgent news

    def flush_soon(self) -> None:
        """Send what is urgent, together with what comes up right after it."""
        if self.roster.urgent and not self._flush_pending:
            self._flush_pending = True
            self.timers.schedule(self.roster.timing.flush_s, self._flush)

    def _flush(self) -> None:
        self._flush_pending = False
        self.react()
        gossip = exchange.build_urgent(self.roster)
        for address in self._sample(self.partners, self.roster.timing.fan_out):
            self.roster.counts.add(Count.URGENT_SENT)
            self.spawn(self.send, address, gossip)
        self.flush_soon()

    def _sample(self, addresses: list[str], count: int) -> list[str]:
        return self.roster.rng.sample(addresses, min(len(addresses), count))

    async def send(self, address: str, gossip: Gossip) -> None:
        """Send a message that has no answer."""
        await self.peers.send(address, ttypes.Message(gossip=gossip))

    # handlers

    async def answer_gossip(self, sender: Hello, message: Message) -> Message | None:
        """Take gossip in, and answer it if it is a question."""
        gossip = message.gossip
        if sender.failure_domain == self.roster.identity.failure_domain:
            self.roster.note_heard(sender.address, self.timers.read())
        else:
            self.roster.contacts.add(sender.failure_domain, sender.address)
        self.take_in(sender.address, gossip)
        if not exchange.needs_answer(gossip):
            return None
        reply = exchange.answer(self.roster, sender, gossip)
        if gossip.wanted is None:
            self.fill(reply)
        return ttypes.Message(gossip=reply)

    async def answer_ping(self, sender: Hello, message: Message) -> Message | None:
        """Ping a third node on behalf of the sender."""
        target = message.ping.address
        question = ttypes.Message(ping=ttypes.Ping(sequence=_ASKED))
        timeout_s = self.roster.detector.compute_timeout_s()
        reply = await self.peers.request(target, question, timeout_s)
        verdict = _UNREACHED if isinstance(reply, PeerFailure) else _REACHED
        return ttypes.Message(ping=ttypes.Ping(sequence=verdict, address=target))
