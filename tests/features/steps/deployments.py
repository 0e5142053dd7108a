"""Steps that run, partition and restart a deployment of real processes."""

from __future__ import annotations

import json
import threading
import time
import urllib.error
import urllib.request

from behave import given, then, when

from standins.admin_client import set_fault
from standins.records import find_duplicate_runs
from tests.features.deployments import (
    CONFIGURATION,
    DOMAINS,
    Traffic,
    make_deployment,
    read_state,
    read_versions,
    wait_until,
)

NODE_EXIT_TIMEOUT_S = 30.0
READY_TIMEOUT_S = 20.0
STARTUP_S = 2.0
KEY_ASSIGNMENT_S = 6.0
BASE_WITHIN_MS = 2000


@given("a running deployment")
def start_deployment(context):
    _start(context, relays=False)


@given("a running deployment with links that can be interrupted")
def start_deployment_with_relays(context):
    _start(context, relays=True)


def _start(context, relays):
    deployment = make_deployment(relays)
    deployment.__enter__()
    context.add_cleanup(deployment.stop)
    context.deployment = deployment
    context.seen = {}
    time.sleep(STARTUP_S)


@given("version {version:d} is published")
@when("version {version:d} is published")
def publish_version(context, version):
    text = CONFIGURATION.format(within_ms=BASE_WITHIN_MS + version)
    done = context.deployment.publish(text, f"--base={version - 1}")
    assert done.returncode == 0, done.stdout + done.stderr
    _wait_for_version(context, version, 5.0, _find_publishing_domain(context))


def _find_publishing_domain(context):
    return [vm for vm in context.deployment.vms if vm.failure_domain == DOMAINS[0]]


def _wait_for_version(context, version, within_s, vms):
    def in_force():
        versions = [read_state(vm.admin_address)["config_version"] for vm in vms]
        return set(versions) == {version}

    wait_until(in_force, within_s, f"version {version} in force")


@when("two operators publish on version 0 at the same time")
def publish_twice(context):
    vms = (context.deployment.vms[0], context.deployment.vms[-1])
    context.replies = []
    threads = [
        threading.Thread(target=_post, args=(context.replies, vm.admin_address, number))
        for number, vm in enumerate(vms)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def _post(replies, admin_address, number):
    text = CONFIGURATION.format(within_ms=BASE_WITHIN_MS + number)
    request = urllib.request.Request(
        f"http://{admin_address}/config?base=0", text.encode(), method="POST"
    )
    try:
        with urllib.request.urlopen(request, timeout=10) as answer:
            replies.append((answer.status, json.loads(answer.read())))
    except urllib.error.HTTPError as error:
        replies.append((error.code, json.loads(error.read())))


@then("one publish is accepted and the other is rejected as version 1 is in force")
def check_race(context):
    accepted, rejected = sorted(context.replies, key=lambda reply: reply[0])
    assert accepted == (200, {"version": 1}), context.replies
    assert (rejected[0], rejected[1]["in_force"]) == (409, 1), context.replies


@then("version {version:d} is in force at every node within {seconds:d} seconds")
def check_in_force(context, version, seconds):
    _wait_for_version(context, version, seconds, context.deployment.vms)


@then('version {version:d} stays in force in "{domain}" for {seconds:d} seconds')
def check_unchanged(context, version, domain, seconds):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        for vm in context.deployment.find_vms(failure_domain=domain):
            assert read_state(vm.admin_address)["config_version"] == version
        time.sleep(0.2)


@when('failure domain "{domain}" is disconnected from the log')
def disconnect_from_log(context, domain):
    context.deployment.partition(domain, "log")


@when('failure domain "{domain}" is disconnected from everything')
def disconnect_from_all(context, domain):
    context.deployment.partition(domain, "log")
    for other in DOMAINS:
        if other != domain:
            context.deployment.partition(domain, other)


@when("the links are restored")
def heal(context):
    context.deployment.heal()


@when("the log is down")
def stop_log(context):
    context.deployment.set_log_fault(down=True)


@when("the log is up again")
def start_log(context):
    context.deployment.set_log_fault(down=False)


@when("the log loses the next answer")
def lose_answer(context):
    context.deployment.set_log_fault(lose_answer=1)


@then("the log holds {count:d} published versions")
def count_versions(context, count):
    admin_address = context.deployment.vms[0].admin_address
    url = f"http://{admin_address}/config/history"
    with urllib.request.urlopen(url, timeout=10) as answer:
        versions = json.loads(answer.read())["versions"]
    assert [entry["version"] for entry in versions] == list(range(1, count + 1))


@when('the nodes of "{domain}" are killed and restarted')
def restart_domain(context, domain):
    _restart(context, context.deployment.find_vms(failure_domain=domain))


@when("all nodes are killed and restarted")
def restart_all(context):
    _restart(context, context.deployment.vms)


def _restart(context, vms):
    context.old_version = max(read_versions(context.deployment))
    for vm in vms:
        vm.node.kill()
    for vm in vms:
        vm.node.start()


@then("no node ever reports an older version after a newer one")
def check_no_older_version(context):
    until = time.monotonic() + 2.0
    while time.monotonic() < until:
        assert set(read_versions(context.deployment)) == {context.old_version}
        time.sleep(0.2)


@when("clients send {rate:d} requests a second for {seconds:d} seconds")
def start_traffic(context, rate, seconds):
    # time to assign owners to keys
    time.sleep(KEY_ASSIGNMENT_S)
    context.traffic = Traffic(context.deployment, seconds, rate)
    context.traffic.start()
    time.sleep(1.0)


@when("every node is terminated and restarted, one after another")
def restart_gracefully(context):
    context.codes = []
    for vm in context.deployment.vms:
        vm.node.terminate()
        context.codes.append(vm.node.wait(NODE_EXIT_TIMEOUT_S))
        vm.node.start()
        wait_until(lambda vm=vm: _serves(vm), READY_TIMEOUT_S, f"{vm.name} serves")


def _serves(vm):
    state = read_state(vm.admin_address)
    return state["server_state"] == "serving" and state["config_version"] > 0


@then("every terminated node has exited with 0")
def check_codes(context):
    assert set(context.codes) == {0}, context.codes


@when("one jobdesk server announces that it drains")
def drain_server(context):
    vm = context.deployment.find_vms(service="jobdesk")[0]
    context.drained_vm = vm
    set_fault(vm.server_admin_address, drain=True)
    context.drained_s = time.monotonic()


@then("no run starts on it later than 2 seconds after that")
def check_no_new_work(context):
    context.traffic.finish()
    runs = context.deployment.get_runs()
    late = [
        run
        for run in runs
        if run["server"] == context.drained_vm.name
        and run["started"] > context.drained_s + 2.0
    ]
    assert not late, late[:3]


@then("every request was answered completely")
def check_complete(context):
    records = context.traffic.finish()
    assert records
    incomplete = [record.dump() for record in records if record.outcome != "complete"]
    assert not incomplete, f"{len(incomplete)} of {len(records)}: {incomplete[:3]}"


def _was_interrupted(attempt, started):
    if attempt.outcome in ("complete", "refused", "unreached"):
        return False
    # A node may close an idle connection while the client sends on it. This
    # interrupts the request only if one of its runs has started.
    if attempt.reason == "closed":
        return any(start_s < attempt.t_end for start_s in started)
    return True


@then("no attempt was interrupted")
def check_no_interruption(context):
    records = context.traffic.finish()
    started = {}
    for run in context.deployment.get_runs():
        started.setdefault(run["request"], []).append(run["started"])
    interrupted = [
        attempt
        for record in records
        for attempt in record.sendings
        if _was_interrupted(attempt, started.get(attempt.request, ()))
    ]
    assert not interrupted, f"{len(interrupted)}: {interrupted[:3]}"


@then("nothing ran twice")
def check_nothing_doubled(context):
    doubled = find_duplicate_runs(context.deployment.get_runs())
    assert not doubled, doubled
