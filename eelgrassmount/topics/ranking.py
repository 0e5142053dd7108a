"""Order in which the nodes of a failure domain become readers of the log."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

from eelgrassmount.policy.readers import choose_readers, count_readers

if TYPE_CHECKING:
    from collections.abc import Callable

    from eelgrassmount.relay.members import MemberTable
    from eelgrassmount.topics.records import RecordTable


@define(eq=False, repr=False)
class ReaderRanking:
    """Ranks the nodes of each failure domain by the offsets of their records."""

    members: MemberTable
    record_table: RecordTable
    _ranked: dict[str, list[str]] = field(factory=dict)
    _ranked_state: tuple[int, int, int] = (-1, -1, -1)

    def list_domains(self) -> dict[str, list[str]]:
        """Return the nodes of each failure domain in order of rank."""
        state = (
            self.members.changes,
            self.record_table.next_offset,
            self.record_table.resets,
        )
        if state != self._ranked_state:
            self._ranked_state = state
            self._ranked = {}
            for member in self.members.by_name.values():
                self._ranked.setdefault(member.failure_domain, []).append(member.name)
            for names in self._ranked.values():
                names.sort(key=lambda name: (self.record_table.find_rank(name), name))
        return self._ranked

    def list_preferred(self, failure_domain: str) -> list[str]:
        """Return the readers of a failure domain if all of its nodes are reachable."""
        ranked = self.list_domains().get(failure_domain, [])
        return ranked[: count_readers(len(ranked))]

    def list_readers(
        self, failure_domain: str, is_usable: Callable[[str], bool]
    ) -> list[str]:
        """Return the readers of a failure domain among its usable nodes."""
        ranked = self.list_domains().get(failure_domain, [])
        return choose_readers(ranked, is_usable, count_readers(len(ranked)))

    def count_readers(self) -> int:
        """Return the number of readers in all failure domains."""
        return sum(count_readers(len(one)) for one in self.list_domains().values())
