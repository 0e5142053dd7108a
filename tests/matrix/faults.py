"""Faults of a VM, a link or the log, and their removal."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

from standins.admin_client import set_fault

if TYPE_CHECKING:
    from collections.abc import Callable

    from standins.deploy import Deployment
    from standins.layout import VM

    FaultAction = Callable[[Deployment, VM], None]

# longer than the client timeout and the failure detection timeout
LONG_HOLD_S = 5.0
SHORT_HOLD_S = 0.7
# short enough that running requests meet their deadline after the partition
PARTITION_S = 1.5


@frozen
class Fault:
    """A fault at a VM that lasts ``hold_s``.

    With ``affects_node`` the node at the VM can't be expected to answer clients during
    the fault; with ``changes_answers`` the fault changes the answers of its server.
    """

    name: str
    do: FaultAction
    undo: FaultAction
    hold_s: float = 0.3
    affects_node: bool = False
    changes_answers: bool = False


def _kill(part: str, affects_node: bool) -> Fault:
    def do(deployment: Deployment, vm: VM) -> None:
        (vm if part == "vm" else getattr(vm, part)).kill()

    def undo(deployment: Deployment, vm: VM) -> None:
        (vm if part == "vm" else getattr(vm, part)).restart()

    return Fault(f"kill-{part}", do, undo, 1.5, affects_node)


def _freeze(part: str, hold_s: float, duration: str, affects_node: bool) -> Fault:
    def do(deployment: Deployment, vm: VM) -> None:
        (vm if part == "vm" else getattr(vm, part)).freeze()

    def undo(deployment: Deployment, vm: VM) -> None:
        (vm if part == "vm" else getattr(vm, part)).resume()

    return Fault(f"freeze-{part}-{duration}", do, undo, hold_s, affects_node)


def _heal(deployment: Deployment, vm: VM) -> None:
    deployment.heal()


def _partition(
    name: str, directions: str, mode: str, hold_s: float = PARTITION_S
) -> Fault:
    """Partition the VM's failure domain: outgoing links, incoming links, or both."""

    def do(deployment: Deployment, vm: VM) -> None:
        local_domain = vm.failure_domain
        for other in deployment.spec.failure_domains:
            if other != local_domain and directions in ("both", "out"):
                deployment.set_link_fault(local_domain, other, cut=mode)
            if other != local_domain and directions in ("both", "in"):
                deployment.set_link_fault(other, local_domain, cut=mode)

    return Fault(name, do, _heal, hold_s)


def _disconnect_log(name: str, mode: str) -> Fault:
    def do(deployment: Deployment, vm: VM) -> None:
        deployment.partition(vm.failure_domain, "log", mode)

    return Fault(name, do, _heal, PARTITION_S)


def _fault_log(name: str, hold_s: float, **fault: object) -> Fault:
    cleared = {key: type(value)() for key, value in fault.items()}

    def do(deployment: Deployment, vm: VM) -> None:
        deployment.set_log_fault(**fault)

    def undo(deployment: Deployment, vm: VM) -> None:
        deployment.set_log_fault(**cleared)

    return Fault(name, do, undo, hold_s)


def _silence_peers(deployment: Deployment, vm: VM) -> None:
    for domain in deployment.spec.failure_domains:
        for other in deployment.spec.failure_domains:
            deployment.set_link_fault(domain, other, silent=True)


def _silence_server(deployment: Deployment, vm: VM) -> None:
    deployment.set_link_fault("node", vm.name, silent=True)


def _do_nothing(deployment: Deployment, vm: VM) -> None:
    """Change nothing."""


def _fault_answers(name: str, **fault: object) -> Fault:
    cleared = {key: type(value)() for key, value in fault.items()}

    def do(deployment: Deployment, vm: VM) -> None:
        set_fault(vm.server_admin_address, **fault)

    def undo(deployment: Deployment, vm: VM) -> None:
        set_fault(vm.server_admin_address, **cleared)

    return Fault(name, do, undo, 1.5, changes_answers=True)


def _lose_append_answers(deployment: Deployment, vm: VM) -> None:
    # the loss of a node makes other nodes append views of slots
    deployment.set_log_fault(lose_answer=3)
    vm.node.kill()


def _restore_append_answers(deployment: Deployment, vm: VM) -> None:
    deployment.set_log_fault(lose_answer=0)
    vm.node.restart()


PROCESS_FAULTS = (
    _kill("node", True),
    _kill("server", False),
    _kill("vm", True),
    _freeze("node", SHORT_HOLD_S, "short", True),
    _freeze("node", LONG_HOLD_S, "long", True),
    _freeze("server", LONG_HOLD_S, "long", False),
    _freeze("vm", LONG_HOLD_S, "long", True),
)
LINK_FAULTS = (
    _partition("cut-both", "both", "hold"),
    _partition("cut-both-drop", "both", "drop"),
    _partition("cut-both-reset", "both", "reset"),
    _partition("cut-out", "out", "hold"),
    _partition("cut-in", "in", "hold"),
    _partition("cut-both-long", "both", "hold", LONG_HOLD_S),
    Fault("silent-peers", _silence_peers, _do_nothing, 1.0),
    Fault("silent-server", _silence_server, _do_nothing, 1.0),
)
LOG_FAULTS = (
    _disconnect_log("cut-log", "hold"),
    _fault_log("log-down", PARTITION_S, down=True),
    _fault_log("log-slow", PARTITION_S, slow_ms=1500.0),
    Fault(
        "log-answer-lost",
        _lose_append_answers,
        _restore_append_answers,
        2.5,
        affects_node=True,
    ),
)
ANSWER_FAULTS = (
    _fault_answers("late", late_ms=400.0),
    _fault_answers("too-late", late_ms=4000.0),
    _fault_answers("truncated", truncated=1),
    _fault_answers("garbled", garbled=1),
    _fault_answers("wrong-call", wrong_call=1),
    _fault_answers("doubled", doubled=1),
    _fault_answers("silent", silent=True),
    _fault_answers("lost", lost=1),
    _fault_answers("mute", mute=1),
)
RETRIES_ONLY = (Fault("repeats", _do_nothing, _do_nothing, 0.0),)
FAULTS = {
    fault.name: fault
    for fault in (
        *RETRIES_ONLY,
        *PROCESS_FAULTS,
        *LINK_FAULTS,
        *LOG_FAULTS,
        *ANSWER_FAULTS,
    )
}
