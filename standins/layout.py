"""Description of a deployment: services, failure domains and VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import asdict, field, frozen

from standins.plans import Plan, expect_shape
from standins.processes import PYTHON
from standins.relay import Link

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from standins.processes import Process

NODE_COMMAND = (PYTHON, "-m", "eelgrassmount")


@frozen
class ServiceSpec:
    """One service; ``servers`` is the number in each failure domain.

    ``flags`` are additional flags of ``standins.backend``, for example
    ``{"cold_s": 3}``.
    """

    name: str
    servers: int = 1
    slots: int = 25
    service_time_ms: float = 10.0
    plans: dict[str, Plan] = field(factory=dict)
    flags: dict[str, object] = field(factory=dict)


@frozen
class DeploymentSpec:
    """A deployment and its options.

    With ``relays``, a TCP relay forwards the connections to every peer listener, to
    the log (one address for each failure domain) and to every backend server, so
    that links can be delayed, partitioned and silenced. ``peer_delay_ms`` is the
    one-way delay between failure domains. ``seeds`` is the number of nodes of each
    failure domain that ``--peers`` names.
    """

    failure_domains: tuple[str, ...]
    services: tuple[ServiceSpec, ...]
    relays: bool = False
    peer_delay_ms: float = 0.0
    seeds: int = 1
    node_flags: dict[str, object] = field(factory=dict)
    node_command: tuple[str, ...] = NODE_COMMAND
    ready_timeout_s: float = 30.0

    @property
    def plans(self) -> dict[str, Plan]:
        """Downstream calls of every route."""
        plans: dict[str, Plan] = {}
        for service in self.services:
            plans.update(service.plans)
        return plans

    def expect(self, method: str, path: str) -> str:
        """Return the shape of the complete answer to a request."""
        return expect_shape(self.plans, method, path)


@frozen
class VM:
    """One VM: a node and its backend server at one IP address."""

    name: str
    service: str
    failure_domain: str
    caller_address: str
    backend_address: str
    peer_address: str
    advertise_address: str
    admin_address: str
    server_address: str
    server_advertise_address: str
    server_admin_address: str
    node: Process
    server: Process

    def kill(self) -> None:
        """Kill both processes (SIGKILL)."""
        self.node.kill()
        self.server.kill()

    def restart(self) -> None:
        """Restart both processes, as a replacement VM at the same address would."""
        self.node.restart()
        self.server.restart()

    def freeze(self) -> None:
        """Suspend both processes (SIGSTOP)."""
        self.node.freeze()
        self.server.freeze()

    def resume(self) -> None:
        """Resume both processes (SIGCONT)."""
        self.node.resume()
        self.server.resume()


def make_links(
    vms: Iterable[VM], log_address: str, log_addresses: Mapping[str, str]
) -> list[dict[str, str]]:
    """Return the links of the relay to the log, the nodes and the backend servers.

    ``log_addresses`` maps each failure domain to the log address for its nodes.
    """
    links = [
        Link(listen, log_address, "log", domain)
        for domain, listen in log_addresses.items()
    ]
    for vm in vms:
        links += [
            Link(vm.advertise_address, vm.peer_address, vm.failure_domain),
            Link(vm.server_advertise_address, vm.server_address, vm.name, "node"),
        ]
    return [asdict(link) for link in links]
