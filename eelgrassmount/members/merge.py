"""Which of two reports about the same thing is kept."""

from __future__ import annotations

from typing import TYPE_CHECKING

from eelgrassmount.members.table import MemberState

if TYPE_CHECKING:
    from eelgrassmount.members.table import Member, ServiceSummary

Rank = tuple[int | str | tuple[str, ...], ...]


def rank_member(member: Member) -> Rank:
    """Return the rank of a report about the node at one address.

    The newer incarnation goes first, then the higher heartbeat, then the graver
    state. The fields after that only make the order total, so that reports may
    be merged in any order.
    """
    return (
        member.started,
        member.identity.incarnation,
        member.heartbeat,
        int(member.state),
        int(member.server_state),
        member.service,
        member.headroom,
        member.threshold,
        member.identity.failure_domain,
        member.identity.region,
    )


def merge_member(known: Member | None, report: Member) -> Member:
    """Return the report to keep of two about the same address."""
    if known is None or rank_member(report) > rank_member(known):
        return report
    return known


def rank_summary(summary: ServiceSummary) -> Rank:
    """Return the rank of a summary among those of one service and domain."""
    return (
        summary.sequence,
        summary.servers,
        summary.addresses,
        summary.headroom,
        summary.threshold,
    )


def merge_summary(
    known: ServiceSummary | None, report: ServiceSummary
) -> ServiceSummary:
    """Return the summary to keep of two of one service and failure domain."""
    if known is None or rank_summary(report) > rank_summary(known):
        return report
    return known


def needs_refutation(own: Member, report: Member) -> bool:
    """Tell whether a report says of this incarnation that it is not alive."""
    return (
        report.identity.incarnation == own.identity.incarnation
        and report.started == own.started
        and rank_member(report) > rank_member(own)
        and report.state is not MemberState.ALIVE
    )


def needs_reminder(own: Member, report: Member) -> bool:
    """Tell whether a report doubts this incarnation and is refuted already."""
    return (
        report.identity.incarnation == own.identity.incarnation
        and report.state is not MemberState.ALIVE
        and rank_member(report) < rank_member(own)
    )


def needs_raise(own: Member, report: Member) -> bool:
    """Tell whether another incarnation at the own address stands above this one."""
    return report.identity.incarnation != own.identity.incarnation and rank_member(
        report
    ) > rank_member(own)


def stops_work(known: Member | None, report: Member) -> bool:
    """Tell whether a report takes a node out of service by its own word."""
    if known is None or not known.serves:
        return False
    return not report.serves and report.state in (MemberState.ALIVE, MemberState.LEFT)


def refutes(known: Member | None, report: Member) -> bool:
    """Tell whether a report takes back that this incarnation is not alive."""
    return (
        known is not None
        and known.state in (MemberState.SUSPECT, MemberState.DEAD)
        and report.state is MemberState.ALIVE
        and report.identity.incarnation == known.identity.incarnation
    )
