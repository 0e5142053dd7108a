"""Which team an API key belongs to."""

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
    """A team of the deployment.

    ``priority`` is its rank, of which 0 is refused last. Its quota is ``rate`` requests
    a second with ``burst`` at once, over all nodes together; a rate of 0 is no limit.
    """

    name: str
    priority: int = 0
    rate: float = 0.0
    burst: float = 0.0

    def has_quota(self) -> bool:
        """Tell whether the team's requests are limited."""
        return self.rate > 0.0


@frozen(repr=False)
class TeamKeys:
    """A team with its API keys, which are left out of texts on it."""

    team: Team
    keys: tuple[str, ...]


@define(eq=False)
class TeamDirectory:
    """Finds teams by their API keys.

    Requests need keys where there is a list of teams, also while that is empty. It
    holds digests under a secret of its own: how long a look-up takes then tells
    nothing of how much of a key is right, and no dump of a node shows a key::

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
        """Return a directory of teams whose names and keys are all different."""
        directory = cls(is_required=True)
        for entry in entries:
            directory.teams[entry.team.name] = entry.team
            for key in entry.keys:
                digest = directory._compute_digest(key.encode("latin-1"))
                directory._by_digest[digest] = entry.team
        return directory

    def find(self, key: bytes) -> Team | None:
        """Return the team that holds a key, ``None`` if none does."""
        return self._by_digest.get(self._compute_digest(key))

    def _compute_digest(self, key: bytes) -> bytes:
        return blake2b(key, key=self._secret, digest_size=DIGEST_BYTES).digest()
