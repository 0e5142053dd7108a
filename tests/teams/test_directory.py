"""Mapping of API keys to teams."""

from __future__ import annotations

from eelgrassmount.teams.directory import Team, TeamDirectory, TeamKeys

PRESS = Team("press", priority=1)
OFFICE = Team("office")


def make_directory() -> TeamDirectory:
    entries = [TeamKeys(PRESS, ("k-1", "k-2")), TeamKeys(OFFICE, ("k-3",))]
    return TeamDirectory.build(entries)


def test_team_is_found_by_each_of_its_keys():
    directory = make_directory()
    assert directory.find(b"k-1") is directory.find(b"k-2") is PRESS
    assert directory.find(b"k-3") is OFFICE


def test_no_part_or_extension_of_a_key_finds_a_team():
    directory = make_directory()
    for key in (b"", b"k", b"k-", b"k-12", b"K-1", b"k-1\x00"):
        assert directory.find(key) is None


def test_repr_contains_no_keys():
    entry = TeamKeys(PRESS, ("k-1",))
    assert "k-1" not in repr(entry)
    directory = TeamDirectory.build([entry])
    assert "k-1" not in repr(directory)
    assert not any(b"k-1" in digest for digest in directory._by_digest)


# Guards against digests without a secret: look-up times would reveal guessed keys.
def test_directories_store_different_digests_of_a_key():
    digests = [set(make_directory()._by_digest) for _ in range(2)]
    assert not digests[0] & digests[1]
