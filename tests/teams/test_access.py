"""Checks of the API key of a request."""

from __future__ import annotations

import pytest

from eelgrassmount.teams.access import check_api_key
from eelgrassmount.teams.directory import Team, TeamDirectory, TeamKeys
from eelgrassmount.verdict import Reason

PRESS = Team("press")
DIRECTORY = TeamDirectory.build([TeamKeys(PRESS, ("k-1",))])


def check_key(needs_key: bool, key: bytes | None, is_current: bool = True):
    return check_api_key(DIRECTORY, needs_key, key, lambda: is_current)


@pytest.mark.parametrize("is_current", [True, False])
def test_known_key_is_accepted_on_every_node(is_current):
    access = check_key(True, b"k-1", is_current)
    assert (access.team, access.refusal) == (PRESS, None)


@pytest.mark.parametrize(
    ("key", "reason"),
    [
        (None, Reason.API_KEY_MISSING),
        (b"", Reason.API_KEY_MISSING),
        (b"k-2", Reason.API_KEY_UNKNOWN),
    ],
)
def test_request_without_a_valid_key_is_refused_permanently(key, reason):
    assert check_key(True, key).refusal is reason


# Guards against a permanent refusal of a key that was added in an outage of the log.
@pytest.mark.parametrize("key", [None, b"", b"k-2"])
def test_node_without_current_records_does_not_reject_unknown_keys(key):
    assert check_key(True, key, is_current=False).refusal is Reason.API_KEY_UNJUDGED


@pytest.mark.parametrize("key", [None, b"", b"k-1", b"k-2"])
def test_request_on_a_route_without_keys_has_no_team(key):
    access = check_key(False, key)
    assert (access.team, access.refusal) == (None, None)


def test_keys_are_ignored_without_configured_teams():
    access = check_api_key(TeamDirectory(), True, b"k-1", lambda: True)
    assert (access.team, access.refusal) == (None, None)
