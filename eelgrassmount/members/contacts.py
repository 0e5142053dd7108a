"""Addresses in each failure domain that may be worth asking."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

from eelgrassmount.members.timing import MAX_CONTACTS

if TYPE_CHECKING:
    import random

_KEPT_CONTACTS = 4


@define
class Contacts:
    """A bounded number of addresses by failure domain; the oldest are replaced."""

    own_address: str
    _domains: dict[str, dict[str, None]] = field(factory=dict)

    @property
    def domains(self) -> list[str]:
        """Return the failure domains that have contacts."""
        return [domain for domain, known in self._domains.items() if known]

    def add(self, failure_domain: str, address: str) -> None:
        """Note an address, as the newest one."""
        if address == self.own_address:
            return
        known = self._domains.setdefault(failure_domain, {})
        known.pop(address, None)
        known[address] = None
        while len(known) > MAX_CONTACTS:
            del known[next(iter(known))]

    def drop(self, failure_domain: str, address: str) -> None:
        """Forget an address that did not answer, but keep the last few.

        When a cut ends they may be all that is left to start from.
        """
        known = self._domains.get(failure_domain, {})
        if len(known) > _KEPT_CONTACTS:
            known.pop(address, None)

    def list_known(self, failure_domain: str) -> list[str]:
        """Return the addresses of a failure domain, the newest first."""
        return list(reversed(self._domains.get(failure_domain, {})))

    def choose(self, failure_domain: str, count: int, rng: random.Random) -> list[str]:
        """Return up to ``count`` addresses of a failure domain at random."""
        known = list(self._domains.get(failure_domain, {}))
        return rng.sample(known, min(count, len(known)))
