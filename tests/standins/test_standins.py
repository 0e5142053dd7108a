"""Tests of the stand-ins as processes, connected by a minimal fake node."""

from __future__ import annotations

import asyncio
import json
import time

import pytest

from standins.admin_client import get_runs, get_stats, set_fault
from standins.caller import CallClass, Load, Phase, run_load
from standins.client import Client, UnansweredError
from standins.deploy import PYTHON, Deployment, DeploymentSpec, ServiceSpec
from standins.plans import Plan
from standins.processes import find_free_address
from standins.records import find_duplicate_runs, find_false_refusals

DEPTH = 12
SERVICES = tuple(
    ServiceSpec(
        f"s{level}",
        slots=4,
        service_time_ms=5.0,
        plans={f"POST /s{level}": Plan((("POST", f"/s{level + 1}/x"),))}
        if level < DEPTH - 1
        else {},
        flags={"queue_limit": 1} if level == DEPTH - 1 else {},
    )
    for level in range(DEPTH)
)
LAST = f"s{DEPTH - 1}"
NODE_COMMAND = (PYTHON, "-m", "tests.standins.fake_node")
WAIT_S = 20.0


@pytest.fixture(scope="module")
def deployment(tmp_path_factory):
    folder = str(tmp_path_factory.mktemp("addresses"))
    with pytest.MonkeyPatch.context() as patch:
        patch.setenv("FAKE_NODE_FOLDER", folder)
        spec = DeploymentSpec(
            ("north",), SERVICES, relays=True, node_command=NODE_COMMAND
        )
        with Deployment(spec) as running:
            yield running


def _wait_for(check):
    deadline = time.monotonic() + WAIT_S
    while not check():
        assert time.monotonic() < deadline
        time.sleep(0.02)


def _send_all(*requests, timeout_s=WAIT_S, gap_s=0.0):
    """Send requests, as (address, method, path, headers, body), concurrently."""

    async def send(client, delay_s, request):
        await asyncio.sleep(delay_s)
        try:
            return await client.request(*request, timeout_s=timeout_s)
        except UnansweredError as error:
            return error.reason

    async def run():
        client = Client()
        sends = [
            send(client, gap_s * index, request)
            for index, request in enumerate(requests)
        ]
        answers = await asyncio.gather(*sends)
        client.close()
        return answers

    return asyncio.run(run())


def _make_request(address, service, request, **headers):
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    body = json.dumps({"request": request}).encode()
    return (address, "POST", f"/{service}/x", named, body)


def test_deep_chain_is_complete_and_runs_once(deployment):
    expect = deployment.spec.expect("POST", "/s0/x")
    assert expect.count("(") == DEPTH - 1
    call_class = CallClass(
        "deep", "POST", "/s0/x", expect, keyed=True, timeout_ms=20_000
    )
    nodes = tuple(deployment.caller_addresses)
    records = run_load(Load(nodes, (call_class,), (Phase(1.0, 15.0),), seed=3))
    assert len(records) > 5
    assert {record.outcome for record in records} == {"complete"}
    runs = deployment.get_runs()
    assert len(runs) == len(records) * DEPTH
    assert {run["outcome"] for run in runs} == {"finished"}
    assert find_duplicate_runs(runs) == find_false_refusals(records, runs) == []


@pytest.mark.parametrize(
    ("fault", "check"),
    [
        ({"truncated": 1}, lambda answer, _: answer == "closed"),
        ({"garbled": 1}, lambda answer, _: answer.body.endswith(b" " * 9)),
        ({"doubled": 1}, lambda answer, _: answer.status == 200),
        ({"wrong_call": 1}, lambda answer, before: answer == before),
        ({"silent": True}, lambda answer, _: answer == "timeout"),
    ],
)
def test_faults_change_answers(deployment, fault, check):
    [vm] = deployment.find_vms(LAST)
    request = _make_request(vm.server_address, LAST, "first", eelgrassmount_call="7")
    [before] = _send_all(request)
    assert before.headers["eelgrassmount-call"] == "7"
    set_fault(vm.server_admin_address, **fault)
    other = _make_request(vm.server_address, LAST, "other", eelgrassmount_call="8")
    timeout_s = 0.5 if "silent" in fault else WAIT_S
    [answer] = _send_all(other, timeout_s=timeout_s)
    assert check(answer, before)
    set_fault(vm.server_admin_address, silent=False)
    [after] = _send_all(request)
    assert json.loads(after.body)["request"] == "first"


def test_overloaded_server_sheds_times_out_and_obeys_cancellation(deployment):
    [vm] = deployment.find_vms(LAST)
    # Slow enough for all slots to stay occupied.
    set_fault(vm.server_admin_address, slow_factor=400.0)
    requests = [
        _make_request(
            vm.server_address,
            LAST,
            "r",
            eelgrassmount_timeout_ms=limit,
            eelgrassmount_call=f"shed-{number}",
        )
        for number, limit in enumerate(["500"] * 4 + ["300", "9000"])
    ]
    answers = _send_all(*requests, gap_s=0.02)
    assert [answer.status for answer in answers] == [504] * 4 + [503, 503]
    verdicts = [answer.headers["eelgrassmount-verdict"] for answer in answers]
    assert verdicts == ["may-have-run"] * 4 + ["not-run"] * 2
    # A node ignores answers and refusals without the id of their call.
    calls = [answer.headers["eelgrassmount-call"] for answer in answers]
    assert calls == [f"shed-{number}" for number in range(6)]
    [cancelled] = _send_all(_make_request(vm.server_address, LAST, "r"), timeout_s=0.3)
    assert cancelled == "timeout"
    _wait_for(lambda: get_stats(vm.server_admin_address)["running"] == 0)
    stats = get_stats(vm.server_admin_address)
    assert stats["outcomes"]["gave_up"] == 4
    assert stats["outcomes"]["cancelled"] == 1
    assert stats["counts"]["gave_up_waiting"] == stats["counts"]["shed"] == 1
    assert stats["wasted_ms"] > 0
    set_fault(vm.server_admin_address, slow_factor=1.0)


def test_journal_survives_a_crash_and_a_stop_completes_running_requests(deployment):
    [vm] = deployment.find_vms("s3")
    body = json.dumps({"request": "bad", "crash": True, "crash_service": "s3"})
    [answer] = _send_all((vm.server_address, "POST", "/s3/x", {}, body.encode()))
    assert answer == "closed"
    assert vm.server.wait(WAIT_S) != 0
    [run] = deployment.get_runs("request=bad")
    assert (run["service"], run["outcome"]) == ("s3", "running")
    vm.server.start()
    _wait_for(lambda: "Traceback" not in vm.server.read_log() and _is_up(vm))
    set_fault(vm.server_admin_address, slow_factor=300.0)
    request = _make_request(vm.server_address, "s3", "last")
    vm.server.terminate()
    [answer] = _send_all(request)
    assert answer.status == 200
    assert vm.server.wait(WAIT_S) == 0


def _is_up(vm):
    try:
        return get_runs(vm.server_admin_address) == []
    except OSError:
        return False


def test_log_appends_trims_waits_and_applies_faults(deployment):
    path = "/streams/t/records"
    log = deployment.log_address

    def append(body):
        [answer] = _send_all((log, "POST", path, {}, body))
        return answer if isinstance(answer, str) else json.loads(answer.body)["offset"]

    def read(query):
        [answer] = _send_all((log, "GET", f"{path}?{query}", {}, b""))
        return json.loads(answer.body)

    assert [append(b"a"), append(b"b"), append(b"c")] == [0, 1, 2]
    assert read("from=1&limit=1")["records"] == [{"offset": 1, "body": "Yg=="}]
    waiting, _ = _send_all(
        (log, "GET", f"{path}?from=3&wait_ms=9000", {}, b""),
        (log, "POST", path, {}, b"d"),
        gap_s=0.1,
    )
    assert json.loads(waiting.body)["next"] == 4
    deployment.set_log_fault(lose_answer=1, retention=2)
    assert append(b"e") == "closed"
    found = read("from=0")
    assert (found["first"], found["next"]) == (3, 5)
    deployment.set_log_fault(down=True)
    assert append(b"f") in ("closed", "connect")
    deployment.set_log_fault(down=False, slow_ms=200)
    started = time.monotonic()
    assert append(b"g") == 5
    assert time.monotonic() - started >= 0.2
    deployment.set_log_fault(slow_ms=0)
    appends = get_stats(deployment.log_admin_address)["appends"]["t"]
    assert sum(appends.values()) == 6


def test_relay_delays_holds_resets_and_silences_links(deployment):
    relayed = deployment.log_addresses["north"]

    async def run():
        client = Client()

        async def ask(timeout_s=WAIT_S):
            try:
                answer = await client.request(
                    relayed, "GET", "/streams/r/records", timeout_s=timeout_s
                )
            except UnansweredError as error:
                return error.reason
            return answer.status

        async def fault(**fault):
            await asyncio.to_thread(deployment.set_link_fault, **fault)

        to_log = {"source": "north", "destination": "log"}
        from_log = {"source": "log", "destination": "north"}
        assert await ask() == 200
        await fault(**to_log, delay_ms=50)
        await fault(**from_log, delay_ms=100)
        started = time.monotonic()
        assert await ask() == 200
        assert time.monotonic() - started >= 0.15
        # Bytes of an open connection are buffered, and delivered after the heal.
        await fault(**from_log, cut="hold")
        held = asyncio.create_task(ask())
        await asyncio.sleep(0.4)
        assert not held.done()
        await asyncio.to_thread(deployment.heal)
        assert await held == 200
        for mode in ("hold", "drop"):
            await fault(**to_log, cut=mode)
            assert await ask(0.4) == "timeout"
            await asyncio.to_thread(deployment.heal)
            assert await ask() == 200
        await fault(**to_log, cut="reset")
        assert await ask() in ("closed", "connect")
        await asyncio.to_thread(deployment.heal)
        # The idle connection fails permanently; a new one works.
        assert await ask() == 200
        await fault(**to_log, silent=True)
        assert await ask(0.4) == "timeout"
        assert await ask() == 200
        client.close()

    asyncio.run(run())


def test_free_addresses_avoid_ports_of_outgoing_connections():
    # Guards against nodes that can't bind their address because the kernel has used
    # the port for an outgoing connection in the meantime.
    found = [find_free_address("127.0.0.1") for _ in range(50)]
    ports = [int(address.rpartition(":")[2]) for address in found]
    assert len(set(ports)) == 50
    assert max(ports) < 32768
