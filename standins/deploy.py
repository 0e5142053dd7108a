"""Deployments of real processes on loopback, for the demo, tests and benchmarks."""

from __future__ import annotations

import contextlib
import itertools
import os
import socket
import subprocess
import tempfile
import time
from pathlib import Path
from typing import Self

from standins.admin_client import call_admin, get_runs, get_stats, set_fault
from standins.layout import (
    NODE_COMMAND,
    VM,
    DeploymentSpec,
    ServiceSpec,
    make_links,
)
from standins.plans import dump_plans
from standins.processes import (
    PYTHON,
    ROOT,
    Process,
    find_free_address,
    make_command,
    make_flags,
    poll_until,
)
from standins.web import split_address

__all__ = [
    "NODE_COMMAND",
    "PYTHON",
    "VM",
    "Deployment",
    "DeploymentSpec",
    "ServiceSpec",
]

_FIRST_OCTET = 20
_OCTETS = 200
_OCTETS_PER_DEPLOYMENT = 7
_PUBLISH_TIMEOUT_S = 30.0

_numbers = itertools.count()


class Deployment:
    """A running deployment; the context manager always kills its processes.

    An example, with ``spec`` a ``DeploymentSpec``::

        with Deployment(spec) as deployment:
            deployment.publish(toml_text)
            deployment.vms[0].node.freeze()
    """

    def __init__(self, spec: DeploymentSpec) -> None:
        self.spec = spec
        self.vms: list[VM] = []
        self.processes: list[Process] = []
        self._temporary = tempfile.TemporaryDirectory(prefix="standins-")
        self.folder = Path(self._temporary.name)
        # Deployments of one process must not share loopback addresses.
        number = os.getpid() + next(_numbers) * _OCTETS_PER_DEPLOYMENT
        first = _FIRST_OCTET + number % _OCTETS
        self._octets = {
            domain: first + 1 + index
            for index, domain in enumerate(spec.failure_domains)
        }
        platform_ip = f"127.{first}.0.1"
        self.log_address = find_free_address(platform_ip)
        self.log_admin_address = find_free_address(platform_ip)
        self.journal_address = find_free_address(platform_ip)
        self.journal_admin_address = find_free_address(platform_ip)
        self.relay_admin_address = find_free_address(platform_ip)
        self.log = self._add_standin(
            "log", address=self.log_address, admin_address=self.log_admin_address
        )
        self.journal = self._add_standin(
            "journal",
            address=self.journal_address,
            admin_address=self.journal_admin_address,
        )
        self.relay = self._add_standin("relay", admin_address=self.relay_admin_address)
        self.log_addresses = {
            domain: self._make_relay_address(f"127.{octet}.0.1", self.log_address)
            for domain, octet in self._octets.items()
        }
        self._place_vms()

    def __enter__(self) -> Self:
        try:
            self._start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    def stop(self) -> None:
        """Kill all processes and remove the folder with their output."""
        for process in self.processes:
            process.kill()
        self._temporary.cleanup()

    @property
    def caller_addresses(self) -> list[str]:
        """Addresses of the caller listeners of all nodes."""
        return [vm.caller_address for vm in self.vms]

    def find_vms(
        self, service: str | None = None, failure_domain: str | None = None
    ) -> list[VM]:
        """Return the VMs, filtered by service and failure domain if given."""
        return [
            vm
            for vm in self.vms
            if service in (None, vm.service)
            and failure_domain in (None, vm.failure_domain)
        ]

    def publish(self, text: str, *flags: str) -> subprocess.CompletedProcess[str]:
        """Publish a class configuration through the first running node."""
        path = self.folder / "classes.toml"
        path.write_text(text)
        admin = next(vm.admin_address for vm in self.vms if vm.node.running)
        command = (*self.spec.node_command, "config", "publish", str(path))
        return subprocess.run(
            (*command, "--admin", admin, *flags),
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=_PUBLISH_TIMEOUT_S,
            check=False,
        )

    def set_link_fault(self, source: str, destination: str, **fault: object) -> None:
        """Set a fault on the links that carry bytes from ``source`` to ``destination``.

        Both are a failure domain, ``log``, ``node``, the name of a VM, or empty for
        any. See ``standins.relay`` for the faults.
        """
        rule = {"source": source, "destination": destination, **fault}
        call_admin(self.relay_admin_address, "POST", "/faults", rule)

    def partition(self, one: str, other: str, mode: str = "hold") -> None:
        """Partition two failure domains, or one failure domain and the log."""
        self.set_link_fault(one, other, cut=mode)
        self.set_link_fault(other, one, cut=mode)

    def heal(self) -> None:
        """End all partitions; delays and silenced connections stay."""
        call_admin(self.relay_admin_address, "POST", "/heal", {})

    def get_runs(self, query: str = "") -> list[dict[str, object]]:
        """Return the runs in the journal, including those of crashed servers."""
        return get_runs(self.journal_admin_address, query)

    def set_log_fault(self, **fault: object) -> None:
        """Set faults of the log service."""
        set_fault(self.log_admin_address, **fault)

    def wait_until_ready(self) -> None:
        """Wait until each node answers and has accepted its backend server."""
        deadline = time.monotonic() + self.spec.ready_timeout_s
        for vm in self.vms:
            self._wait(vm, deadline)

    def wait_until_in_force(self, version: int, timeout_s: float) -> None:
        """Wait until every running node has this version and accepts callers."""
        deadline = time.monotonic() + timeout_s
        for vm in self.vms:
            for _ in poll_until(deadline, f"version {version} at {vm.name}"):
                if not vm.node.running:
                    break
                state = call_admin(vm.admin_address, "GET", "/state")
                in_force = state.get("config_version", version) >= version
                if in_force and _accepts_connections(vm.caller_address):
                    break

    def start(self, name: str, *command: str) -> Process:
        """Start an additional process, which is killed with the deployment."""
        process = self._add(name, command)
        process.start()
        return process

    def _add(self, name: str, command: tuple[str, ...]) -> Process:
        process = Process(name, command, self.folder)
        self.processes.append(process)
        return process

    def _add_standin(self, module: str, **flags: object) -> Process:
        return self._add(module, make_command(module, **flags))

    def _make_relay_address(self, ip: str, target: str) -> str:
        return find_free_address(ip) if self.spec.relays else target

    def _place_vms(self) -> None:
        slots = [
            (domain, service, number)
            for domain in self.spec.failure_domains
            for service in self.spec.services
            for number in range(service.servers)
        ]
        counts = dict.fromkeys(self.spec.failure_domains, 0)
        seeds: list[str] = []
        for domain, service, number in slots:
            counts[domain] += 1
            ip = f"127.{self._octets[domain]}.{counts[domain]}.1"
            peer = find_free_address(ip)
            advertise = self._make_relay_address(ip, peer)
            name = f"{service.name}-{domain}-{number}"
            vm = self._make_vm(name, service, domain, ip, peer, advertise)
            self.vms.append(vm)
            if counts[domain] <= self.spec.seeds:
                seeds.append(advertise)
        for vm in self.vms:
            others = [seed for seed in seeds if seed != vm.advertise_address]
            if others:
                vm.node.command += (f"--peers={','.join(others)}",)

    def _make_vm(
        self,
        name: str,
        service: ServiceSpec,
        domain: str,
        ip: str,
        peer: str,
        advertise: str,
    ) -> VM:
        caller, backend, admin = (find_free_address(ip) for _ in range(3))
        server, server_admin = find_free_address(ip), find_free_address(ip)
        server_advertise = self._make_relay_address(ip, server)
        node_flags = {
            "caller_address": caller,
            "backend_address": backend,
            "peer_address": peer,
            "admin_address": admin,
            "advertise_address": advertise,
            "failure_domain": domain,
            "region": "region",
            "log_address": self.log_addresses[domain],
            "log_level": "INFO",
            **self.spec.node_flags,
        }
        server_flags = {
            "service": service.name,
            "server": name,
            "address": server,
            "admin_address": server_admin,
            "node_address": backend,
            "advertise_address": server_advertise,
            "journal_address": self.journal_address,
            "slots": service.slots,
            "service_time_ms": service.service_time_ms,
            "seed": len(self.vms),
            "routes": dump_plans(service.plans),
            **service.flags,
        }
        node_command = (*self.spec.node_command, "node", *make_flags(node_flags))
        return VM(
            name,
            service.name,
            domain,
            caller,
            backend,
            peer,
            advertise,
            admin,
            server,
            server_advertise,
            server_admin,
            self._add(f"node-{name}", node_command),
            self._add(f"server-{name}", make_command("backend", **server_flags)),
        )

    def _start(self) -> None:
        for process in self.processes:
            if process is not self.relay or self.spec.relays:
                process.start()
        if self.spec.relays:
            self._add_links()
        self.wait_until_ready()

    def _add_links(self) -> None:
        links = make_links(self.vms, self.log_address, self.log_addresses)
        prefixes = {f"127.{octet}.": name for name, octet in self._octets.items()}
        deadline = time.monotonic() + self.spec.ready_timeout_s
        for _ in poll_until(deadline, "the relay"):
            with contextlib.suppress(OSError):
                body = {"links": links, "domains": prefixes}
                call_admin(self.relay_admin_address, "POST", "/links", body)
                break
        if self.spec.peer_delay_ms:
            for direction in itertools.permutations(self.spec.failure_domains, 2):
                self.set_link_fault(*direction, delay_ms=self.spec.peer_delay_ms)

    def _wait(self, vm: VM, deadline: float) -> None:
        for _ in poll_until(deadline, vm.name):
            for process in (vm.node, vm.server):
                if not process.running:
                    raise RuntimeError(f"{process.name} ended: {process.read_log()}")
            with contextlib.suppress(OSError):
                call_admin(vm.admin_address, "GET", "/state")
                if get_stats(vm.server_admin_address)["node"] is not None:
                    return


def _accepts_connections(address: str) -> bool:
    try:
        socket.create_connection(split_address(address), timeout=1.0).close()
    except OSError:
        return False
    return True
