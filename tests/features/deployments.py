"""Small deployments of real processes for the features."""

from __future__ import annotations

import asyncio
import threading
import time
from typing import TYPE_CHECKING

from attrs import define, field

from standins.admin_client import call_admin
from standins.caller import CallClass, Caller, Load, Phase
from standins.client import Client
from standins.deploy import Deployment, DeploymentSpec, ServiceSpec
from standins.plans import Plan

if TYPE_CHECKING:
    from collections.abc import Callable

    from standins.records import Record

CONFIGURATION = """\
failure_domains = ["bowbazar", "sealdah"]

[[class]]
name = "booking"
routes = ["POST /jobdesk/bookings"]
idempotent = false
refuse_last = true
complete_fraction = 0.99
within_ms = {within_ms}

[[class]]
name = "status"
routes = ["GET /jobdesk/status"]
idempotent = true
refuse_last = false
complete_fraction = 0.9
within_ms = 2000
"""
DOMAINS = ("bowbazar", "sealdah")
POLL_INTERVAL_S = 0.05

_BOOKINGS = Plan((("GET", "/proofline/status"),))
_MAX_RETRIES = 8
_RETRY_PAUSE_MS = 100.0


def make_deployment(relays: bool = False) -> Deployment:
    """Return two failure domains of two services with two servers each."""
    services = (
        ServiceSpec("jobdesk", 2, 25, 20.0, {"POST /jobdesk/bookings": _BOOKINGS}),
        ServiceSpec("proofline", 2, 25, 20.0),
    )
    return Deployment(DeploymentSpec(DOMAINS, services, relays=relays))


def read_state(admin_address: str) -> dict[str, object]:
    """Return the state that a node reports on its admin listener."""
    return call_admin(admin_address, "GET", "/state")


def read_versions(deployment: Deployment) -> list[int]:
    """Return the version in force at each running node."""
    return [
        read_state(vm.admin_address)["config_version"]
        for vm in deployment.vms
        if vm.node.running
    ]


def wait_until(check: Callable[[], bool], within_s: float, what: str) -> float:
    """Poll until ``check`` holds and return the seconds that it took."""
    started_s = time.monotonic()
    while time.monotonic() - started_s < within_s:
        try:
            if check():
                return time.monotonic() - started_s
        except OSError:
            # a starting node does not answer yet
            pass
        time.sleep(POLL_INTERVAL_S)
    raise AssertionError(f"not within {within_s} s: {what}")


@define
class Traffic:
    """A load that runs in a separate thread during the steps."""

    deployment: Deployment
    seconds: float
    rate: float
    records: list[Record] = field(factory=list)
    _thread: threading.Thread | None = None

    def start(self) -> None:
        """Start to send."""
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def finish(self) -> list[Record]:
        """Wait for the last request and return the records of all requests."""
        self._thread.join()
        return self.records

    def _run(self) -> None:
        asyncio.run(self._send())

    async def _send(self) -> None:
        spec = self.deployment.spec
        classes = (
            CallClass(
                "booking",
                "POST",
                "/jobdesk/bookings",
                spec.expect("POST", "/jobdesk/bookings"),
                keyed=True,
                timeout_ms=5000.0,
            ),
            CallClass(
                "status",
                "GET",
                "/jobdesk/status",
                spec.expect("GET", "/jobdesk/status"),
            ),
        )
        load = Load(
            nodes=tuple(self.deployment.caller_addresses),
            classes=classes,
            phases=(Phase(self.seconds, self.rate),),
            retries=_MAX_RETRIES,
            pause_ms=_RETRY_PAUSE_MS,
            # nodes may reject requests while the machine lacks processor time
            obey_retry_after=True,
        )
        await Caller(load, Client(), self.records.append).run()
