"""The scenarios of overload: load over time, and the faults meanwhile."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

from standins.admin_client import set_fault

if TYPE_CHECKING:
    from collections.abc import Callable

    from benchmarks.overload_shapes import Shape
    from standins.deploy import Deployment

CALM = 0.6
BEFORE_S = 12.0
CAUSE_S = 15.0
AFTER_S = 20.0
SLOWDOWN = 10.0


@frozen
class Scenario:
    """One scenario; ``begin`` and ``end`` switch its fault with the cause.

    ``load`` is the offered load during the cause, as a multiple of the capacity.
    """

    name: str
    load: float
    begin: Callable[[Deployment, Shape], None] | None = None
    end: Callable[[Deployment, Shape], None] | None = None
    crashing: bool = False


def _slow(factor: float) -> Callable[[Deployment, Shape], None]:
    def change(deployment: Deployment, shape: Shape) -> None:
        for vm in deployment.find_vms(shape.scarce):
            set_fault(vm.server_admin_address, slow_factor=factor)

    return change


def _lose_domain(deployment: Deployment, shape: Shape) -> None:
    for vm in deployment.find_vms(failure_domain=shape.failure_domains[-1]):
        vm.kill()


def _restore_domain(deployment: Deployment, shape: Shape) -> None:
    for vm in deployment.find_vms(failure_domain=shape.failure_domains[-1]):
        vm.restart()


def _lie(load: float | None) -> Callable[[Deployment, Shape], None]:
    def change(deployment: Deployment, shape: Shape) -> None:
        vm = deployment.find_vms(shape.scarce)[0]
        set_fault(vm.server_admin_address, load=load)

    return change


def _restart_half(deployment: Deployment, shape: Shape) -> None:
    for vm in deployment.find_vms()[::2]:
        vm.server.restart()


def _stop_log(deployment: Deployment, shape: Shape) -> None:
    deployment.log.freeze()


def _wake_log(deployment: Deployment, shape: Shape) -> None:
    deployment.log.resume()


SCENARIOS = (
    Scenario("surge-2x", 2.0),
    Scenario("surge-5x", 5.0),
    Scenario("slow-2x", 2.0, _slow(SLOWDOWN), _slow(1.0)),
    Scenario("domain-lost", CALM, _lose_domain, _restore_domain),
    Scenario("lying-2x", 2.0, _lie(0.0), _lie(None)),
    Scenario("cold-half", CALM, _restart_half),
    Scenario("log-out-2x", 2.0, _stop_log, _wake_log),
    Scenario("crashing", CALM, crashing=True),
)
