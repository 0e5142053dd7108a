"""Addresses of nodes in each failure domain that gossip can be sent to."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

from eelgrassmount.members.timing import MAX_CONTACTS

if TYPE_CHECKING:
    import random

_MIN_CONTACTS = 4


@define
class Contacts:
    """A bounded number of addresses by failure domain; new ones replace the oldest."""

    local_address: str
    _domains: dict[str, dict[str, None]] = field(factory=dict)

    @property
    def domains(self) -> list[str]:
        """Return the failure domains that have contacts."""
        return [domain for domain, addresses in self._domains.items() if addresses]

    def add(self, failure_domain: str, address: str) -> None:
        """Add an address as the newest, dropping the oldest beyond the bound."""
        if address == self.local_address:
            return
        addresses = self._domains.setdefault(failure_domain, {})
        addresses.pop(address, None)
        addresses[address] = None
        while len(addresses) > MAX_CONTACTS:
            del addresses[next(iter(addresses))]

    def drop(self, failure_domain: str, address: str) -> None:
        """Remove an address that did not answer, unless only a few remain.

        After a network partition, the remaining ones may be the only way to
        reach the failure domain again.
        """
        addresses = self._domains.get(failure_domain, {})
        if len(addresses) > _MIN_CONTACTS:
            addresses.pop(address, None)

    def list_newest_first(self, failure_domain: str) -> list[str]:
        """Return the addresses of a failure domain, newest first."""
        return list(reversed(self._domains.get(failure_domain, {})))

    def choose(self, failure_domain: str, count: int, rng: random.Random) -> list[str]:
        """Return up to ``count`` random addresses of a failure domain."""
        addresses = list(self._domains.get(failure_domain, {}))
        return rng.sample(addresses, min(count, len(addresses)))
