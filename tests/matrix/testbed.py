"""The deployment that cells run on, and the search for VMs to inject faults at."""

from __future__ import annotations

import asyncio
import base64
import json
import time
import urllib.request
import uuid
from typing import TYPE_CHECKING

from attrs import define, field

from eelgrassmount.keys.placement import find_slot
from eelgrassmount.keys.views import ViewFold, fold_page
from eelgrassmount.log_service import Page, Record
from standins.admin_client import call_admin, set_fault
from standins.client import Client
from standins.deploy import PYTHON, Deployment, DeploymentSpec, ServiceSpec
from standins.plans import Plan
from tests.matrix.callers import BOOKING, Booking

if TYPE_CHECKING:
    from eelgrassmount.keys.views import View
    from standins.layout import VM
    from standins.processes import Process

DOMAINS = ("a", "b")
# short enough to recover a lost slot soon, longer than a cell
KEY_WINDOW_S = 30
HEALTHY_TIMEOUT_S = 45.0
LOG_TAIL_CHARACTERS = 1500
MAX_CONCURRENT_BOOKINGS = 4
LOAD_SETTLE_S = 1.2
SERVER_START_TIMEOUT_S = 20.0
MAX_KEYS_TRIED = 400
# services that bookings don't use, or that another server can replace; in this order
REPLACEABLE_SERVICES = ("frontdesk", "ratebook", "proofline")
ADDRESS_IN_USE_MESSAGE = "address already in use"
SERVICE_TIME_MS = 10.0

CONFIGURATION = """failure_domains = ["a", "b"]
[[class]]
name = "lookup"
routes = ["GET /jobdesk/status", "GET /ratebook/price", "GET /proofline/proofs"]
idempotent = true
refuse_last = false
complete_fraction = 0.9
within_ms = 1000
[[class]]
name = "booking"
routes = ["POST /jobdesk/bookings", "POST /platehouse/orders"]
idempotent = false
refuse_last = true
complete_fraction = 0.99
within_ms = 2000
"""

PLANS = {
    "jobdesk": {
        f"POST {BOOKING}": Plan(
            (("POST", "/platehouse/orders"), ("GET", "/ratebook/price"))
        )
    },
    "platehouse": {"POST /platehouse/orders": Plan((("GET", "/proofline/proofs"),))},
}
SERVERS = {"frontdesk": 1, "jobdesk": 2, "platehouse": 1, "ratebook": 1, "proofline": 1}


def make_spec(without: str = "") -> DeploymentSpec:
    """Return the deployment of all cells; ``without`` names a mechanism to disable."""
    services = tuple(
        ServiceSpec(
            name, count, service_time_ms=SERVICE_TIME_MS, plans=PLANS.get(name, {})
        )
        for name, count in SERVERS.items()
    )
    spec = DeploymentSpec(
        DOMAINS,
        services,
        relays=True,
        seeds=2,
        node_flags={"key_window_s": KEY_WINDOW_S},
        node_command=make_node_command(without),
    )
    return spec


def make_node_command(without: str) -> tuple[str, ...]:
    """Return the command of a node; ``without`` names a mechanism to disable."""
    if not without:
        return (PYTHON, "-m", "eelgrassmount")
    return (PYTHON, "-m", "tests.matrix.node", f"--without={without}")


@define(eq=False)
class Testbed:
    """A running deployment and the connections of a stand-in client."""

    deployment: Deployment
    client: Client = field(factory=Client)

    @property
    def expected_shape(self) -> str:
        return self.deployment.spec.expect("POST", BOOKING)

    def find_vm(self, name: str) -> VM:
        return next(vm for vm in self.deployment.vms if vm.name == name)

    def make_booking(self, key: str, **extra: object) -> Booking:
        return Booking(key, self.expected_shape, extra)

    async def publish(self, text: str) -> None:
        """Publish a configuration and wait until it is in force everywhere."""
        admin = self.deployment.vms[0].admin_address
        post = urllib.request.Request(
            f"http://{admin}/config?base=0", data=text.encode(), method="POST"
        )
        await asyncio.to_thread(lambda: urllib.request.urlopen(post, timeout=10).read())
        deadline = time.monotonic() + HEALTHY_TIMEOUT_S
        while not all(await asyncio.to_thread(self._read_states, "config_version")):
            _check_deadline(deadline, "the configuration")
            await asyncio.sleep(0.1)

    def _read_states(self, name: str) -> list[object]:
        return [
            call_admin(vm.admin_address, "GET", "/state")[name]
            for vm in self.deployment.vms
        ]

    async def wait_until_healthy(self) -> None:
        """Wait until each node answers a booking with a key of each failure domain."""
        deadline = time.monotonic() + HEALTHY_TIMEOUT_S
        pending = [(vm, home) for vm in self.deployment.vms for home in DOMAINS]
        while pending:
            outcomes = await self._send_bookings(pending)
            failed = [
                (pair, outcome)
                for pair, outcome in zip(pending, outcomes, strict=True)
                if outcome != "complete"
            ]
            pending = [pair for pair, _ in failed]
            if pending:
                self._restart_after_port_conflicts()
                listed = [
                    f"{vm.name} to {home}: {outcome}" for (vm, home), outcome in failed
                ]
                _check_deadline(
                    deadline, ", ".join(listed) + self._describe_ended_processes()
                )
                await asyncio.sleep(0.3)
        await self._wait_for_views(deadline)
        # load reports between nodes are up to a second old
        await asyncio.sleep(LOAD_SETTLE_S)

    async def _wait_for_views(self, deadline: float) -> None:
        """Wait until the primary and the backup of every slot are running."""
        while True:
            alive = set(await asyncio.to_thread(self._read_states, "incarnation"))
            views = [view for name in DOMAINS for view in await self.read_views(name)]
            assigned = {
                node.incarnation
                for view in views
                for node in (view.primary, view.backup)
            }
            if assigned <= alive:
                return
            _check_deadline(deadline, "slots are assigned to stopped nodes")
            await asyncio.sleep(0.3)

    async def _send_bookings(self, pairs: list[tuple[VM, str]]) -> list[str]:
        outcomes: list[str] = []
        for first in range(0, len(pairs), MAX_CONCURRENT_BOOKINGS):
            batch = pairs[first : first + MAX_CONCURRENT_BOOKINGS]
            outcomes += await asyncio.gather(
                *(self._send_booking(vm, home) for vm, home in batch)
            )
        return outcomes

    def _restart_after_port_conflicts(self) -> None:
        """Restart processes that ended because their port was in use."""
        for process in self._find_ended_processes():
            if ADDRESS_IN_USE_MESSAGE in process.read_log()[-LOG_TAIL_CHARACTERS:]:
                process.start()

    def _find_ended_processes(self) -> list[Process]:
        return [
            process
            for process in self.deployment.processes
            if process.log_path.exists() and not process.running
        ]

    def _describe_ended_processes(self) -> str:
        """Return the last log lines of processes that have ended."""
        return "".join(
            f"; {process.name} ended: {process.read_log()[-LOG_TAIL_CHARACTERS:]}"
            for process in self._find_ended_processes()
        )

    async def _send_booking(self, vm: VM, home: str) -> str:
        booking = self.make_booking(f"{home}:{uuid.uuid4().hex}")
        attempt = await booking.send(self.client, vm.caller_address)
        if attempt.outcome == "complete":
            return attempt.outcome
        return f"{attempt.verdict} {attempt.reason}"

    async def read_views(self, domain: str) -> list[View]:
        """Return the views of a failure domain's slots according to the log."""
        fold = ViewFold()
        while True:
            path = f"/streams/slots.{domain}/records?from={fold.next}&limit=500"
            answer = await self.client.request(self.deployment.log_address, "GET", path)
            page = json.loads(answer.body)
            records = tuple(
                Record(entry["offset"], base64.b64decode(entry["body"]))
                for entry in page["records"]
            )
            fold_page(fold, Page(page["first"], page["next"], records))
            if fold.next >= page["next"]:
                return fold.views

    async def choose_key(self, domain: str, role: str) -> tuple[str, VM]:
        """Return a client-chosen key, and the VM that is its primary or backup.

        Choose a VM whose server bookings don't need, or whose service has a second
        server, so that a fault at the VM affects only its role for the key.
        """
        views = await self.read_views(domain)
        vms = {vm.advertise_address: vm for vm in self.deployment.vms}
        found: dict[str, tuple[str, VM]] = {}
        for _ in range(MAX_KEYS_TRIED):
            key = f"{domain}:{uuid.uuid4().hex}"
            vm = vms.get(getattr(views[find_slot(key)], role).address)
            # a slot that lost its primary and backup waits for a key window
            if vm is not None and not views[find_slot(key)].lost:
                found[vm.service] = (key, vm)
        for service in REPLACEABLE_SERVICES:
            if service in found:
                return found[service]
        raise LookupError(f"no slot of {domain} has a {role} that bookings don't need")

    async def read_runs(self, request: str = "") -> list[dict[str, object]]:
        query = f"request={request}" if request else ""
        return await asyncio.to_thread(self.deployment.get_runs, query)

    async def set_servers(self, service: str, **fault: object) -> None:
        """Set a fault at all running servers of a service."""
        for vm in self.deployment.find_vms(service):
            if vm.server.running:
                await self.set_server(vm, **fault)

    async def set_server(self, vm: VM, **fault: object) -> None:
        """Set a fault at one server as soon as its admin listener answers."""
        deadline = time.monotonic() + SERVER_START_TIMEOUT_S
        while True:
            try:
                await asyncio.to_thread(set_fault, vm.server_admin_address, **fault)
                return
            except OSError:
                _check_deadline(deadline, vm.server.name)
                await asyncio.sleep(0.1)

    async def wait_for_run(
        self, request: str, service: str, outcomes: tuple[str, ...], timeout_s: float
    ) -> VM | None:
        """Return the VM whose server runs or ran a request according to the journal."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            for run in await self.read_runs(request):
                if run["service"] == service and run["outcome"] in outcomes:
                    return self.find_vm(run["server"])
            await asyncio.sleep(0.02)
        return None


def _check_deadline(deadline: float, what: str) -> None:
    if time.monotonic() > deadline:
        raise TimeoutError(f"not ready before the deadline: {what}")
