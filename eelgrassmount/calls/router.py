"""Which node gets a call."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    import random

    from eelgrassmount.blackboard import Blackboard
    from eelgrassmount.verdict import Verdict


@define(eq=False)
class Router:
    """Chooses among the nodes that serve a service."""

    board: Blackboard
    rng: random.Random
    _outstanding: dict[str, int] = field(factory=dict)

    def choose(self, service: str, excluded: set[str]) -> str | None:
        """Return the peer address of a node, or ``None`` if there is none."""
        addresses = self._find(service, excluded)
        if not addresses:
            return None
        pair = self.rng.sample(addresses, min(2, len(addresses)))
        return min(pair, key=lambda address: self._outstanding.get(address, 0))

    def has_room(self, service: str, excluded: set[str]) -> bool:
        """Tell whether some other node would take a call at once."""
        return bool(self._find(service, excluded))

    def note_start(self, address: str) -> None:
        """Note that a call was sent to a node."""
        self._outstanding[address] = self._outstanding.get(address, 0) + 1

    def note_end(self, address: str, verdict: Verdict | None, latency_s: float) -> None:
        """Note how a call at a node ended; ``None`` when it was given up."""
        self._outstanding[address] -= 1

    def _find(self, service: str, excluded: set[str]) -> list[str]:
        members = self.board.members.find_serving(service)
        addresses = [member.identity.address for member in members]
        if not addresses:
            for summary in self.board.members.find_summaries(service):
                addresses.extend(summary.addresses)
        return [address for address in addresses if address not in excluded]
