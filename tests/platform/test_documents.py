"""Configuration, heartbeats and settings in the platform's formats."""

from __future__ import annotations

import json

import pytest
from loguru import logger

from eelgrassmount.errors import FileError, PlatformDocumentError, SettingError
from eelgrassmount.platform.configuration import read_configuration, read_version
from eelgrassmount.platform.heartbeats import read_announcement
from eelgrassmount.platform.settings import load_settings, parse_settings
from eelgrassmount.relay.heartbeats import UNKNOWN_START, ServerIncarnation
from eelgrassmount.relay.routes import MAX_RANK, Target
from eelgrassmount.teams.directory import Team

CONFIGURATION = {
    "version": "r12",
    "limits": {"maxHeaderBytes": 1000, "idleTimeoutMs": 15000},
    "listeners": [
        {
            "host": "Shop.example",
            "routeRules": [
                {
                    "name": "r-1",
                    "kind": "non_idempotent",
                    "targetLatencyMs": 1500,
                    "priority": 2,
                    "match": {"pathPrefix": "/a/"},
                    "action": {"service": "desk", "timeoutMs": 800, "maxAttempts": 2},
                },
                {
                    "name": "r-2",
                    "kind": "idempotent",
                    "match": {"pathPrefix": "/b/"},
                    "action": {
                        "trafficSplit": [
                            {"service": "one", "weight": 90},
                            {"service": "two", "weight": 10},
                        ]
                    },
                },
            ],
        }
    ],
    "clusters": [{"name": "desk", "healthPath": "/h", "maxConnections": 9}],
}

SETTINGS = """
nodeId = "sidecar-1"
ip = "10.1.0.8"
zone = "bowbazar"
service = "huvo11a"
appAddr = "10.1.0.8:8301"
portRange = [7620, 7635]
bounds = ["graceS=6", "retryBudgetRatio=0.2", "budgetSlack=49", "closed=true"]
unknown = 3
[listen]
outbound = "10.1.0.8:8304"
ready = "10.1.0.8:8302"
control = "10.1.0.8:8306"
[platform]
address = "10.200.1.7:8309"
"""


def test_configuration_is_read():
    table = read_configuration(json.dumps(CONFIGURATION).encode())
    assert table.version == 12
    route = table.find("shop.example", "/a/1")
    assert not route.idempotent
    assert (route.timeout_s, route.objective_s) == (0.8, 1.5)
    assert (route.max_attempts, route.priority) == (2, 2)
    split = table.find("shop.example", "/b/1")
    assert split.targets == (Target("one", 90.0), Target("two", 10.0))
    assert table.limits.max_header_bytes == 1000
    assert table.limits.idle_timeout_s == 15.0
    assert table.services["desk"].health_path == "/h"


@pytest.mark.parametrize(
    ("kind", "idempotent"),
    [("idempotent", True), ("download", True), ("upload", False), ("Download", False)],
)
def test_only_known_repeatable_kinds_may_run_again(kind, idempotent):
    rule = {**CONFIGURATION["listeners"][0]["routeRules"][0], "kind": kind}
    listener = {"host": "shop.example", "routeRules": [rule]}
    document = {**CONFIGURATION, "listeners": [listener]}
    table = read_configuration(json.dumps(document).encode())
    assert table.find("shop.example", "/a/1").idempotent is idempotent


def test_route_keeps_its_name_when_the_rule_is_renamed():
    first = read_configuration(json.dumps(CONFIGURATION).encode())
    renamed = json.dumps(CONFIGURATION).replace("r-1", "r-9").encode()
    assert read_configuration(renamed).routes.keys() == first.routes.keys()


@pytest.mark.parametrize("text", ["12", "r", "rx", None, 12])
def test_invalid_version_is_refused(text):
    with pytest.raises(PlatformDocumentError):
        read_version(text)


@pytest.mark.parametrize("document", [b"", b"[]", b'{"version":"r1"}', b"\xff"])
def test_invalid_configuration_is_refused(document):
    with pytest.raises(PlatformDocumentError):
        read_configuration(document)


def test_heartbeat_is_read():
    body = {
        "address": "10.1.0.8:8301",
        "info": {"service": "desk", "version": "v1", "zone": "a", "slots": 168},
        "status": {"state": "draining", "sequence": 4, "coldRemainingMs": 500},
        "born": 1700000000123,
    }
    heartbeat = read_announcement(
        "POST", "/instances/i-7/heartbeat", json.dumps(body).encode()
    )
    assert heartbeat.incarnation == ServerIncarnation("i-7", 1700000000123)
    assert (heartbeat.service, heartbeat.slots) == ("desk", 168)
    assert heartbeat.draining
    assert not heartbeat.leaving
    assert (heartbeat.sequence, heartbeat.warm_up_s) == (4, 0.5)


def test_leave_is_read():
    heartbeat = read_announcement("POST", "/instances/i-7/leave", b"")
    assert heartbeat.incarnation == ServerIncarnation("i-7", UNKNOWN_START)
    assert heartbeat.leaving


def test_start_in_a_leave_is_read():
    body = b'{"born":1700000000123}'
    heartbeat = read_announcement("POST", "/instances/i-7/leave", body)
    assert heartbeat.incarnation == ServerIncarnation("i-7", 1700000000123)
    assert heartbeat.leaving


@pytest.mark.parametrize(
    "born", ["1700000000123", 1.5, True, None, [1], -1, 0, 1e400, 10**20]
)
@pytest.mark.parametrize("call", ["heartbeat", "leave"])
def test_start_that_is_not_a_whole_number_is_refused(call, born):
    body = {
        "address": "10.1.0.8:8301",
        "info": {"service": "desk", "slots": 168},
        "status": {"state": "ready", "sequence": 4},
        "born": born,
    }
    target = f"/instances/i-7/{call}"
    with pytest.raises(PlatformDocumentError):
        read_announcement("POST", target, json.dumps(body).encode())


@pytest.mark.parametrize(
    ("method", "target"),
    [("GET", "/instances/i/heartbeat"), ("POST", "/x"), ("POST", "/instances/i/z")],
)
def test_other_requests_are_not_announcements(method, target):
    assert read_announcement(method, target, b"{}") is None


@pytest.mark.parametrize("body", [b"", b"{}", b"[]", b'{"info":{},"status":{}}'])
def test_invalid_heartbeat_is_refused(body):
    with pytest.raises(PlatformDocumentError):
        read_announcement("POST", "/instances/i/heartbeat", body)


def test_settings_are_read():
    settings = parse_settings(SETTINGS)
    assert settings.name == "sidecar-1"
    assert settings.failure_domain == "bowbazar"
    assert str(settings.peer_address) == "10.1.0.8:7620"
    assert str(settings.server_address) == "10.1.0.8:8301"
    assert (settings.grace_s, settings.retry_slack) == (6.0, 49.0)


@pytest.mark.parametrize(
    ("before", "after", "name"),
    [
        ('nodeId = "sidecar-1"', "", "nodeId"),
        ('control = "10.1.0.8:8306"', 'control = "host:1"', "listen.control"),
        ("portRange = [7620, 7635]", 'portRange = "7620"', "portRange"),
        ('"graceS=6"', '"graceS=soon"', "bounds"),
        ("nodeId =", "nodeId", "settings file"),
    ],
)
def test_invalid_setting_is_named_in_one_line(before, after, name):
    with pytest.raises(SettingError) as caught:
        parse_settings(SETTINGS.replace(before, after))
    assert caught.value.name == name
    assert "\n" not in str(caught.value)


def test_missing_file_is_named(tmp_path):
    with pytest.raises(FileError):
        load_settings(str(tmp_path / "none.toml"))


BOUNDS = (
    'bounds = ["graceS=6", "retryBudgetRatio=0.2", "budgetSlack=49", "closed=true"]'
)
ALL_BOUNDS = BOUNDS.replace("closed=true", "budgetWindowS=10")


def collect_warnings(text: str) -> list[str]:
    lines: list[str] = []
    sink = logger.add(lines.append, level="WARNING", format="{message} {extra}")
    try:
        parse_settings(text)
    finally:
        logger.remove(sink)
    return lines


# A bound with many decimals must not keep a node from starting.
@pytest.mark.parametrize("slack", ["32.76923076923077", "1e2", "0.30000000000000004"])
def test_bounds_may_be_any_decimal(slack):
    settings = parse_settings(
        SETTINGS.replace("budgetSlack=49", f"budgetSlack={slack}")
    )
    assert settings.retry_slack == float(slack)


# A node with missing bounds must not use defaults without a warning.
def test_defaults_in_use_are_logged_in_one_line():
    assert collect_warnings(SETTINGS.replace(BOUNDS, ALL_BOUNDS)) == []
    lines = collect_warnings(SETTINGS)
    assert len(lines) == 1
    assert "'defaults': {'retry_window_s': 10.0}" in lines[0]
    lines = collect_warnings(SETTINGS.replace(BOUNDS, ""))
    assert len(lines) == 1
    for name in ("retry_ratio", "retry_window_s", "retry_slack", "grace_s"):
        assert name in lines[0]
    assert collect_warnings(SETTINGS.replace(BOUNDS, "bounds = []")) == lines


@pytest.mark.parametrize(
    "bounds",
    [
        '"graceS=6"',
        "6",
        "true",
        "{ graceS = 6 }",
        "[6]",
        "[true]",
        '["graceS"]',
        '["graceS="]',
        '["graceS=nan"]',
        '["graceS=inf"]',
        '["graceS=-1"]',
        '["graceS=1e9"]',
        '["graceS=true"]',
        '["graceS=6_0"]',
        '["graceS=6", "graceS=7"]',
        '["budgetWindowS=0"]',
        '["budgetSlack=false"]',
        '["retryBudgetRatio=-0.2"]',
    ],
)
def test_invalid_bounds_are_named(bounds):
    with pytest.raises(SettingError) as caught:
        parse_settings(SETTINGS.replace(BOUNDS, f"bounds = {bounds}"))
    assert caught.value.name.startswith("bounds")
    assert "\n" not in str(caught.value)


@pytest.mark.parametrize(
    ("before", "after", "name"),
    [
        ('nodeId = "sidecar-1"', "nodeId = 7", "nodeId"),
        ('nodeId = "sidecar-1"', 'nodeId = "a\\nb"', "nodeId"),
        ('nodeId = "sidecar-1"', f'nodeId = "{"x" * 129}"', "nodeId"),
        ('service = "huvo11a"', "service = true", "service"),
        ('service = "huvo11a"', 'service = ""', "service"),
        ('zone = "bowbazar"', 'zone = ["a"]', "zone"),
        ('ip = "10.1.0.8"', 'ip = "host"', "ip"),
        ('ip = "10.1.0.8"', "ip = 10", "ip"),
        ("portRange = [7620, 7635]", "portRange = [true, 7635]", "portRange"),
        ("portRange = [7620, 7635]", "portRange = [0, 7635]", "portRange"),
        ("portRange = [7620, 7635]", "portRange = [70000, 70001]", "portRange"),
        ("portRange = [7620, 7635]", "portRange = [7620.5, 7635]", "portRange"),
        ("portRange = [7620, 7635]", "portRange = []", "portRange"),
        ("portRange = [7620, 7635]", "", "portRange"),
        ("[platform]", "[other]", "platform.address"),
        ("[listen]", "[[listen]]", "listen.outbound"),
    ],
)
def test_setting_of_another_type_or_range_is_named(before, after, name):
    with pytest.raises(SettingError) as caught:
        parse_settings(SETTINGS.replace(before, after))
    assert caught.value.name == name
    assert "\n" not in str(caught.value)


TEAM = {"name": "press", "apiKeys": ["k-1", "k-2"], "priority": 1}


def read_teams(*teams, **rule_changes):
    content = json.loads(json.dumps(CONFIGURATION))
    content["tenants"] = list(teams)
    for rule in content["listeners"][0]["routeRules"]:
        rule.update(rule_changes)
    return read_configuration(json.dumps(content).encode())


def test_teams_are_read():
    table = read_teams({**TEAM, "ratePerS": 12.5, "burst": 30})
    assert table.teams.is_required
    team = table.teams.find(b"k-2")
    assert team == Team("press", priority=1, rate=12.5, burst=30.0)
    assert table.teams.find(b"k-3") is None


def test_team_without_a_rate_has_no_quota():
    table = read_teams({**TEAM, "ratePerS": 0}, {"name": "other"})
    assert not table.teams.teams["press"].has_quota()
    assert not table.teams.teams["other"].has_quota()


def test_keys_are_required_with_a_list_of_teams_even_if_empty():
    assert read_teams().teams.is_required
    assert not read_configuration(json.dumps(CONFIGURATION).encode()).teams.is_required


def test_route_needs_a_key_unless_anonymous():
    assert read_teams(TEAM).find("shop.example", "/a/1").needs_key
    assert read_teams(TEAM, anonymous=False).find("shop.example", "/a/1").needs_key
    assert not read_teams(TEAM, anonymous=True).find("shop.example", "/a/1").needs_key


@pytest.mark.parametrize(
    ("teams", "part"),
    [
        ([{**TEAM, "name": ""}], "name"),
        ([{**TEAM, "name": "pr\nss"}], "name"),
        ([{**TEAM, "name": "pr\u00e9ss"}], "tenants.name"),
        ([{**TEAM, "name": None}], "name"),
        ([TEAM, {**TEAM, "apiKeys": []}], "tenants.name"),
        ([TEAM, {**TEAM, "name": "other"}], "tenants.apiKeys"),
        ([{**TEAM, "apiKeys": ["k-1", "k-1"]}], "tenants.apiKeys"),
        ([{**TEAM, "apiKeys": "k-1"}], "tenants.apiKeys"),
        ([{**TEAM, "apiKeys": [7]}], "tenants.apiKeys"),
        ([{**TEAM, "apiKeys": [""]}], "tenants.apiKeys"),
        ([{**TEAM, "apiKeys": ["k 1"]}], "tenants.apiKeys"),
        ([{**TEAM, "apiKeys": ["k\r\n1"]}], "tenants.apiKeys"),
        ([{**TEAM, "apiKeys": ["\u2603"]}], "tenants.apiKeys"),
        ([{**TEAM, "priority": -1}], "priority"),
        ([{**TEAM, "priority": "1"}], "priority"),
        ([{**TEAM, "priority": True}], "priority"),
        ([{**TEAM, "ratePerS": -1}], "ratePerS"),
        ([{**TEAM, "ratePerS": "9"}], "ratePerS"),
        ([{**TEAM, "ratePerS": True}], "ratePerS"),
        ([{**TEAM, "burst": -0.5}], "burst"),
        ([{**TEAM, "burst": [1]}], "burst"),
        (["press"], "tenants"),
    ],
)
def test_invalid_field_of_a_team_is_named(teams, part):
    with pytest.raises(PlatformDocumentError) as caught:
        read_teams(*teams)
    assert caught.value.part == part
    assert "k-1" not in str(caught.value)


@pytest.mark.parametrize("value", [None, 0, 1, "true", []])
def test_anonymous_field_of_another_type_is_refused(value):
    with pytest.raises(PlatformDocumentError) as caught:
        read_teams(TEAM, anonymous=value)
    assert caught.value.part == "anonymous"


def test_priority_of_the_team_precedes_priority_of_the_route():
    table = read_teams(TEAM)
    booking, listing = (table.find("shop.example", path) for path in ("/a/1", "/b/1"))
    ranks = [
        table.find_rank(route, Team("t", priority))
        for priority in (0, 1)
        for route in (listing, booking)
    ]
    assert ranks == sorted(set(ranks))
    assert table.find_rank(booking, None) == booking.priority
    assert table.find_rank(booking, Team("t", 2**31 - 1)) == MAX_RANK
