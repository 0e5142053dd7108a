"""Whether a request may use a route, by its API key."""

from __future__ import annotations

import pytest

from eelgrassmount.teams.access import judge_key
from eelgrassmount.teams.directory import Team, TeamDirectory, TeamKeys
from eelgrassmount.verdict import Reason

PRESS = Team("press")
DIRECTORY = TeamDirectory.build([TeamKeys(PRESS, ("k-1",))])


def judge(needs_key: bool, key: bytes | None, is_current: bool = True):
    return judge_key(DIRECTORY, needs_key, key, lambda: is_current)


@pytest.mark.parametrize("is_current", [True, False])
def test_known_key_is_good_on_every_node(is_current):
    access = judge(True, b"k-1", is_current)
    assert (access.team, access.refusal) == (PRESS, None)


@pytest.mark.parametrize(
    ("key", "reason"),
    [
        (None, Reason.API_KEY_MISSING),
        (b"", Reason.API_KEY_MISSING),
        (b"k-2", Reason.API_KEY_UNKNOWN),
    ],
)
def test_request_without_a_good_key_is_refused_for_good(key, reason):
    assert judge(True, key).refusal is reason


# A key that was added while the log could not be read was told that it is wrong, and
# its client never came again.
@pytest.mark.parametrize("key", [None, b"", b"k-2"])
def test_node_without_word_of_the_log_leaves_unknown_keys_unjudged(key):
    assert judge(True, key, is_current=False).refusal is Reason.API_KEY_UNJUDGED


@pytest.mark.parametrize("key", [None, b"", b"k-1", b"k-2"])
def test_route_without_keys_belongs_to_no_team(key):
    access = judge(False, key)
    assert (access.team, access.refusal) == (None, None)


def test_keys_mean_nothing_where_there_are_no_teams():
    access = judge_key(TeamDirectory(), True, b"k-1", lambda: True)
    assert (access.team, access.refusal) == (None, None)
