"""Exchange of service summaries between failure domains."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

from eelgrassmount.members import exchange
from eelgrassmount.members.counts import Count
from eelgrassmount.members.delegates import (
    HEARTBEAT_ADDRESSES,
    Change,
    Urgency,
    choose_addresses,
    choose_delegates,
    find_changes,
    summarize_services,
)
from eelgrassmount.members.table import MemberState, ServiceSummary
from eelgrassmount.members.timing import DELEGATES_PER_DOMAIN, MAX_CROSS_SUMMARIES
from eelgrassmount.members.updates import SummaryKey, UpdateQueue

if TYPE_CHECKING:
    from eelgrassmount.gen.ttypes import Gossip
    from eelgrassmount.members.roster import Roster
    from eelgrassmount.members.rounds import Rounds
    from eelgrassmount.timers import TimerService

# Changes of load per tick that all failure domains together may publish.
_LOAD_CHANGES_PER_TICK = 5.0
_MAX_LOAD_CREDIT = 3.0
_URGENT_CONTACTS = 2
_REPAIR_SUMMARIES = 8
# Every change makes digests differ until it has spread.
_MIN_REPAIR_MISMATCHES = 3


@define
class DomainExchange:
    """Publishes summaries of the local services and sends them to other domains.

    Only delegates do so. The first delegate publishes every change at once. The
    others publish urgent changes only, each after a delay that grows with its
    rank, so that a change is not published twice.
    """

    roster: Roster
    timers: TimerService
    rounds: Rounds
    _changed_since_s: float | None = None
    _outgoing: dict[str, UpdateQueue] = field(factory=dict)
    _mismatches: dict[str, int] = field(factory=dict)
    _load_credit: float = 0.0
    _rank: int | None = None
    _rank_version: int = -1
    _ticks: int = 0

    def start(self) -> None:
        """Subscribe to the timers."""
        self.timers.subscribe(
            self.roster.timing.cross_domain_interval_s, self.run_tick, 0.1
        )

    @property
    def rank(self) -> int | None:
        """Return this node's rank among the delegates, or ``None``."""
        if self._rank_version != self.roster.version:
            self._rank_version = self.roster.version
            self._rank = self._compute_rank()
        return self._rank

    def _compute_rank(self) -> int | None:
        delegates = choose_delegates(
            self.roster.table.members.values(), self.roster.identity.failure_domain
        )
        address = self.roster.identity.address
        return delegates.index(address) if address in delegates else None

    def run_tick(self) -> None:
        """Publish changes and send them to the other failure domains."""
        now_s = self.timers.read()
        self.roster.hide_stale_domains(now_s)
        rank = self.rank
        if rank is None:
            self._outgoing.clear()
            self._mismatches.clear()
            self.roster.unsent_summaries.clear()
            self._changed_since_s = None
            return
        self._refill_load_credit()
        self._publish_services(rank, now_s, urgent_only=False)
        self._publish_heartbeat(rank, now_s)
        self._queue_published()
        self._ticks += 1
        # in each tick, one of the delegates sends to each failure domain
        for turn, domain in enumerate(self.roster.contacts.domains, self._ticks):
            is_turn = turn % DELEGATES_PER_DOMAIN == rank
            if domain != self.roster.identity.failure_domain and is_turn:
                self._send(domain, contacts=1)

    def publish_urgent(self) -> None:
        """Publish and send at once that a published address no longer serves."""
        rank = self.rank
        if rank is None or not self._has_stale_addresses():
            return
        if not self._publish_services(rank, self.timers.read(), urgent_only=True):
            return
        self._queue_published()
        for domain in self.roster.contacts.domains:
            if domain != self.roster.identity.failure_domain:
                self._send(domain, contacts=_URGENT_CONTACTS)

    def _has_stale_addresses(self) -> bool:
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
        """Publish changes once this rank's delay is over; return whether it did."""
        published = self._list_published()
        domain = self.roster.identity.failure_domain
        present = summarize_services(
            self.roster.table.members.values(), published, domain, now_s
        )
        changes = find_changes(published, present, self._list_serving())
        if urgent_only or rank:
            changes = [one for one in changes if one.urgency is Urgency.URGENT]
        if not changes:
            self._changed_since_s = None
            return False
        if self._changed_since_s is None:
            self._changed_since_s = now_s
        if now_s - self._changed_since_s < rank * self.roster.timing.delegate_stagger_s:
            return False
        for change in self._choose_changes(changes):
            self._publish(change.summary, now_s)
        return True

    def _choose_changes(self, changes: list[Change]) -> list[Change]:
        """Return all changes of servers, and changes of load within the credit."""
        servers = [change for change in changes if change.urgency < Urgency.LOAD]
        loads = changes[len(servers) :]
        count = min(int(self._load_credit), len(loads))
        self._load_credit -= count
        return servers + self.roster.rng.sample(loads, count)

    def _refill_load_credit(self) -> None:
        domains = len(self.roster.contacts.domains) + 1
        limit = max(_MAX_LOAD_CREDIT, _LOAD_CHANGES_PER_TICK / domains)
        self._load_credit = min(
            limit, self._load_credit + _LOAD_CHANGES_PER_TICK / domains
        )

    def _publish(self, summary: ServiceSummary, now_s: float) -> None:
        self.roster.counts.add(Count.SUMMARIES_PUBLISHED)
        self.roster.apply_summary(summary, now_s)

    def _publish_heartbeat(self, rank: int, now_s: float) -> None:
        """Publish that the failure domain is reachable, with a few addresses."""
        timing = self.roster.timing
        domain = self.roster.identity.failure_domain
        key = SummaryKey(domain, "")
        before = self.roster.summaries.get(key)
        due_after_s = (
            timing.domain_heartbeat_interval_s + rank * timing.delegate_stagger_s
        )
        if before is not None and now_s - before.received_s < due_after_s:
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
            addresses=tuple(choose_addresses(domain, alive, HEARTBEAT_ADDRESSES)),
            received_s=now_s,
        )
        self.roster.apply_summary(summary, now_s)

    def _queue_published(self) -> None:
        """Queue newly published summaries for each other failure domain."""
        for domain in self.roster.contacts.domains:
            if domain == self.roster.identity.failure_domain:
                continue
            queue = self._outgoing.setdefault(domain, UpdateQueue())
            for key in self.roster.unsent_summaries:
                queue.add(key, 1)
        self.roster.unsent_summaries.clear()

    def _send(self, domain: str, contacts: int) -> None:
        """Send queued summaries to nodes of another failure domain."""
        queue = self._outgoing.setdefault(domain, UpdateQueue())
        local_domain = self.roster.identity.failure_domain
        keys = [SummaryKey(local_domain, ""), *queue.take(MAX_CROSS_SUMMARIES)]
        repair = self._mismatches.get(domain, 0) >= _MIN_REPAIR_MISMATCHES
        gossip = exchange.build_cross(self.roster, keys, repair)
        chosen = self.roster.contacts.choose(domain, contacts, self.roster.rng)
        for address in chosen:
            self.rounds.spawn(self._send_to_contact, domain, address, gossip, keys)

    async def _send_to_contact(
        self, domain: str, address: str, gossip: Gossip, keys: list[SummaryKey]
    ) -> None:
        self.rounds.fill(gossip)
        reply = await self.rounds.request(
            address, gossip, self.roster.timing.request_timeout_s
        )
        queue = self._outgoing.setdefault(domain, UpdateQueue())
        if reply is None:
            self.roster.contacts.drop(domain, address)
            for key in keys[1:]:
                queue.add(key, 1)
            return
        self.roster.contacts.add(domain, address)
        local_domain = self.roster.identity.failure_domain
        if reply.digest == self.roster.domain_digests.get(local_domain, 0):
            self._mismatches.pop(domain, None)
            return
        count = self._mismatches.get(domain, 0) + 1
        self._mismatches[domain] = count
        if count >= _MIN_REPAIR_MISMATCHES:
            self._queue_repair(queue)

    def _queue_repair(self, queue: UpdateQueue) -> None:
        """Queue some summaries again, since the other domain's digest differs."""
        local_domain = self.roster.identity.failure_domain
        keys = [
            key for key in self.roster.summaries if key.failure_domain == local_domain
        ]
        count = min(len(keys), _REPAIR_SUMMARIES)
        for key in self.roster.rng.sample(keys, count):
            queue.add(key, 1)
