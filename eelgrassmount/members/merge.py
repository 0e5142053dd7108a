"""Merge rules for reports about the same member or service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from eelgrassmount.members.table import MemberState

if TYPE_CHECKING:
    from eelgrassmount.members.table import Member, ServiceSummary

Rank = tuple[int | str | tuple[str, ...], ...]


def rank_member(member: Member) -> Rank:
    """Return the rank of a report about the node at one address.

    A newer incarnation outranks an older one, then a higher heartbeat a lower
    one, then the state with the higher value. The remaining fields make the order
    total, so that the result does not depend on the order of merging.
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
    """Return the report with the higher rank of two about the same address."""
    if known is None or rank_member(report) > rank_member(known):
        return report
    return known


def rank_summary(summary: ServiceSummary) -> Rank:
    """Return the rank of a summary among those of one service and failure domain."""
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
    """Return the summary with the higher rank of two of one service and domain."""
    if known is None or rank_summary(report) > rank_summary(known):
        return report
    return known


def needs_refutation(local: Member, report: Member) -> bool:
    """Return whether a report that outranks the local member says it is not alive."""
    return (
        report.identity.incarnation == local.identity.incarnation
        and report.started == local.started
        and rank_member(report) > rank_member(local)
        and report.state is not MemberState.ALIVE
    )


def needs_reminder(local: Member, report: Member) -> bool:
    """Return whether a report says this incarnation is not alive but is refuted."""
    return (
        report.identity.incarnation == local.identity.incarnation
        and report.state is not MemberState.ALIVE
        and rank_member(report) < rank_member(local)
    )


def is_superseded(local: Member, report: Member) -> bool:
    """Return whether another incarnation at the local address outranks this one."""
    return report.identity.incarnation != local.identity.incarnation and rank_member(
        report
    ) > rank_member(local)


def stops_serving(known: Member | None, report: Member) -> bool:
    """Return whether a node reports itself that it no longer serves."""
    if known is None or not known.serves:
        return False
    return not report.serves and report.state in (MemberState.ALIVE, MemberState.LEFT)


def refutes(known: Member | None, report: Member) -> bool:
    """Return whether a report refutes that a suspect or dead member is not alive."""
    return (
        known is not None
        and known.state in (MemberState.SUSPECT, MemberState.DEAD)
        and report.state is MemberState.ALIVE
        and report.identity.incarnation == known.identity.incarnation
    )
