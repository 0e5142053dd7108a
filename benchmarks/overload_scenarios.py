"""Defines the overload scenarios: load over time, and faults."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

from standins.admin_client import set_fault

if TYPE_CHECKING:
    from collections.abc import Callable

    from benchmarks.overload_shapes import Shape
    from standins.deploy import Deployment

NORMAL_LOAD = 0.6
BASELINE_S = 12.0
DISTURBANCE_S = 15.0
RECOVERY_S = 20.0
SLOWDOWN = 10.0


@frozen
class Scenario:
    """One scenario; ``start_fault`` and ``end_fault`` bound its disturbance.

    ``load`` is the offered load during the disturbance, as a multiple of the capacity.
    """

    name: str
    load: float
    start_fault: Callable[[Deployment, Shape], None] | None = None
    end_fault: Callable[[Deployment, Shape], None] | None = None
    crashing: bool = False


def _slow(factor: float) -> Callable[[Deployment, Shape], None]:
    def change(deployment: Deployment, shape: Shape) -> None:
        for vm in deployment.find_vms(shape.bottleneck):
            set_fault(vm.server_admin_address, slow_factor=factor)

    return change


def _kill_domain(deployment: Deployment, shape: Shape) -> None:
    for vm in deployment.find_vms(failure_domain=shape.failure_domains[-1]):
        vm.kill()


def _restart_domain(deployment: Deployment, shape: Shape) -> None:
    for vm in deployment.find_vms(failure_domain=shape.failure_domains[-1]):
        vm.restart()


def _set_reported_load(load: float | None) -> Callable[[Deployment, Shape], None]:
    def change(deployment: Deployment, shape: Shape) -> None:
        vm = deployment.find_vms(shape.bottleneck)[0]
        set_fault(vm.server_admin_address, load=load)

    return change


def _restart_half(deployment: Deployment, shape: Shape) -> None:
    for vm in deployment.find_vms()[::2]:
        vm.server.restart()


def _freeze_log(deployment: Deployment, shape: Shape) -> None:
    deployment.log.freeze()


def _resume_log(deployment: Deployment, shape: Shape) -> None:
    deployment.log.resume()


SCENARIOS = (
    Scenario("surge-2x", 2.0),
    Scenario("surge-5x", 5.0),
    Scenario("slow-2x", 2.0, _slow(SLOWDOWN), _slow(1.0)),
    Scenario("domain-lost", NORMAL_LOAD, _kill_domain, _restart_domain),
    Scenario("lying-2x", 2.0, _set_reported_load(0.0), _set_reported_load(None)),
    Scenario("cold-half", NORMAL_LOAD, _restart_half),
    Scenario("log-out-2x", 2.0, _freeze_log, _resume_log),
    Scenario("crashing", NORMAL_LOAD, crashing=True),
)
