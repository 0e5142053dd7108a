"""Faults: what is done to a VM, a link or the log, and how it is undone."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

from standins.admin_client import set_fault

if TYPE_CHECKING:
    from collections.abc import Callable

    from standins.deploy import Deployment
    from standins.layout import VM

    Act = Callable[[Deployment, VM], None]

# longer than the callers' patience, and than the time to be thought dead
LONG_S = 5.0
SHORT_S = 0.7
# short enough for requests under way to be answered in time once it heals
CUT_S = 1.5


@frozen
class Fault:
    """One fault at a VM.

    It lasts ``hold_s``. With ``hits_node`` the node at the VM can't be expected to
    answer callers meanwhile; with ``spoils`` it changes the answers of its server.
    """

    name: str
    do: Act
    undo: Act
    hold_s: float = 0.3
    hits_node: bool = False
    spoils: bool = False


def _kill(part: str, hits_node: bool) -> Fault:
    def do(deployment: Deployment, vm: VM) -> None:
        (vm if part == "vm" else getattr(vm, part)).kill()

    def undo(deployment: Deployment, vm: VM) -> None:
        (vm if part == "vm" else getattr(vm, part)).restart()

    return Fault(f"kill-{part}", do, undo, 1.5, hits_node)


def _freeze(part: str, hold_s: float, word: str, hits_node: bool) -> Fault:
    def do(deployment: Deployment, vm: VM) -> None:
        (vm if part == "vm" else getattr(vm, part)).freeze()

    def undo(deployment: Deployment, vm: VM) -> None:
        (vm if part == "vm" else getattr(vm, part)).resume()

    return Fault(f"freeze-{part}-{word}", do, undo, hold_s, hits_node)


def _heal(deployment: Deployment, vm: VM) -> None:
    deployment.heal()


def _cut(name: str, ways: str, mode: str, hold_s: float = CUT_S) -> Fault:
    """Cut the VM's failure domain off: ways out, ways in, or both."""

    def do(deployment: Deployment, vm: VM) -> None:
        own = vm.failure_domain
        for other in deployment.spec.failure_domains:
            if other != own and ways in ("both", "out"):
                deployment.set_link_fault(own, other, cut=mode)
            if other != own and ways in ("both", "in"):
                deployment.set_link_fault(other, own, cut=mode)

    return Fault(name, do, _heal, hold_s)


def _cut_log(name: str, mode: str) -> Fault:
    def do(deployment: Deployment, vm: VM) -> None:
        deployment.partition(vm.failure_domain, "log", mode)

    return Fault(name, do, _heal, CUT_S)


def _fault_log(name: str, hold_s: float, **fault: object) -> Fault:
    calm = {key: type(value)() for key, value in fault.items()}

    def do(deployment: Deployment, vm: VM) -> None:
        deployment.set_log_fault(**fault)

    def undo(deployment: Deployment, vm: VM) -> None:
        deployment.set_log_fault(**calm)

    return Fault(name, do, undo, hold_s)


def _silence_peers(deployment: Deployment, vm: VM) -> None:
    for domain in deployment.spec.failure_domains:
        for other in deployment.spec.failure_domains:
            deployment.set_link_fault(domain, other, silent=True)


def _silence_server(deployment: Deployment, vm: VM) -> None:
    deployment.set_link_fault("node", vm.name, silent=True)


def _keep(deployment: Deployment, vm: VM) -> None:
    """Undo nothing."""


def _spoil(name: str, **fault: object) -> Fault:
    calm = {key: type(value)() for key, value in fault.items()}

    def do(deployment: Deployment, vm: VM) -> None:
        set_fault(vm.server_admin_address, **fault)

    def undo(deployment: Deployment, vm: VM) -> None:
        set_fault(vm.server_admin_address, **calm)

    return Fault(name, do, undo, 1.5, spoils=True)


def _lose_append(deployment: Deployment, vm: VM) -> None:
    # the log is busy with the views of the slots when a node has gone
    deployment.set_log_fault(lose_answer=3)
    vm.node.kill()


def _end_lost_append(deployment: Deployment, vm: VM) -> None:
    deployment.set_log_fault(lose_answer=0)
    vm.node.restart()


PROCESS_FAULTS = (
    _kill("node", True),
    _kill("server", False),
    _kill("vm", True),
    _freeze("node", SHORT_S, "short", True),
    _freeze("node", LONG_S, "long", True),
    _freeze("server", LONG_S, "long", False),
    _freeze("vm", LONG_S, "long", True),
)
LINK_FAULTS = (
    _cut("cut-both", "both", "hold"),
    _cut("cut-both-drop", "both", "drop"),
    _cut("cut-both-reset", "both", "reset"),
    _cut("cut-out", "out", "hold"),
    _cut("cut-in", "in", "hold"),
    _cut("cut-both-long", "both", "hold", LONG_S),
    Fault("silent-peers", _silence_peers, _keep, 1.0),
    Fault("silent-server", _silence_server, _keep, 1.0),
)
LOG_FAULTS = (
    _cut_log("cut-log", "hold"),
    _fault_log("log-down", CUT_S, down=True),
    _fault_log("log-slow", CUT_S, slow_ms=1500.0),
    Fault("log-answer-lost", _lose_append, _end_lost_append, 2.5, hits_node=True),
)
ANSWER_FAULTS = (
    _spoil("late", late_ms=400.0),
    _spoil("too-late", late_ms=4000.0),
    _spoil("truncated", truncated=1),
    _spoil("garbled", garbled=1),
    _spoil("wrong-call", wrong_call=1),
    _spoil("doubled", doubled=1),
    _spoil("silent", silent=True),
    _spoil("lost", lost=1),
    _spoil("mute", mute=1),
)
REPEATS = (Fault("repeats", _keep, _keep, 0.0),)
FAULTS = {
    fault.name: fault
    for fault in (
        *REPEATS,
        *PROCESS_FAULTS,
        *LINK_FAULTS,
        *LOG_FAULTS,
        *ANSWER_FAULTS,
    )
}
