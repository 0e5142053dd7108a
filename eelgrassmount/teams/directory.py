"""Maps API keys to teams."""

from __future__ import annotations

import secrets
from hashlib import blake2b
from typing import TYPE_CHECKING

from attrs import define, field, frozen

if TYPE_CHECKING:
    from collections.abc import Iterable

DIGEST_BYTES = 16
SECRET_BYTES = 32


@frozen
class Team:
    """A team that uses the deployment.

    Requests of teams with a lower ``priority`` value are shed later. The quota is
    ``rate`` requests per second and ``burst`` at once, summed over all nodes; a rate of
    0 means no limit.
    """

    name: str
    priority: int = 0
    rate: float = 0.0
    burst: float = 0.0

    def has_quota(self) -> bool:
        """Return whether the requests of the team are limited."""
        return self.rate > 0.0


@frozen(repr=False)
class TeamKeys:
    """A team with its API keys, which are left out of its ``repr``."""

    team: Team
    keys: tuple[str, ...]


@define(eq=False, repr=False)
class TeamDirectory:
    """Finds teams by their API keys.

    Keys are required once a list of teams is configured, even an empty one. The
    directory stores keyed digests instead of keys: the duration of a look-up reveals
    nothing about a key, and a memory dump of a node contains none::

        directory = TeamDirectory.build([TeamKeys(Team("press"), ("k-1", "k-2"))])
        directory.find(b"k-2").name  # "press"
    """

    is_required: bool = False
    teams: dict[str, Team] = field(factory=dict)
    _by_digest: dict[bytes, Team] = field(factory=dict, repr=False)
    _secret: bytes = field(
        factory=lambda: secrets.token_bytes(SECRET_BYTES), repr=False
    )

    @classmethod
    def build(cls, entries: Iterable[TeamKeys]) -> TeamDirectory:
        """Return a directory of teams with distinct names and distinct keys."""
        directory = cls(is_required=True)
        for entry in entries:
            directory.teams[entry.team.name] = entry.team
            for key in entry.keys:
                digest = directory._compute_digest(key.encode("latin-1"))
                directory._by_digest[digest] = entry.team
        return directory

    def find(self, key: bytes) -> Team | None:
        """Return the team of an API key, ``None`` if the key is unknown."""
        return self._by_digest.get(self._compute_digest(key))

    def _compute_digest(self, key: bytes) -> bytes:
        return blake2b(key, key=self._secret, digest_size=DIGEST_BYTES).digest()
