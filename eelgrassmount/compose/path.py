"""Wiring of the call path."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define

from eelgrassmount.calls.dispatch import Dispatcher
from eelgrassmount.calls.downstream import Downstream
from eelgrassmount.calls.inflight import InFlight
from eelgrassmount.calls.local import LocalRunner
from eelgrassmount.calls.remote import RemoteRunner
from eelgrassmount.calls.table import CallTable
from eelgrassmount.compose.base import Base
from eelgrassmount.edge.announcements import Announcements
from eelgrassmount.edge.probes import ServerProbes
from eelgrassmount.edge.server import ServerClient
from eelgrassmount.load.control import LoadControl
from eelgrassmount.load.dispatcher import LimitedDispatcher
from eelgrassmount.retry.budget import RetryBudget
from eelgrassmount.retry.exchange import QuarantineExchange
from eelgrassmount.retry.quarantine import Quarantine

if TYPE_CHECKING:
    from collections.abc import Callable


@define(eq=False)
class Path:
    """The parts that process a call."""

    table: CallTable
    server_dispatcher: LimitedDispatcher
    control: LoadControl
    quarantine: QuarantineExchange
    announcements: Announcements
    dispatcher: Dispatcher
    downstream: Downstream
    local: LocalRunner
    probes: ServerProbes
    in_flight: InFlight


def build_path(base: Base, handle_change: Callable[[], None]) -> Path:
    """Return the parts of the call path, wired but not started."""
    table = CallTable()
    server_dispatcher = LimitedDispatcher(base.shared_state, base.timers)
    control = LoadControl(base.shared_state, base.timers)
    quarantine = QuarantineExchange(
        base.shared_state, base.timers.clock, base.peers, Quarantine(), base.tasks
    )
    client = ServerClient(base.timers.clock, base.metrics, base.settings.max_body_bytes)
    announcements = Announcements(
        base.shared_state, base.timers, handle_change, table.count_running
    )
    local = LocalRunner(
        base.shared_state,
        base.timers,
        table,
        server_dispatcher,
        client,
        quarantine,
        control.exchange,
        base.metrics,
        announcements.remove,
    )
    dispatcher = Dispatcher(
        base.shared_state.identity.address,
        base.timers,
        control,
        local,
        RemoteRunner(base.shared_state, base.peers, base.timers),
        RetryBudget(),
        quarantine,
        base.metrics,
        base.make_id,
    )
    downstream = Downstream(
        base.shared_state,
        base.timers,
        table,
        dispatcher.run,
        base.tasks,
        base.make_id,
        control.exchange,
    )
    probes = ServerProbes(
        client, base.timers, base.tasks, lambda: base.shared_state.server.address
    )
    return Path(
        table=table,
        server_dispatcher=server_dispatcher,
        control=control,
        quarantine=quarantine,
        announcements=announcements,
        dispatcher=dispatcher,
        downstream=downstream,
        local=local,
        probes=probes,
        in_flight=InFlight(),
    )
