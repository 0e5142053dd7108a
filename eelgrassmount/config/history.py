"""List of accepted versions for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

if TYPE_CHECKING:
    from collections.abc import Iterable

    from eelgrassmount.config.classes import Configuration
    from eelgrassmount.config.fold import Decision


@frozen
class HistoryEntry:
    """An accepted version: the version it replaced, its text and offset on the log.

    ``base`` and ``offset`` are -1 if they are no longer known.
    """

    version: int
    base: int
    offset: int
    text: str


def list_accepted(
    decisions: Iterable[Decision], in_force: Configuration
) -> tuple[HistoryEntry, ...]:
    """Return the accepted versions in order, including the version in force."""
    entries = {
        decision.in_force: HistoryEntry(
            decision.in_force,
            decision.record.base,
            decision.offset,
            decision.record.text,
        )
        for decision in decisions
        if decision.accepted
    }
    if in_force.version:
        entries.setdefault(
            in_force.version, HistoryEntry(in_force.version, -1, -1, in_force.text)
        )
    return tuple(entries[version] for version in sorted(entries))
