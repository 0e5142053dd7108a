"""Checks the API key of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

from eelgrassmount.verdict import Reason

if TYPE_CHECKING:
    from collections.abc import Callable

    from eelgrassmount.teams.directory import Team, TeamDirectory


@frozen
class Access:
    """The team that a request belongs to, or the reason to refuse the request.

    A request on a route without API keys belongs to no team.
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
    """Check the API key of a request, ``None`` if it has none.

    A node without current records of the log cannot tell a newly added key from a wrong
    one. It refuses such a key with a reason that allows a retry, since clients do not
    retry a request whose key is wrong.
    """
    if not needs_key or not directory.is_required:
        return NO_TEAM
    team = directory.find(key) if key else None
    if team is not None:
        return Access(team)
    if not is_current():
        return Access(refusal=Reason.API_KEY_UNJUDGED)
    return Access(refusal=Reason.API_KEY_UNKNOWN if key else Reason.API_KEY_MISSING)
