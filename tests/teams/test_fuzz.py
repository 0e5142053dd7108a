"""Random input of clients and operators on keys and teams is valid or rejected."""

from __future__ import annotations

import json
import random
from typing import TYPE_CHECKING, Any

import anyio
from hypothesis import given
from hypothesis import strategies as st

from eelgrassmount.errors import PlatformDocumentError
from eelgrassmount.platform import headers
from eelgrassmount.platform.configuration import read_configuration
from tests.relay.deployment import (
    HOST,
    Deployment,
    connect,
    make_document,
    make_rule,
    make_team,
    send,
)
from tests.relay.virtual import run_virtually

if TYPE_CHECKING:
    from tests.relay.virtual import Network

JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(),
    lambda children: (
        st.lists(children, max_size=3) | st.dictionaries(st.text(), children)
    ),
    max_leaves=6,
)
FIELDS = st.sampled_from(["name", "apiKeys", "priority", "ratePerS", "burst"])
LIST = make_rule("/list/", "list")
OPEN = make_rule("/open/", "list", anonymous=True)


def read_teams(teams: Any) -> Any:
    content = json.loads(make_document(1, LIST))
    content["tenants"] = teams
    return read_configuration(json.dumps(content).encode()).teams


@given(JSON)
def test_any_list_of_teams_is_valid_or_rejected(teams):
    try:
        directory = read_teams(teams)
    except PlatformDocumentError as error:
        assert error.part
        return
    assert teams is None or isinstance(teams, list)
    assert directory.is_required == (teams is not None)


@given(FIELDS, JSON)
def test_any_field_of_a_team_is_valid_or_rejected(name, value):
    team = {"name": "press", "apiKeys": ["k-1"], "priority": 1}
    try:
        directory = read_teams([{**team, name: value}])
    except PlatformDocumentError as error:
        assert name in error.part or "name" in error.part
        assert "k-1" not in str(error)
        return
    (found,) = directory.teams.values()
    assert found.name.isascii()
    assert found.name
    assert type(found.priority) is int
    assert found.priority >= 0
    assert 0.0 <= found.rate <= 1e9
    assert 0.0 <= found.burst <= 1e9


NAMES = st.sampled_from(
    [b"x-api-key", b"eelgrassmount-tenant", b"connection", b"accept", b"x-tenant"]
)
VALUES = st.binary(max_size=20).filter(
    lambda one: b"\r" not in one and b"\n" not in one
)


@given(st.lists(st.tuples(NAMES, VALUES), max_size=8))
def test_no_client_header_forwards_a_key_or_a_team(lines):
    head = headers.read_request(lines)
    passed = head.forwarded_headers.lower()
    assert not passed.startswith((b"x-api-key:", b"eelgrassmount-tenant:"))
    assert b"\r\nx-api-key:" not in passed
    assert b"\r\neelgrassmount-tenant:" not in passed
    keys = [value.strip() for name, value in lines if name == b"x-api-key"]
    assert head.api_key == (None if not keys else keys[0] if len(keys) == 1 else b"")


def make_lines(rng: random.Random) -> tuple[bytes, bool]:
    """Return random headers, and whether they hold the valid key and no other."""
    keys = rng.choices(
        ["k-1", "k-2", "K-1", "k-1x", "", " k-1 ", "\xff", "k" * 3000],
        k=rng.choices([0, 1, 2], [1, 5, 1])[0],
    )
    lines = []
    for key in keys:
        name = rng.choice(["X-Api-Key", "x-api-key", "X-API-KEY"])
        lines.append(f"{name}: {key}")
    for _ in range(rng.randrange(3)):
        name = rng.choice(["Eelgrassmount-Tenant", "EELGRASSMOUNT-TENANT"])
        lines.append(f"{name}: {rng.choice(['press', 'office', '', 'a, b'])}")
    if rng.random() < 0.2:
        lines.append(f"Connection: {rng.choice(['x-api-key', 'eelgrassmount-tenant'])}")
    rng.shuffle(lines)
    is_valid = len(keys) == 1 and keys[0].strip() == "k-1"
    return "\r\n".join(lines).encode("latin-1"), is_valid


def test_requests_with_random_headers_run_only_with_a_valid_key():
    async def main(network: Network) -> None:
        rng = random.Random(5)
        async with anyio.create_task_group() as group:
            deployment = Deployment(group)
            await deployment.start()
            deployment.configure(1, LIST, OPEN, teams=[make_team("press", "k-1")])
            vm = await deployment.add("list")
            await deployment.wait_until_connected()
            for number in range(400):
                lines, is_valid = make_lines(rng)
                is_open = rng.random() < 0.2
                target = b"/open/1" if is_open else b"/list/1"
                data = b"GET %s HTTP/1.1\r\nhost: %s\r\n" % (target, HOST.encode())
                data += b"eelgrassmount-attempt-id: a%d\r\n" % number
                connection = await connect(vm.settings.caller_address)
                data += lines + b"\r\n\r\n" if lines else b"\r\n"
                answer = await send(connection, data)
                connection.close()
                assert answer.status == (200 if is_valid or is_open else 401), lines
                if answer.status == 200:
                    seen = vm.server.seen[-1]
                    team = None if is_open else b"press"
                    assert seen.get(b"eelgrassmount-tenant") == team
                    assert b"x-api-key" not in seen
            await deployment.end()
            group.cancel_scope.cancel()

    run_virtually(main)
