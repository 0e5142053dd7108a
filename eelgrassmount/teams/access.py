"""Whether a request may use a route, by its API key."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

from eelgrassmount.verdict import Reason

if TYPE_CHECKING:
    from collections.abc import Callable

    from eelgrassmount.teams.directory import Team, TeamDirectory


@frozen
class Access:
    """The team that a request belongs to, or why it is refused.

    A request of a route without keys belongs to no team.
    """

    team: Team | None = None
    refusal: Reason | None = None


NO_TEAM = Access()


def check_api_key(
    directory: TeamDirectory,
    needs_key: bool,
    key: bytes | None,
    is_current: Callable[[], bool],
) -> Access:
    """Judge the key of a request, ``None`` without one.

    Without word of the log, a node can't tell a key that was added since from a wrong
    one. It is refused in a way that lets its client come back, since nobody sends a
    request again whose key is wrong.
    """
    if not needs_key or not directory.is_required:
        return NO_TEAM
    team = directory.find(key) if key else None
    if team is not None:
        return Access(team)
    if not is_current():
        return Access(refusal=Reason.API_KEY_UNJUDGED)
    return Access(refusal=Reason.API_KEY_UNKNOWN if key else Reason.API_KEY_MISSING)
