"""Local records of the servers that this node sends calls to."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash
from attrs import define, field

from eelgrassmount.verdict import Answered, MayHaveRun, Reason, Verdict

if TYPE_CHECKING:
    from eelgrassmount.shared_node_state import SharedNodeState

# Servers of a service that a node sends calls to.
SUBSET_SIZE = 12

_RAMP_DURATION_S = 8.0
_MIN_RAMP_SHARE = 0.1
_MAX_ABSENCE_S = 2.0

_MIN_FAILURES_TO_AVOID = 3
_MIN_AVOID_S = 1.0
_MAX_AVOID_S = 15.0
_UNAVAILABLE_AVOID_S = 1.0
_LATENCY_SMOOTHING = 0.1

_FAILURES = frozenset(
    {
        Reason.PEER_LOST,
        Reason.SERVER_CRASHED,
        Reason.SERVER_SILENT,
        Reason.BAD_ANSWER,
    }
)
_UNAVAILABLE = frozenset({Reason.DRAINING, Reason.NO_SERVER, Reason.SERVER_STARTING})


@define
class ServerRecord:
    """What this node has observed of a server.

    ``sent_since_report`` counts the calls sent since its load was last received.
    """

    first_seen_s: float
    last_seen_s: float
    outstanding: int = 0
    sent_since_report: int = 0
    load_received_s: float = 0.0
    failures: int = 0
    avoidance_s: float = 0.0
    avoid_until_s: float = 0.0
    latency_s: float = 0.0


@define
class Subset:
    """The servers of a service in the local failure domain that receive calls."""

    chosen_s: float
    addresses: tuple[str, ...]


@define
class RoutingState:
    """Records of all servers that this node sends calls to, by node address."""

    started_s: float = 0.0
    records: dict[str, ServerRecord] = field(factory=dict)
    subsets: dict[str, Subset] = field(factory=dict)

    def find_record(self, address: str, now_s: float) -> ServerRecord:
        """Return the record of a server that currently serves.

        A server that has been absent for some time counts as new.
        """
        record = self.records.get(address)
        if record is None:
            record = self.records[address] = ServerRecord(now_s, now_s)
            if now_s - self.started_s < _MAX_ABSENCE_S:
                record.first_seen_s = now_s - _RAMP_DURATION_S
        elif now_s - record.last_seen_s > _MAX_ABSENCE_S:
            record.first_seen_s = now_s
        record.last_seen_s = now_s
        return record

    def record_start(self, address: str, now_s: float) -> None:
        """Record that a call is sent to a server."""
        record = self.find_record(address, now_s)
        record.outstanding += 1
        record.sent_since_report += 1

    def record_end(
        self, address: str, verdict: Verdict, latency_s: float, now_s: float
    ) -> None:
        """Record the outcome of a call that was sent to a server."""
        record = self.records.get(address)
        if record is None:
            return
        record.outstanding = max(0, record.outstanding - 1)
        if isinstance(verdict, Answered):
            record.failures = 0
            record.avoidance_s = 0.0
            if not record.latency_s:
                record.latency_s = latency_s
            record.latency_s += _LATENCY_SMOOTHING * (latency_s - record.latency_s)
        elif verdict.reason in _UNAVAILABLE:
            record.avoid_until_s = now_s + _UNAVAILABLE_AVOID_S
        elif isinstance(verdict, MayHaveRun) and verdict.reason in _FAILURES:
            self._record_failure(record, now_s)

    def _record_failure(self, record: ServerRecord, now_s: float) -> None:
        record.failures += 1
        if record.failures >= _MIN_FAILURES_TO_AVOID or record.avoidance_s:
            record.avoidance_s = min(
                max(_MIN_AVOID_S, 2.0 * record.avoidance_s), _MAX_AVOID_S
            )
            record.avoid_until_s = now_s + record.avoidance_s

    def refresh(self, shared_state: SharedNodeState, now_s: float) -> None:
        """Update which servers serve, and drop the records of absent ones.

        Called periodically, this distinguishes a server that returns from one that had
        no calls. It covers only services that this node has called.
        """
        for member in shared_state.members.members.values():
            if member.service in self.subsets and member.serves:
                self.find_record(member.identity.address, now_s)
        for service in self.subsets:
            for summary in shared_state.members.summaries.find(service):
                for address in summary.addresses:
                    self.find_record(address, now_s)
        for address, record in list(self.records.items()):
            absence_s = now_s - record.last_seen_s
            if absence_s > _MAX_AVOID_S and not record.outstanding:
                del self.records[address]


def compute_ramp(record: ServerRecord, now_s: float) -> float:
    """Return the fraction of its normal share that a new server receives."""
    age_s = now_s - record.first_seen_s
    return min(
        1.0, _MIN_RAMP_SHARE + (1.0 - _MIN_RAMP_SHARE) * age_s / _RAMP_DURATION_S
    )


def should_avoid(record: ServerRecord, now_s: float) -> bool:
    """Return whether a server should receive no calls after recent failures."""
    if now_s < record.avoid_until_s:
        return True
    # After the pause, the server gets one call at a time until it answers one.
    return record.avoidance_s > 0 and record.outstanding > 0


def choose_subset(local_address: str, addresses: list[str]) -> list[str]:
    """Return the servers that this node sends calls to, by rendezvous hashing.

    The subsets of all nodes cover the servers evenly and change little when a server
    joins or leaves.
    """
    if len(addresses) <= SUBSET_SIZE:
        return addresses

    def sort_key(address: str) -> int:
        return xxhash.xxh3_64_intdigest(f"{local_address}>{address}".encode())

    return sorted(addresses, key=sort_key)[:SUBSET_SIZE]
