"""Everything that one node knows of the others."""

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
    name_summary,
)
from eelgrassmount.members.flapping import Flapping
from eelgrassmount.members.merge import (
    merge_member,
    merge_summary,
    needs_raise,
    needs_refutation,
    needs_reminder,
    refutes,
    stops_work,
)
from eelgrassmount.members.timing import (
    SENDS_OF_DOMAIN,
    SENDS_OF_LOAD,
    SENDS_OF_STATE,
    Timing,
)
from eelgrassmount.members.table import Member, MemberState
from eelgrassmount.members.updates import MemberKey, SummaryKey, UpdateQueue

if TYPE_CHECKING:
    import random

    from eelgrassmount.members.table import Identity, MemberTable, ServiceSummary


@define
class Roster:
    """The state of the membership; its methods take reports in.

    ``table`` is what other parts of the node see. Summaries of a failure domain
    that has not been heard from for a while are kept here but not shown there.
    ``urgent`` holds what has to be told at once. ``conflict`` is another
    incarnation that claims this node's address and stands above it.
    ``fresh`` holds what was newly published by the own failure domain.
    ``version`` grows when a member comes, goes or changes its state.
    """

    identity: Identity
    timing: Timing
    rng: random.Random
    table: MemberTable
    own: Member = field(init=False)
    detector: Detector = field(init=False)
    contacts: Contacts = field(init=False)
    counts: Counts = field(factory=Counts)
    digest: Digest = field(factory=Digest)
    domain_digests: dict[str, int] = field(factory=dict)
    updates: UpdateQueue = field(factory=UpdateQueue)
    urgent: dict[MemberKey | SummaryKey, None] = field(factory=dict)
    flapping: Flapping = field(factory=Flapping)
    summaries: dict[SummaryKey, ServiceSummary] = field(factory=dict)
    domain_heard_s: dict[str, float] = field(factory=dict)
    fresh: dict[SummaryKey, None] = field(factory=dict)
    conflict: Member | None = None
    version: int = 0
    heard_s: dict[str, float] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.detector = Detector(self.timing, self.rng)
        self.contacts = Contacts(self.identity.address)
        self.own = Member(self.identity, heartbeat=1, started=1)
        self._store(None, self.own)

    # members

    @property
    def present(self) -> list[Member]:
        """Return the members that are not gone, this node included."""
        return [member for member in self.table.members.values() if member.present]

    @property
    def others(self) -> list[str]:
        """Return the addresses of the other members that are not gone."""
        own = self.identity.address
        return [
            address
            for address, member in self.table.members.items()
            if member.present and address != own
        ]

    def change_own(self, now_s: float, **changes: object) -> None:
        """Change what this node says of itself, with a higher heartbeat."""
        before = self.own
        self.own = evolve(
            before, heartbeat=before.heartbeat + 1, heard_s=now_s, **changes
        )
        self._store(before, self.own)

    def raise_own(self, now_s: float) -> None:
        """Put this incarnation above another one that claims its address."""
        if self.conflict is None:
            return
        started = max(self.own.started, self.conflict.started) + 1
        self.conflict = None
        self.change_own(now_s, started=started)
        self.urgent[MemberKey(self.identity.address)] = None

    def apply_member(self, report: Member, now_s: float) -> None:
        """Take in what another node said of a member."""
        if report.identity.address == self.identity.address:
            self._learn_own(report, now_s)
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
        kept = merge_member(known, report)
        if kept is known:
            return
        if stops_work(known, kept) or refutes(known, kept):
            self.urgent[MemberKey(address)] = None
        self._track_suspicion(known, kept, now_s)
        kept = evolve(kept, heard_s=now_s, held=self.flapping.holds(address))
        self._store(known, kept)

    def suspect(self, address: str, now_s: float) -> bool:
        """Suspect a member that does not answer; tell whether that is new."""
        known = self.table.members.get(address)
        if known is None or known.state is not MemberState.ALIVE:
            return False
        self.counts.add(Count.SUSPECTED)
        self.apply_member(evolve(known, state=MemberState.SUSPECT), now_s)
        return True

    def bury_overdue(self, now_s: float) -> list[str]:
        """Declare dead the suspects that did not refute it in time."""
        overdue = self.detector.find_overdue(now_s)
        for address in overdue:
            known = self.table.members[address]
            self.counts.add(Count.DECLARED_DEAD)
            self.apply_member(evolve(known, state=MemberState.DEAD), now_s)
        return overdue

    def note_heard(self, address: str, now_s: float) -> None:
        """Note that a member was heard from directly.

        `Member.heard_s` stays: it tells how old the report is.
        """
        if address in self.table.members:
            self.heard_s[address] = now_s

    def release_held(self, now_s: float) -> None:
        """Give members whose hold has ended new work again."""
        for address in self.flapping.release_due(now_s):
            known = self.table.members.get(address)
            if known is not None:
                self.table.members[address] = evolve(known, held=False)

    def forget_gone(self, now_s: float) -> None:
        """Forget members that have been gone for long."""
        gone = [
            address
            for address, member in self.table.members.items()
            if not member.present and now_s - member.heard_s > self.timing.tombstone_s
        ]
        for address in gone:
            if address != self.identity.address:
                del self.table.members[address]
                self.heard_s.pop(address, None)

    def _learn_own(self, report: Member, now_s: float) -> None:
        if self.own.state is MemberState.LEFT:
            return
        if needs_refutation(self.own, report):
            self.counts.add(Count.REFUTED)
            self.own = evolve(self.own, heartbeat=report.heartbeat)
            self.change_own(now_s)
            self.urgent[MemberKey(self.identity.address)] = None
        elif needs_raise(self.own, report):
            self.conflict = report
        elif needs_reminder(self.own, report):
            self.urgent[MemberKey(self.identity.address)] = None

    def _track_suspicion(
        self, known: Member | None, kept: Member, now_s: float
    ) -> None:
        address = kept.identity.address
        if kept.state is MemberState.SUSPECT:
            count = len(self.table.members)
            self.detector.start_suspicion(address, count, now_s)
        else:
            self.detector.end_suspicion(address)
        if known is None:
            return
        was_alive = known.state is MemberState.ALIVE
        if was_alive and kept.state in (MemberState.SUSPECT, MemberState.DEAD):
            self.flapping.note_suspicion(address, now_s)
        came_back = kept.state is MemberState.ALIVE and not was_alive
        if came_back and self.flapping.note_return(address, now_s):
            self.counts.add(Count.HELD)

    def _store(self, known: Member | None, kept: Member) -> None:
        address = kept.identity.address
        before = hash_member(known) if known is not None else 0
        after = hash_member(kept)
        self.table.members[address] = kept
        self.digest.toggle(address, before)
        self.digest.toggle(address, after)
        only_load = known is not None and before == after and known.state is kept.state
        self.version += not only_load
        sends = SENDS_OF_LOAD if only_load else SENDS_OF_STATE
        self.updates.add(MemberKey(address), sends)

    # summaries

    def apply_summary(self, report: ServiceSummary, now_s: float) -> bool:
        """Take in what a failure domain says of a service; tell whether it is new."""
        key = SummaryKey(report.failure_domain, report.service)
        known = self.summaries.get(key)
        kept = merge_summary(known, report)
        if kept is known:
            return False
        kept = evolve(kept, heard_s=now_s)
        self.summaries[key] = kept
        if _drops_server(known, kept):
            self.urgent[key] = None
        before = hash_summary(known) if known is not None else 0
        after = hash_summary(kept)
        self.updates.add(key, _count_sends(key, before == after))
        self._digest_summary(key, before ^ after)
        if key.failure_domain != self.identity.failure_domain:
            self._hear_domain(key.failure_domain, now_s)
            self._show_summary(key, kept)
        elif key.service:
            self.fresh[key] = None
        for address in kept.addresses:
            self.contacts.add(key.failure_domain, address)
        return True

    def hide_stale_domains(self, now_s: float) -> None:
        """Hide the summaries of failure domains that have gone silent."""
        stale = [
            domain
            for domain, heard_s in self.domain_heard_s.items()
            if now_s - heard_s > self.timing.domain_stale_s
        ]
        for domain in stale:
            del self.domain_heard_s[domain]
            self.counts.add(Count.DOMAIN_SILENT)
            for key in [key for key in self.table.summaries if key[0] == domain]:
                del self.table.summaries[key]

    def _digest_summary(self, key: SummaryKey, change: int) -> None:
        name = name_summary(key.failure_domain, key.service)
        self.digest.toggle(name, change)
        digest = self.domain_digests.get(key.failure_domain, 0)
        self.domain_digests[key.failure_domain] = digest ^ change

    def _hear_domain(self, domain: str, now_s: float) -> None:
        back = domain not in self.domain_heard_s
        self.domain_heard_s[domain] = now_s
        if not back:
            return
        for key, summary in self.summaries.items():
            if key.failure_domain == domain:
                self._show_summary(key, summary)

    def _show_summary(self, key: SummaryKey, summary: ServiceSummary) -> None:
        if key.service:
            self.table.summaries[(key.failure_domain, key.service)] = summary


def _drops_server(known: ServiceSummary | None, kept: ServiceSummary) -> bool:
    if known is None or not known.service:
        return False
    if known.servers and not kept.servers:
        return True
    return not set(known.addresses).issubset(kept.addresses)


def _count_sends(key: SummaryKey, only_load: bool) -> int:
    if not key.service:
        return SENDS_OF_DOMAIN
    return SENDS_OF_LOAD if only_load else SENDS_OF_STATE
