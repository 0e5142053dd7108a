"""Steps that run, cut and restart a deployment of real processes."""

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

EXIT_WITHIN_S = 30.0
READY_WITHIN_S = 20.0
SETTLE_S = 2.0
OWNERS_S = 6.0
FIRST_WITHIN_MS = 2000


@given("a running deployment")
def start_deployment(context):
    _start(context, relays=False)


@given("a running deployment with links that can be cut")
def start_deployment_with_relays(context):
    _start(context, relays=True)


def _start(context, relays):
    deployment = make_deployment(relays)
    deployment.__enter__()
    context.add_cleanup(deployment.stop)
    context.deployment = deployment
    context.seen = {}
    time.sleep(SETTLE_S)


@given("version {version:d} is published")
@when("version {version:d} is published")
def publish_version(context, version):
    text = CONFIGURATION.format(within_ms=FIRST_WITHIN_MS + version)
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


@when("two operators publish on version 0 at once")
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
    text = CONFIGURATION.format(within_ms=FIRST_WITHIN_MS + number)
    request = urllib.request.Request(
        f"http://{admin_address}/config?base=0", text.encode(), method="POST"
    )
    try:
        with urllib.request.urlopen(request, timeout=10) as answer:
            replies.append((answer.status, json.loads(answer.read())))
    except urllib.error.HTTPError as error:
        replies.append((error.code, json.loads(error.read())))


@then("one is told that version 1 is accepted and the other what is in force")
def check_race(context):
    won, lost = sorted(context.replies, key=lambda reply: reply[0])
    assert won == (200, {"version": 1}), context.replies
    assert (lost[0], lost[1]["in_force"]) == (409, 1), context.replies


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


@when('failure domain "{domain}" is cut from the log')
def cut_from_log(context, domain):
    context.deployment.partition(domain, "log")


@when('failure domain "{domain}" is cut from everything')
def cut_from_everything(context, domain):
    context.deployment.partition(domain, "log")
    for other in DOMAINS:
        if other != domain:
            context.deployment.partition(domain, other)


@when("the cuts are healed")
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


@when('the nodes of "{domain}" are killed and started again')
def restart_domain(context, domain):
    _restart(context, context.deployment.find_vms(failure_domain=domain))


@when("all nodes are killed and started again")
def restart_all(context):
    _restart(context, context.deployment.vms)


def _restart(context, vms):
    context.before_restart = max(read_versions(context.deployment))
    for vm in vms:
        vm.node.kill()
    for vm in vms:
        vm.node.start()


@then("no node ever showed an older version after a newer one")
def check_never_older(context):
    until = time.monotonic() + 2.0
    while time.monotonic() < until:
        assert set(read_versions(context.deployment)) == {context.before_restart}
        time.sleep(0.2)


@when("callers send {rate:d} requests a second for {seconds:d} seconds")
def start_traffic(context, rate, seconds):
    # the first owners of keys are chosen when the members have settled
    time.sleep(OWNERS_S)
    context.traffic = Traffic(context.deployment, seconds, rate)
    context.traffic.start()
    time.sleep(1.0)


@when("every node is terminated and started again, one after the other")
def restart_gracefully(context):
    context.codes = []
    for vm in context.deployment.vms:
        vm.node.terminate()
        context.codes.append(vm.node.wait(EXIT_WITHIN_S))
        vm.node.start()
        wait_until(lambda vm=vm: _serves(vm), READY_WITHIN_S, f"{vm.name} serves")


def _serves(vm):
    state = read_state(vm.admin_address)
    return state["server_state"] == "serving" and state["config_version"] > 0


@then("every terminated node has exited with 0")
def check_codes(context):
    assert set(context.codes) == {0}, context.codes


@when("one jobdesk server announces that it drains")
def drain_server(context):
    vm = context.deployment.find_vms(service="jobdesk")[0]
    context.drained = vm
    set_fault(vm.server_admin_address, drain=True)
    context.drained_s = time.monotonic()


@then("nothing begins on it later than 2 seconds after that")
def check_no_new_work(context):
    context.traffic.finish()
    runs = context.deployment.get_runs()
    late = [
        run
        for run in runs
        if run["server"] == context.drained.name
        and run["started"] > context.drained_s + 2.0
    ]
    assert not late, late[:3]


@then("every request was answered completely")
def check_complete(context):
    records = context.traffic.finish()
    assert records
    cut = [record.dump() for record in records if record.outcome != "complete"]
    assert not cut, f"{len(cut)} of {len(records)}: {cut[:3]}"


def _is_cut(sending, started):
    if sending.outcome in ("complete", "refused", "unreached"):
        return False
    # an idle connection may be closed just as its caller sends on it; that is no
    # request in flight, unless something of it had begun
    if sending.reason == "closed":
        return any(start_s < sending.t_end for start_s in started)
    return True


@then("no sending was cut off")
def check_no_cut(context):
    records = context.traffic.finish()
    started = {}
    for run in context.deployment.get_runs():
        started.setdefault(run["request"], []).append(run["started"])
    cut = [
        sending
        for record in records
        for sending in record.sendings
        if _is_cut(sending, started.get(sending.request, ()))
    ]
    assert not cut, f"{len(cut)}: {cut[:3]}"


@then("nothing ran twice")
def check_nothing_doubled(context):
    doubled = find_duplicate_runs(context.deployment.get_runs())
    assert not doubled, doubled
