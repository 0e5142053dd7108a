"""State of the membership protocol at one node."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, evolve, field

from eelgrassmount.members.contacts import Contacts
from eelgrassmount.members.counts import Count, Counts
from eelgrassmount.members.detector import Detector
from eelgrassmount.members.digest import (
    Digest,
    hash_member,
    hash_summary,
    make_summary_key,
)
from eelgrassmount.members.flapping import Flapping
from eelgrassmount.members.merge import (
    is_superseded,
    merge_member,
    merge_summary,
    needs_refutation,
    needs_reminder,
    refutes,
    stops_serving,
)
from eelgrassmount.members.table import Member, MemberState
from eelgrassmount.members.timing import (
    DOMAIN_TRANSMISSIONS,
    LOAD_TRANSMISSIONS,
    STATE_TRANSMISSIONS,
    Timing,
)
from eelgrassmount.members.updates import MemberKey, SummaryKey, UpdateQueue

if TYPE_CHECKING:
    import random

    from eelgrassmount.members.table import Identity, MemberTable, ServiceSummary


@define
class Roster:
    """Members, summaries and pending updates; its methods apply reports.

    ``table`` is the part that other components read. Summaries of a failure
    domain without recent updates remain in ``summaries`` but are removed from
    ``table``. ``urgent`` holds the keys of updates to send at once. ``conflict``
    is another incarnation that claims this node's address and outranks it.
    ``unsent_summaries`` holds the keys that the local failure domain published
    since the last tick. ``version`` grows when a member joins, leaves or changes
    its state.
    """

    identity: Identity
    timing: Timing
    rng: random.Random
    table: MemberTable
    local_member: Member = field(init=False)
    detector: Detector = field(init=False)
    contacts: Contacts = field(init=False)
    counts: Counts = field(factory=Counts)
    digest: Digest = field(factory=Digest)
    domain_digests: dict[str, int] = field(factory=dict)
    updates: UpdateQueue = field(factory=UpdateQueue)
    urgent: dict[MemberKey | SummaryKey, None] = field(factory=dict)
    flapping: Flapping = field(factory=Flapping)
    summaries: dict[SummaryKey, ServiceSummary] = field(factory=dict)
    domain_last_contact_s: dict[str, float] = field(factory=dict)
    unsent_summaries: dict[SummaryKey, None] = field(factory=dict)
    conflict: Member | None = None
    version: int = 0
    last_contact_s: dict[str, float] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.detector = Detector(self.timing, self.rng)
        self.contacts = Contacts(self.identity.address)
        self.local_member = Member(self.identity, heartbeat=1, started=1)
        self._store(None, self.local_member)

    # members

    @property
    def present(self) -> list[Member]:
        """Return the members that have not left or died, this node included."""
        return [member for member in self.table.members.values() if member.present]

    @property
    def others(self) -> list[str]:
        """Return the addresses of the other members that have not left or died."""
        local_address = self.identity.address
        return [
            address
            for address, member in self.table.members.items()
            if member.present and address != local_address
        ]

    def update_local_member(self, now_s: float, **changes: object) -> None:
        """Change the local member, with a higher heartbeat."""
        before = self.local_member
        self.local_member = evolve(
            before, heartbeat=before.heartbeat + 1, received_s=now_s, **changes
        )
        self._store(before, self.local_member)

    def supersede_conflict(self, now_s: float) -> None:
        """Outrank another incarnation that claims this node's address."""
        if self.conflict is None:
            return
        started = max(self.local_member.started, self.conflict.started) + 1
        self.conflict = None
        self.update_local_member(now_s, started=started)
        self.urgent[MemberKey(self.identity.address)] = None

    def apply_member(self, report: Member, now_s: float) -> None:
        """Apply a report of another node about a member."""
        if report.identity.address == self.identity.address:
            self._apply_local_report(report, now_s)
            return
        if report.identity.failure_domain != self.identity.failure_domain:
            if report.present:
                self.contacts.add(
                    report.identity.failure_domain, report.identity.address
                )
            return
        address = report.identity.address
        known = self.table.members.get(address)
        if known is None and not report.present:
            return
        merged = merge_member(known, report)
        if merged is known:
            return
        if stops_serving(known, merged) or refutes(known, merged):
            self.urgent[MemberKey(address)] = None
        self._track_suspicion(known, merged, now_s)
        merged = evolve(merged, received_s=now_s, held=self.flapping.holds(address))
        self._store(known, merged)

    def suspect(self, address: str, now_s: float) -> bool:
        """Suspect a member that does not answer; return whether it was alive before."""
        known = self.table.members.get(address)
        if known is None or known.state is not MemberState.ALIVE:
            return False
        self.counts.add(Count.SUSPECTED)
        self.apply_member(evolve(known, state=MemberState.SUSPECT), now_s)
        return True

    def declare_overdue_dead(self, now_s: float) -> list[str]:
        """Declare dead the suspects whose deadline has passed; return them."""
        overdue = self.detector.find_overdue(now_s)
        for address in overdue:
            known = self.table.members[address]
            self.counts.add(Count.DECLARED_DEAD)
            self.apply_member(evolve(known, state=MemberState.DEAD), now_s)
        return overdue

    def record_contact(self, address: str, now_s: float) -> None:
        """Record that a message came directly from a member.

        This does not change `Member.received_s`, the time of the last report.
        """
        if address in self.table.members:
            self.last_contact_s[address] = now_s

    def release_held(self, now_s: float) -> None:
        """Let members whose hold has ended get new work again."""
        for address in self.flapping.release_due(now_s):
            known = self.table.members.get(address)
            if known is not None:
                self.table.members[address] = evolve(known, held=False)

    def remove_expired(self, now_s: float) -> None:
        """Remove members that left or died longer ago than the tombstone lifetime."""
        expired = [
            address
            for address, member in self.table.members.items()
            if not member.present
            and now_s - member.received_s > self.timing.tombstone_lifetime_s
        ]
        for address in expired:
            if address != self.identity.address:
                del self.table.members[address]
                self.last_contact_s.pop(address, None)

    def _apply_local_report(self, report: Member, now_s: float) -> None:
        if self.local_member.state is MemberState.LEFT:
            return
        if needs_refutation(self.local_member, report):
            self.counts.add(Count.REFUTED)
            self.local_member = evolve(self.local_member, heartbeat=report.heartbeat)
            self.update_local_member(now_s)
            self.urgent[MemberKey(self.identity.address)] = None
        elif is_superseded(self.local_member, report):
            self.conflict = report
        elif needs_reminder(self.local_member, report):
            self.urgent[MemberKey(self.identity.address)] = None

    def _track_suspicion(
        self, known: Member | None, merged: Member, now_s: float
    ) -> None:
        address = merged.identity.address
        if merged.state is MemberState.SUSPECT:
            count = len(self.table.members)
            self.detector.start_suspicion(address, count, now_s)
        else:
            self.detector.end_suspicion(address)
        if known is None:
            return
        was_alive = known.state is MemberState.ALIVE
        if was_alive and merged.state in (MemberState.SUSPECT, MemberState.DEAD):
            self.flapping.record_suspicion(address, now_s)
        came_back = merged.state is MemberState.ALIVE and not was_alive
        if came_back and self.flapping.record_return(address, now_s):
            self.counts.add(Count.HELD)

    def _store(self, known: Member | None, merged: Member) -> None:
        address = merged.identity.address
        before = hash_member(known) if known is not None else 0
        after = hash_member(merged)
        self.table.members[address] = merged
        self.digest.toggle(address, before)
        self.digest.toggle(address, after)
        only_load = (
            known is not None and before == after and known.state is merged.state
        )
        self.version += not only_load
        sends = LOAD_TRANSMISSIONS if only_load else STATE_TRANSMISSIONS
        self.updates.add(MemberKey(address), sends)

    # summaries

    def apply_summary(self, report: ServiceSummary, now_s: float) -> bool:
        """Apply a summary of a service; return whether it replaced the stored one."""
        key = SummaryKey(report.failure_domain, report.service)
        known = self.summaries.get(key)
        merged = merge_summary(known, report)
        if merged is known:
            return False
        merged = evolve(merged, received_s=now_s)
        self.summaries[key] = merged
        if _drops_server(known, merged):
            self.urgent[key] = None
        before = hash_summary(known) if known is not None else 0
        after = hash_summary(merged)
        self.updates.add(key, _count_sends(key, before == after))
        self._digest_summary(key, before ^ after)
        if key.failure_domain != self.identity.failure_domain:
            self._record_domain_contact(key.failure_domain, now_s)
            self._expose_summary(key, merged)
        elif key.service:
            self.unsent_summaries[key] = None
        for address in merged.addresses:
            self.contacts.add(key.failure_domain, address)
        return True

    def hide_stale_domains(self, now_s: float) -> None:
        """Remove silent failure domains' summaries from the table."""
        stale = [
            domain
            for domain, contact_s in self.domain_last_contact_s.items()
            if now_s - contact_s > self.timing.domain_timeout_s
        ]
        for domain in stale:
            del self.domain_last_contact_s[domain]
            self.counts.add(Count.DOMAIN_SILENT)
            for key in [key for key in self.table.summaries if key[0] == domain]:
                del self.table.summaries[key]

    def _digest_summary(self, key: SummaryKey, change: int) -> None:
        name = make_summary_key(key.failure_domain, key.service)
        self.digest.toggle(name, change)
        digest = self.domain_digests.get(key.failure_domain, 0)
        self.domain_digests[key.failure_domain] = digest ^ change

    def _record_domain_contact(self, domain: str, now_s: float) -> None:
        was_silent = domain not in self.domain_last_contact_s
        self.domain_last_contact_s[domain] = now_s
        if not was_silent:
            return
        for key, summary in self.summaries.items():
            if key.failure_domain == domain:
                self._expose_summary(key, summary)

    def _expose_summary(self, key: SummaryKey, summary: ServiceSummary) -> None:
        if key.service:
            self.table.summaries[(key.failure_domain, key.service)] = summary


def _drops_server(known: ServiceSummary | None, merged: ServiceSummary) -> bool:
    if known is None or not known.service:
        return False
    if known.servers and not merged.servers:
        return True
    return not set(known.addresses).issubset(merged.addresses)


def _count_sends(key: SummaryKey, only_load: bool) -> int:
    if not key.service:
        return DOMAIN_TRANSMISSIONS
    return LOAD_TRANSMISSIONS if only_load else STATE_TRANSMISSIONS
