"""The exchange of summaries between failure domains."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

from eelgrassmount.members import exchange
from eelgrassmount.members.counts import Count
from eelgrassmount.members.delegates import (
    DOMAIN_ADDRESSES,
    Change,
    Weight,
    choose_addresses,
    choose_delegates,
    find_changes,
    summarize_services,
)
from eelgrassmount.members.timing import DELEGATES_PER_DOMAIN, MAX_CROSS_SUMMARIES
from eelgrassmount.members.table import MemberState, ServiceSummary
from eelgrassmount.members.updates import SummaryKey, UpdateQueue

if TYPE_CHECKING:
    from eelgrassmount.gen.ttypes import Gossip
    from eelgrassmount.members.roster import Roster
    from eelgrassmount.members.rounds import Rounds
    from eelgrassmount.timers import TimerService

# changes of load, published in a tick by all failure domains together
_PUBLISHED_BY_ALL = 5.0
_MAX_CREDIT = 3.0
_URGENT_CONTACTS = 2
_REPAIR_SUMMARIES = 8
# a digest differs for a moment whenever something changes
_REPAIR_FROM_MISMATCHES = 3


@define
class Domains:
    """Publishes what the own failure domain's services can take, and tells the others.

    A few delegates do so. The first one publishes at once; the others only
    what is urgent and what the first has not published after a while, staggered by
    rank, so that they do not publish the same change twice.
    """

    roster: Roster
    timers: TimerService
    rounds: Rounds
    _differs_since_s: float | None = None
    _outgoing: dict[str, UpdateQueue] = field(factory=dict)
    _mismatches: dict[str, int] = field(factory=dict)
    _credit: float = 0.0
    _rank: int | None = None
    _rank_version: int = -1
    _ticks: int = 0

    def start(self) -> None:
        """Subscribe to the timers."""
        self.timers.subscribe(self.roster.timing.cross_s, self.run_tick, 0.1)

    @property
    def rank(self) -> int | None:
        """Return this node's rank among the delegates, if it is one."""
        if self._rank_version != self.roster.version:
            self._rank_version = self.roster.version
            self._rank = self._compute_rank()
        return self._rank

    def _compute_rank(self) -> int | None:
        delegates = choose_delegates(
            self.roster.table.members.values(), self.roster.identity.failure_domain
        )
        own = self.roster.identity.address
        return delegates.index(own) if own in delegates else None

    def run_tick(self) -> None:
        """Do the periodic work of a delegate."""
        now_s = self.timers.read()
        self.roster.hide_stale_domains(now_s)
        rank = self.rank
        if rank is None:
            self._outgoing.clear()
            self._mismatches.clear()
            self.roster.fresh.clear()
            self._differs_since_s = None
            return
        self._earn_credit()
        self._publish_services(rank, now_s, urgent_only=False)
        self._publish_heartbeat(rank, now_s)
        self._queue_fresh()
        self._ticks += 1
        # each failure domain hears from one of the delegates in each tick
        for turn, domain in enumerate(self.roster.contacts.domains, self._ticks):
            is_turn = turn % DELEGATES_PER_DOMAIN == rank
            if domain != self.roster.identity.failure_domain and is_turn:
                self._send(domain, contacts=1)

    def react(self) -> None:
        """Publish and tell at once what would send calls to a server that left."""
        rank = self.rank
        if rank is None or not self._published_in_vain():
            return
        if not self._publish_services(rank, self.timers.read(), urgent_only=True):
            return
        self._queue_fresh()
        for domain in self.roster.contacts.domains:
            if domain != self.roster.identity.failure_domain:
                self._send(domain, contacts=_URGENT_CONTACTS)

    def _published_in_vain(self) -> bool:
        serving = self._list_serving()
        return any(
            not serving.issuperset(summary.addresses)
            for service, summary in self._list_published().items()
            if service
        )

    def _list_serving(self) -> frozenset[str]:
        return frozenset(
            member.identity.address
            for member in self.roster.table.members.values()
            if member.serves
        )

    def _list_published(self) -> dict[str, ServiceSummary]:
        domain = self.roster.identity.failure_domain
        return {
            key.service: summary
            for key, summary in self.roster.summaries.items()
            if key.failure_domain == domain
        }

    def _publish_services(self, rank: int, now_s: float, urgent_only: bool) -> bool:
        """Publish what changed, if it is this rank's turn; tell whether it did."""
        published = self._list_published()
        domain = self.roster.identity.failure_domain
        present = summarize_services(
            self.roster.table.members.values(), published, domain, now_s
        )
        changes = find_changes(published, present, self._list_serving())
        if urgent_only or rank:
            changes = [one for one in changes if one.weight is Weight.URGENT]
        if not changes:
            self._differs_since_s = None
            return False
        if self._differs_since_s is None:
            self._differs_since_s = now_s
        if now_s - self._differs_since_s < rank * self.roster.timing.delegate_stagger_s:
            return False
        for change in self._choose_changes(changes):
            self._publish(change.summary, now_s)
        return True

    def _choose_changes(self, changes: list[Change]) -> list[Change]:
        """Return all changes of servers, and of load as far as the share allows."""
        servers = [change for change in changes if change.weight < Weight.LOAD]
        loads = changes[len(servers) :]
        count = min(int(self._credit), len(loads))
        self._credit -= count
        return servers + self.roster.rng.sample(loads, count)

    def _earn_credit(self) -> None:
        domains = len(self.roster.contacts.domains) + 1
        limit = max(_MAX_CREDIT, _PUBLISHED_BY_ALL / domains)
        self._credit = min(limit, self._credit + _PUBLISHED_BY_ALL / domains)

    def _publish(self, summary: ServiceSummary, now_s: float) -> None:
        self.roster.counts.add(Count.SUMMARIES_PUBLISHED)
        self.roster.apply_summary(summary, now_s)

    def _publish_heartbeat(self, rank: int, now_s: float) -> None:
        """Publish that the failure domain is there, and a few addresses in it."""
        timing = self.roster.timing
        domain = self.roster.identity.failure_domain
        key = SummaryKey(domain, "")
        before = self.roster.summaries.get(key)
        patience_s = timing.domain_heartbeat_s + rank * timing.delegate_stagger_s
        if before is not None and now_s - before.heard_s < patience_s:
            return
        alive = [
            member.identity.address
            for member in self.roster.table.members.values()
            if member.state is MemberState.ALIVE
        ]
        summary = ServiceSummary(
            failure_domain=domain,
            service="",
            sequence=before.sequence + 1 if before else 1,
            servers=len(alive),
            headroom=0,
            threshold=0,
            addresses=tuple(choose_addresses(domain, alive, DOMAIN_ADDRESSES)),
            heard_s=now_s,
        )
        self.roster.apply_summary(summary, now_s)

    def _queue_fresh(self) -> None:
        """Note for each other failure domain what was newly published."""
        for domain in self.roster.contacts.domains:
            if domain == self.roster.identity.failure_domain:
                continue
            queue = self._outgoing.setdefault(domain, UpdateQueue())
            for key in self.roster.fresh:
                queue.add(key, 1)
        self.roster.fresh.clear()

    def _send(self, domain: str, contacts: int) -> None:
        """Send to nodes of another failure domain what it has not been told."""
        queue = self._outgoing.setdefault(domain, UpdateQueue())
        own = self.roster.identity.failure_domain
        keys = [SummaryKey(own, ""), *queue.take(MAX_CROSS_SUMMARIES)]
        repair = self._mismatches.get(domain, 0) >= _REPAIR_FROM_MISMATCHES
        gossip = exchange.build_cross(self.roster, keys, repair)
        chosen = self.roster.contacts.choose(domain, contacts, self.roster.rng)
        for address in chosen:
            self.rounds.spawn(self._tell_domain, domain, address, gossip, keys)

    async def _tell_domain(
        self, domain: str, address: str, gossip: Gossip, keys: list[SummaryKey]
    ) -> None:
        self.rounds.fill(gossip)
        reply = await self.rounds.request(address, gossip, self.roster.timing.ask_s)
        queue = self._outgoing.setdefault(domain, UpdateQueue())
        if reply is None:
            self.roster.contacts.drop(domain, address)
            for key in keys[1:]:
                queue.add(key, 1)
            return
        self.roster.contacts.add(domain, address)
        own = self.roster.identity.failure_domain
        if reply.digest == self.roster.domain_digests.get(own, 0):
            self._mismatches.pop(domain, None)
            return
        count = self._mismatches.get(domain, 0) + 1
        self._mismatches[domain] = count
        if count >= _REPAIR_FROM_MISMATCHES:
            self._queue_repair(queue)

    def _queue_repair(self, queue: UpdateQueue) -> None:
        """Send some of the summaries again, as the other side knows other ones."""
        own = self.roster.identity.failure_domain
        keys = [key for key in self.roster.summaries if key.failure_domain == own]
        count = min(len(keys), _REPAIR_SUMMARIES)
        for key in self.roster.rng.sample(keys, count):
            queue.add(key, 1)
