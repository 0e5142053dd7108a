"""Nodes as separate processes while signals, kills and configurations overlap.

The environment sets longer runs: ``SOAK_FIRST_SEED`` and ``SOAK_SEEDS`` the seeds,
``SOAK_S`` the duration of each in seconds, ``SOAK_VMS`` the number of nodes and
``SOAK_DOMAINS`` that of failure domains.
"""

from __future__ import annotations

import itertools
import os
import random
import re
import signal
import subprocess
import time
from collections import Counter
from pathlib import Path
from typing import NamedTuple

import anyio
import pytest
from attrs import define, field

from eelgrassmount.compose.relay_run import METRICS_PORT
from eelgrassmount.http1.client import ClientConnection, ExchangeFailure
from eelgrassmount.relay.settings import RelaySettings
from eelgrassmount.util.addresses import Address
from standins.platform_log import AnswerLoss, LogFault, PlatformLog
from standins.platform_server import PlatformServer
from tests.relay.deployment import (
    LOOPBACK_PREFIX,
    Vm,
    connect,
    make_document,
    make_request,
    make_rule,
    request,
    send,
)
from tests.relay.test_program import HOST, SETTINGS, start

FIRST_SEED = int(os.environ.get("SOAK_FIRST_SEED", "0"))
SEEDS = range(FIRST_SEED, FIRST_SEED + int(os.environ.get("SOAK_SEEDS", "2")))
DURATION_S = float(os.environ.get("SOAK_S", "30"))
VMS = int(os.environ.get("SOAK_VMS", "6"))
DOMAINS = int(os.environ.get("SOAK_DOMAINS", "1"))
CLIENTS_PER_VM = 2
OPERATORS = 3
# As in the settings of the nodes.
GRACE_S = 4.0
# Time after the last operation within which all requests must be served again.
RECOVERY_S = 15.0
# Time after the last operation within which all nodes have the last configuration.
STABLE_WINDOW_S = 3.0
# A node that was not disturbed in the stable window has a configuration by then.
MAX_APPLY_TIME_S = 2.0
CHECK_INTERVAL_S = 0.25
# Longest start of an interpreter, in which signals have their default effect.
INTERPRETER_START_S = 1.0
# Longest time for which a client waits.
MAX_WAIT_S = 2.0
NOT_RUN = (408, 421, 429, 503)
LOG_PREFIX = f"{LOOPBACK_PREFIX}.5"


@define(eq=False)
class SoakVm(Vm):
    """A VM whose node is a process.

    ``kills_s`` holds when it was killed, ``disturbed_s`` when it was last changed or
    cut from the log.
    """

    path: Path = field(kw_only=True)
    process: subprocess.Popen[bytes] = field(kw_only=True)
    started_s: float = field(factory=time.monotonic)
    kills_s: list[float] = field(factory=list)
    changing: bool = False
    disturbed_s: float = field(factory=time.monotonic)


class Outcome(NamedTuple):
    """When a request was sent, and its status, ``None`` without an answer."""

    vm: SoakVm
    sent_s: float
    status: int | None


@define(eq=False, repr=False)
class Soak:
    """The load and the operations of one run; ``faults`` are the broken promises."""

    path: Path
    rng: random.Random
    log: PlatformLog = field(factory=PlatformLog)
    vms: list[SoakVm] = field(factory=list)
    faults: list[str] = field(factory=list)
    outcomes: dict[str, Outcome] = field(factory=dict)
    bookings: set[str] = field(factory=set)
    # Odd seeds pause nodes, too.
    pauses: bool = False
    paused_s: list[tuple[float, float]] = field(factory=list)
    ended: bool = False
    ids: itertools.count = field(factory=itertools.count)
    version: int = 0
    # When each version was written.
    written_s: list[float] = field(factory=list)

    async def start(self) -> None:
        self.configure()
        for number in range(VMS):
            await self.add_vm(number)

    async def add_vm(self, number: int) -> None:
        """Start a backend server and, as a process, its node."""
        host = f"{LOOPBACK_PREFIX}.4.{number + 1}"
        service = "list" if number % 2 else "front"
        settings = make_settings(number, host, service)
        text = SETTINGS.replace("vm-1", settings.name)
        text = text.replace('service = "list"', f'service = "{service}"')
        text = text.replace('zone = "a"', f'zone = "{settings.failure_domain}"')
        log_address = settings.log_address
        await self.log.listen(log_address.host, log_address.port)
        text = text.replace(HOST, host).replace(f"{host}:8309", str(log_address))
        path = self.path / f"{settings.name}.toml"
        path.write_text(text)
        server = PlatformServer(f"i-{number}", work_s=0.03)
        await server.start(host, 8301)
        self.vms.append(
            SoakVm(None, server, settings, None, path=path, process=spawn(path))
        )

    def restart(self, vm: SoakVm) -> None:
        vm.process = spawn(vm.path)
        vm.started_s = vm.disturbed_s = time.monotonic()

    def supervise(self, vm: SoakVm) -> None:
        """Restart a process that has ended, as the platform does."""
        code = vm.process.poll()
        if vm.changing or code is None:
            return
        is_starting = time.monotonic() - vm.started_s < INTERPRETER_START_S
        if not is_starting or code != -signal.SIGHUP:
            self.faults.append(f"{vm.settings.name} ended with {code}")
        self.restart(vm)

    def configure(self) -> None:
        """Publish a configuration with other time-outs."""
        self.version += 1
        rules = [
            make_rule(prefix, "list", kind=kind, action={"timeoutMs": timeout_ms})
            for prefix, kind, timeout_ms in (
                ("/list/", "idempotent", self.rng.randrange(800, 1200)),
                ("/book/", "non_idempotent", self.rng.randrange(800, 1200)),
            )
        ]
        self.log.put("keyed.op", "config", make_document(self.version, *rules))
        self.written_s.append(time.monotonic())

    async def watch_version(self, vm: SoakVm) -> None:
        """Check that an undisturbed node gets each configuration in time."""
        while not self.ended:
            now_s = time.monotonic()
            host = vm.settings.log_address.host
            if vm.changing or host in self.log.losses or host in self.log.faults:
                vm.disturbed_s = now_s
            due = sum(now_s - one > MAX_APPLY_TIME_S for one in self.written_s)
            version = await read_version(vm)
            if not version:
                # It has no configuration yet, so that it refuses all requests.
                vm.disturbed_s = time.monotonic()
            is_undisturbed = not vm.changing and (
                vm.disturbed_s < now_s - STABLE_WINDOW_S
            )
            if is_undisturbed and version < due:
                self.faults.append(f"{vm.settings.name} has {version}, not {due}")
            await anyio.sleep(CHECK_INTERVAL_S)

    async def announce(self) -> None:
        """Send heartbeats and restart ended processes, twice a second."""
        while not self.ended:
            for vm in self.vms:
                self.supervise(vm)
                try:
                    await vm.announce()
                except OSError:
                    continue
            await anyio.sleep(0.5)

    async def run_client(self, vm: SoakVm) -> None:
        """Use each connection until it is closed."""
        connection = None
        while not self.ended:
            await anyio.sleep(self.rng.expovariate(20.0))
            if connection is None or connection.closed:
                try:
                    connection = await connect(vm.settings.caller_address)
                except OSError:
                    continue
            if not connection.closed:
                await self.request(vm, connection)
        if connection is not None:
            connection.close()

    async def request(self, vm: SoakVm, connection: ClientConnection) -> str:
        """Send a request, record its outcome and return its id."""
        name = f"r{next(self.ids)}"
        method, prefix = self.rng.choice((("GET", "list"), ("POST", "book")))
        if prefix == "book":
            self.bookings.add(name)
        data = make_request(
            method,
            f"/{prefix}/{name}",
            request_id=name,
            eelgrassmount_deadline_ms=f"{MAX_WAIT_S * 1000:.0f}",
        )
        sent_s = time.monotonic()
        answer = await send(connection, data)
        failed = isinstance(answer, ExchangeFailure)
        self.outcomes[name] = Outcome(vm, sent_s, None if failed else answer.status)
        if failed or dict(answer.headers).get(b"connection") == b"close":
            connection.close()
        return name

    async def operate(self, end_s: float) -> None:
        """Change VMs one after the other, while other operators do the same."""
        while time.monotonic() < end_s:
            await anyio.sleep(self.rng.uniform(0.0, 1.5))
            free = [vm for vm in self.vms if not vm.changing]
            if not free:
                continue
            vm = self.rng.choice(free)
            vm.changing = True
            operations = [self.stop, self.stop, self.kill, self.reload, self.change]
            operations += [self.lose, self.turn_away]
            operations += [self.pause] if self.pauses else []
            await self.rng.choice(operations)(vm)
            vm.changing = False

    async def change(self, vm: SoakVm) -> None:
        for _ in range(self.rng.randrange(1, 4)):
            self.configure()
            await anyio.sleep(self.rng.uniform(0.0, 0.3))

    async def lose(self, vm: SoakVm) -> None:
        """Lose answers of the log at some nodes or all, while the operator writes."""
        hosts = [one.settings.log_address.host for one in self.vms]
        chosen = self.rng.choice((hosts, self.rng.sample(hosts, VMS // 2)))
        loss = self.rng.choice(list(AnswerLoss))
        self.log.losses.update(dict.fromkeys(chosen, loss))
        self.configure()
        await anyio.sleep(self.rng.choice((0.05, 0.05, self.rng.uniform(0.2, 4.0))))
        for host in chosen:
            self.log.losses.pop(host, None)

    async def turn_away(self, vm: SoakVm) -> None:
        """Refuse calls of some nodes to the log, often those of the readers."""
        chosen = self.rng.choice(
            (self.vms[: 2 * DOMAINS], self.rng.sample(self.vms, VMS // 2))
        )
        fault = self.rng.choice((LogFault.UNAVAILABLE, LogFault.SILENT, LogFault.RESET))
        hosts = [one.settings.log_address.host for one in chosen]
        self.log.faults.update(dict.fromkeys(hosts, fault))
        for _ in range(self.rng.randrange(1, 4)):
            await anyio.sleep(self.rng.uniform(0.0, 2.5))
            self.configure()
        for host in hosts:
            self.log.faults.pop(host, None)

    async def pause(self, vm: SoakVm) -> None:
        started_s = time.monotonic()
        vm.process.send_signal(signal.SIGSTOP)
        await anyio.sleep(self.rng.choice((0.3, 1.0, 4.0)))
        vm.process.send_signal(signal.SIGCONT)
        self.paused_s.append((started_s, time.monotonic()))

    async def reload(self, vm: SoakVm) -> None:
        for _ in range(self.rng.randrange(1, 4)):
            vm.path.write_text(f"{vm.path.read_text()}\n")
            vm.process.send_signal(signal.SIGHUP)
            await anyio.sleep(self.rng.uniform(0.0, 0.2))

    async def kill(self, vm: SoakVm) -> None:
        vm.process.kill()
        vm.process.wait()
        vm.kills_s.append(time.monotonic())
        await anyio.sleep(self.rng.uniform(0.1, 0.5))
        self.restart(vm)

    async def stop(self, vm: SoakVm) -> None:
        """Stop a node, with further signals meanwhile, and start it again."""
        stopped_s = time.monotonic()
        vm.process.send_signal(signal.SIGTERM)
        for _ in range(self.rng.randrange(3)):
            await anyio.sleep(self.rng.uniform(0.0, 1.0))
            vm.process.send_signal(
                self.rng.choice((signal.SIGTERM, signal.SIGHUP, signal.SIGHUP))
            )
        while vm.process.poll() is None:
            if time.monotonic() - stopped_s > GRACE_S:
                self.faults.append(f"{vm.settings.name} runs after its grace")
                vm.process.kill()
                vm.kills_s.append(time.monotonic())
            await anyio.sleep(0.02)
        # a process that has not installed its handlers yet ends by the signal itself
        if vm.process.returncode not in (0, -signal.SIGTERM, -signal.SIGKILL):
            self.faults.append(f"{vm.settings.name} exited {vm.process.returncode}")
        await anyio.sleep(self.rng.uniform(0.0, 0.5))
        self.restart(vm)
        # some processes are stopped again while they start
        await anyio.sleep(self.rng.choice((0.0, 0.5, 1.0, 3.0)))

    async def check_recovery(self, vm: SoakVm, end_s: float) -> None:
        """Wait until a node serves ten requests in a row."""
        served, status = 0, None
        while served < 10 and time.monotonic() < end_s:
            await anyio.sleep(0.02)
            try:
                connection = await connect(vm.settings.caller_address)
            except OSError:
                continue
            name = await self.request(vm, connection)
            connection.close()
            status = self.outcomes[name].status
            served = served + 1 if status == 200 else 0
        if served < 10:
            self.faults.append(f"{vm.settings.name} answers {status} at the end")

    async def check_version(self, vm: SoakVm) -> None:
        """Check that a node has the last configuration."""
        if await read_version(vm) != self.version:
            self.faults.append(f"{vm.settings.name} keeps an old configuration")

    def check_outcomes(self) -> None:
        runs = Counter(name for vm in self.vms for name in vm.server.runs)
        self.faults += [
            f"{name}: ran {count} times"
            for name, count in runs.items()
            if count > 1 and name in self.bookings
        ]
        for name, (vm, sent_s, status) in self.outcomes.items():
            if status in NOT_RUN and name in runs:
                self.faults.append(f"{name}: {status}, but has run")
            killed = any(0 < one - sent_s < MAX_WAIT_S for one in vm.kills_s)
            # A node that stops may cut what another one holds that is paused.
            paused = any(
                sent_s < end_s and start_s < sent_s + MAX_WAIT_S
                for start_s, end_s in self.paused_s
            )
            if status is None and name in runs and not (killed or paused):
                self.faults.append(f"{name}: has run, no answer")

    def end(self) -> None:
        for vm in self.vms:
            vm.process.kill()
            vm.process.wait()
            vm.server.listener.end()
        self.log.end()


async def read_version(vm: SoakVm) -> int | None:
    """Return the configuration version of a node, ``None`` without an answer."""
    address = Address(vm.settings.caller_address.host, METRICS_PORT)
    try:
        answer = await request(address, "GET", "/metrics")
    except OSError:
        return None
    if isinstance(answer, ExchangeFailure):
        return None
    text = answer.body.decode()
    version = re.search(r'\{name="configuration_version"\} (\S+)', text)
    return 0 if version is None else round(float(version[1]))


def make_settings(number: int, host: str, service: str) -> RelaySettings:
    """Return the settings that a node reads from its file."""
    return RelaySettings(
        name=f"vm-{number}",
        failure_domain="abcdefgh"[number % DOMAINS],
        service=service,
        caller_address=Address(host, 8304),
        peer_address=Address(host, 7620),
        ready_address=Address(host, 8302),
        announce_address=Address(host, 8306),
        server_address=Address(host, 8301),
        log_address=Address(f"{LOG_PREFIX}.{number + 1}", 8309),
    )


def spawn(path: Path) -> subprocess.Popen[bytes]:
    with path.with_suffix(".log").open("ab") as output:
        return start(path, output)


async def run_soak(path: Path, seed: int) -> Soak:
    soak = Soak(path, random.Random(seed), pauses=bool(seed % 2))
    await soak.start()
    try:
        async with anyio.create_task_group() as group:
            group.start_soon(soak.announce)
            for vm in soak.vms * CLIENTS_PER_VM:
                group.start_soon(soak.run_client, vm)
            for vm in soak.vms:
                group.start_soon(soak.watch_version, vm)
            end_s = time.monotonic() + DURATION_S
            async with anyio.create_task_group() as operators:
                for _ in range(OPERATORS):
                    operators.start_soon(soak.operate, end_s)
            end_s = time.monotonic() + RECOVERY_S
            await anyio.sleep(STABLE_WINDOW_S)
            async with anyio.create_task_group() as checks:
                for vm in soak.vms:
                    checks.start_soon(soak.check_version, vm)
            async with anyio.create_task_group() as checks:
                for vm in soak.vms:
                    checks.start_soon(soak.check_recovery, vm, end_s)
            soak.ended = True
        soak.check_outcomes()
    finally:
        soak.end()
        await anyio.sleep(0.01)
    return soak


@pytest.mark.parametrize("seed", SEEDS)
def test_nodes_keep_their_promises_while_operations_overlap(tmp_path, seed):
    soak = anyio.run(run_soak, tmp_path, seed, backend_options={"use_uvloop": True})
    statuses = [status for _, _, status in soak.outcomes.values()]
    print(f"seed {seed}: {len(statuses)} requests, {statuses.count(200)} served")
    faults = soak.faults
    assert faults == []
    assert statuses.count(200) > len(statuses) / 2
