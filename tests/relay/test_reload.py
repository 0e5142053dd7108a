"""Reloading of the settings file."""

from __future__ import annotations

from eelgrassmount.errors import SettingError
from eelgrassmount.relay.reload import SettingsWatch


def test_file_is_reloaded_only_when_it_has_changed(tmp_path):
    path = tmp_path / "boot.toml"
    path.write_text("a")
    applied = []
    watch = SettingsWatch(str(path), lambda name: path.read_text(), applied.append)
    watch.check()
    assert applied == []
    path.write_text("bb")
    watch.check()
    watch.check()
    assert applied == ["bb"]


def test_invalid_or_missing_file_changes_nothing(tmp_path):
    path = tmp_path / "boot.toml"
    path.write_text("a")
    applied = []

    def load(name: str) -> str:
        raise SettingError("bounds", "x", "entries such as graceS=6")

    watch = SettingsWatch(str(path), load, applied.append)
    path.unlink()
    watch.check()
    watch.reload()
    assert applied == []
