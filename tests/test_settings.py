"""Settings: defaults, precedence and validation."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from eelgrassmount.errors import SettingError
from eelgrassmount.settings import list_rules, load_settings
from eelgrassmount.util.addresses import Address

REQUIRED = {
    "caller_address": "127.1.0.1:8000",
    "backend_address": "127.1.0.1:8001",
    "peer_address": "127.1.0.1:8002",
    "admin_address": "127.1.0.1:8003",
    "log_address": "127.9.0.1:8000",
    "failure_domain": "bowbazar",
}


def test_defaults_are_loaded():
    settings = load_settings(REQUIRED, {"HOME": "/", "EELGRASSMOUNT_ADMIN": "x"})
    assert settings.advertise_address == settings.peer_address
    assert settings.peers == ()
    assert settings.key_window_s == 600.0


def test_flag_takes_precedence_over_environment():
    environment = {"EELGRASSMOUNT_PEERS": "127.1.0.2:1", "EELGRASSMOUNT_REGION": "east"}
    settings = load_settings(
        {**REQUIRED, "peers": "127.1.0.3:1, 127.1.0.4:1"}, environment
    )
    assert settings.peers == (Address("127.1.0.3", 1), Address("127.1.0.4", 1))
    assert settings.region == "east"


@pytest.mark.parametrize(
    ("name", "value", "allowed"),
    [
        ("admin_address", "localhost:8003", "IPv4"),
        ("admin_address", "127.1.0.1:0", "IPv4"),
        ("admin_address", "127.1.0.1:8000", "other than caller_address"),
        ("peer_address", "0.0.0.0:8002", "other nodes can reach"),
        ("peers", "127.1.0.2:1,,", "commas"),
        ("failure_domain", "bow:bazar", "letters"),
        ("log_level", "loud", "debug, info"),
        ("drain_limit_s", "nan", "0.1 to 3600"),
        ("drain_limit_s", "-1", "0.1 to 3600"),
        ("max_body_bytes", "1e6", "whole number"),
        ("max_body_bytes", "2097152", "max_body_bytes and 64 KiB"),
        ("no_such_setting", "1", "a flag that is listed"),
    ],
)
def test_invalid_value_is_refused(name, value, allowed):
    with pytest.raises(SettingError, match=allowed):
        load_settings({**REQUIRED, name: value}, {})


@pytest.mark.parametrize("name", sorted(REQUIRED))
def test_missing_setting_is_refused(name):
    flags = {key: text for key, text in REQUIRED.items() if key != name}
    with pytest.raises(SettingError, match=f"^{name}: '' is not allowed"):
        load_settings(flags, {})


def test_unknown_variable_is_refused():
    with pytest.raises(SettingError, match="EELGRASSMOUNT_PEER:"):
        load_settings(REQUIRED, {"EELGRASSMOUNT_PEER": "127.1.0.2:1"})


@given(name=st.sampled_from(sorted(list_rules())), text=st.text())
def test_any_text_is_loaded_or_refused_in_one_line(name, text):
    try:
        load_settings({**REQUIRED, name: text}, {})
    except SettingError as error:
        assert error.name in list_rules()
        assert len(str(error).splitlines()) == 1
