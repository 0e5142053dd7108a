"""The choice of a server for a call."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash
from attrs import define, field, frozen

from eelgrassmount.load.exchange import FRESH_S, open_threshold
from eelgrassmount.load.state import FULL_THRESHOLD, TIERS, ServiceLoad
from eelgrassmount.verdict import Answered, MayHaveRun, Reason, Verdict

if TYPE_CHECKING:
    import random
    from collections.abc import Collection

    from eelgrassmount.blackboard import Blackboard

# servers of one service that one node sends to
SUBSET_SIZE = 12
_SUBSET_PERIOD_S = 0.25

_RAMP_S = 8.0
_RAMP_START = 0.1
_SETTLED_S = 2.0

_FAILURES_TO_AVOID = 3
_AVOID_S = 1.0
_LONGEST_AVOID_S = 15.0
_LEAVING_AVOID_S = 1.0
_LATENCY_WEIGHT = 0.1

_FAILURES = frozenset(
    {
        Reason.PEER_LOST,
        Reason.SERVER_CRASHED,
        Reason.SERVER_SILENT,
        Reason.BAD_ANSWER,
    }
)
_LEAVING = frozenset({Reason.DRAINING, Reason.NO_SERVER, Reason.SERVER_STARTING})


@define
class ServerRecord:
    """What this node has seen of one server.

    ``sent`` counts the calls sent since the server's load was last heard.
    """

    first_seen_s: float
    last_seen_s: float
    outstanding: int = 0
    sent: int = 0
    heard_s: float = 0.0
    failures: int = 0
    avoid_s: float = 0.0
    avoid_until_s: float = 0.0
    latency_s: float = 0.0


@define
class Subset:
    """The servers of one service in the own failure domain that are sent to."""

    chosen_s: float
    addresses: tuple[str, ...]


@define
class RoutingState:
    """What this node has seen of all servers it sends to, by node address."""

    began_s: float = 0.0
    records: dict[str, ServerRecord] = field(factory=dict)
    subsets: dict[str, Subset] = field(factory=dict)

    def find_record(self, address: str, now_s: float) -> ServerRecord:
        """Return the record of a server that is known to serve now.

        A server that has not been in view for a while counts as new.
        """
        record = self.records.get(address)
        if record is None:
            record = self.records[address] = ServerRecord(now_s, now_s)
            if now_s - self.began_s < _SETTLED_S:
                record.first_seen_s = now_s - _RAMP_S
        elif now_s - record.last_seen_s > _SETTLED_S:
            record.first_seen_s = now_s
        record.last_seen_s = now_s
        return record

    def note_start(self, address: str, now_s: float) -> None:
        """Note that a call is sent to a server."""
        record = self.find_record(address, now_s)
        record.outstanding += 1
        record.sent += 1

    def note_end(
        self, address: str, verdict: Verdict, latency_s: float, now_s: float
    ) -> None:
        """Note how a call ended that was sent to a server."""
        record = self.records.get(address)
        if record is None:
            return
        record.outstanding = max(0, record.outstanding - 1)
        if isinstance(verdict, Answered):
            record.failures = 0
            record.avoid_s = 0.0
            if not record.latency_s:
                record.latency_s = latency_s
            record.latency_s += _LATENCY_WEIGHT * (latency_s - record.latency_s)
        elif verdict.reason in _LEAVING:
            record.avoid_until_s = now_s + _LEAVING_AVOID_S
        elif isinstance(verdict, MayHaveRun) and verdict.reason in _FAILURES:
            self._note_failure(record, now_s)

    def _note_failure(self, record: ServerRecord, now_s: float) -> None:
        record.failures += 1
        if record.failures >= _FAILURES_TO_AVOID or record.avoid_s:
            record.avoid_s = min(max(_AVOID_S, 2.0 * record.avoid_s), _LONGEST_AVOID_S)
            record.avoid_until_s = now_s + record.avoid_s

    def refresh(self, board: Blackboard, now_s: float) -> None:
        """See which servers serve, and forget those long gone.

        Called every second or so, it tells a server that comes back from one
        that merely had no calls. Only services that this node has called matter.
        """
        for member in board.members.members.values():
            if member.service in self.subsets and member.serves:
                self.find_record(member.identity.address, now_s)
        for service in self.subsets:
            for summary in board.members.summaries.find(service):
                for address in summary.addresses:
                    self.find_record(address, now_s)
        for address, record in list(self.records.items()):
            gone_s = now_s - record.last_seen_s
            if gone_s > _LONGEST_AVOID_S and not record.outstanding:
                del self.records[address]


@frozen
class Candidate:
    """A server that may be chosen.

    ``room`` is how many calls it could still start at once, to the best of this
    node's knowledge; ``score`` is lower for a better server; ``ramp`` grows to 1
    while it is new.
    """

    address: str
    room: int
    threshold: float
    score: float
    ramp: float


def choose_server(
    board: Blackboard,
    state: RoutingState,
    service: str,
    excluded: Collection[str],
    rank: int,
    rng: random.Random,
    now_s: float,
) -> str | None:
    """Return the address of the node whose server should run a call.

    Servers of the own failure domain go first while one of them has room, then
    those of the others. Where none has room, one that still admits calls of this
    ``rank`` is preferred. ``None`` means that no server is known.
    """
    near = _find_near(board, state, service, excluded, now_s)
    room = _keep_open(near, rank, least_room=1)
    if room:
        return _pick(room, rng)
    far = _find_far(board, state, service, excluded, now_s)
    choices = (
        _keep_open(far, rank, least_room=1),
        _keep_open(near, rank),
        _keep_open(far, rank),
        near,
        far,
    )
    for candidates in choices:
        if candidates:
            return _pick(candidates, rng)
    return None


def find_room(
    board: Blackboard,
    state: RoutingState,
    service: str,
    excluded: Collection[str],
    rank: int,
    now_s: float,
) -> bool:
    """Tell whether some server is known to have room for a call of this rank."""
    near = _find_near(board, state, service, excluded, now_s)
    far = _find_far(board, state, service, excluded, now_s)
    return bool(_keep_open([*near, *far], rank, least_room=1))


def _keep_open(
    candidates: list[Candidate], rank: int, least_room: int = 0
) -> list[Candidate]:
    return [
        one for one in candidates if one.threshold > rank and one.room >= least_room
    ]


def _find_near(
    board: Blackboard,
    state: RoutingState,
    service: str,
    excluded: Collection[str],
    now_s: float,
) -> list[Candidate]:
    told: dict[str, ServiceLoad] = {}
    for address in _find_subset(board, state, service, now_s):
        member = board.members.members.get(address)
        if member is None or not member.serves or address in excluded:
            continue
        told[address] = ServiceLoad(
            service, member.threshold, member.headroom, heard_s=member.heard_s
        )
    return _make_candidates(board, state, told, now_s)


def _find_subset(
    board: Blackboard, state: RoutingState, service: str, now_s: float
) -> tuple[str, ...]:
    subset = state.subsets.get(service)
    if subset is None or now_s - subset.chosen_s >= _SUBSET_PERIOD_S:
        serving = board.members.find_serving(service)
        addresses = [member.identity.address for member in serving]
        chosen = choose_subset(board.identity.address, addresses)
        subset = state.subsets[service] = Subset(now_s, tuple(chosen))
    return subset.addresses


def _find_far(
    board: Blackboard,
    state: RoutingState,
    service: str,
    excluded: Collection[str],
    now_s: float,
) -> list[Candidate]:
    told: dict[str, ServiceLoad] = {}
    for summary in board.members.find_summaries(service):
        if summary.failure_domain == board.identity.failure_domain:
            continue
        each = -(-summary.headroom // max(summary.servers, 1))
        for address in summary.addresses:
            if address not in excluded:
                told[address] = ServiceLoad(
                    service, summary.threshold, each, heard_s=summary.heard_s
                )
    chosen = choose_subset(board.identity.address, list(told))
    told = {address: told[address] for address in chosen}
    return _make_candidates(board, state, told, now_s)


def _make_candidates(
    board: Blackboard,
    state: RoutingState,
    told: dict[str, ServiceLoad],
    now_s: float,
) -> list[Candidate]:
    candidates = []
    avoided = []
    for address, load_told in told.items():
        record = state.find_record(address, now_s)
        load = _find_latest(board, address, load_told, now_s)
        candidate = _make_candidate(address, record, load, now_s)
        if _is_avoided(record, now_s):
            avoided.append(candidate)
        else:
            candidates.append(candidate)
    return candidates or avoided


def _find_latest(
    board: Blackboard, address: str, told: ServiceLoad, now_s: float
) -> ServiceLoad:
    heard = board.loads.by_node.get(address)
    if heard is None or heard.service != told.service:
        return told
    if now_s - heard.heard_s > FRESH_S and told.heard_s > heard.heard_s:
        return told
    return heard


def _is_avoided(record: ServerRecord, now_s: float) -> bool:
    if now_s < record.avoid_until_s:
        return True
    # after the pause one call at a time until one has been answered
    return record.avoid_s > 0 and record.outstanding > 0


def _make_candidate(
    address: str, record: ServerRecord, load: ServiceLoad, now_s: float
) -> Candidate:
    if load.heard_s != record.heard_s:
        record.heard_s = load.heard_s
        record.sent = 0
    room = max(0, load.headroom - record.sent)
    threshold = open_threshold(load, now_s)
    closed = 1.0 + TIERS * (1.0 - threshold / FULL_THRESHOLD)
    score = (record.outstanding + 1.0) * closed / (room + 1.0)
    return Candidate(address, room, threshold, score, measure_ramp(record, now_s))


def measure_ramp(record: ServerRecord, now_s: float) -> float:
    """Return the part of its share that a new server is given, up to 1."""
    age_s = now_s - record.first_seen_s
    return min(1.0, _RAMP_START + (1.0 - _RAMP_START) * age_s / _RAMP_S)


def choose_subset(own_address: str, addresses: list[str]) -> list[str]:
    """Return the servers that this node sends to.

    Each node ranks the servers by a hash of both addresses, so that
    the subsets of all nodes cover the servers evenly and change little when a
    server comes or goes.
    """
    if len(addresses) <= SUBSET_SIZE:
        return addresses

    def sort_key(address: str) -> int:
        return xxhash.xxh3_64_intdigest(f"{own_address}>{address}".encode())

    return sorted(addresses, key=sort_key)[:SUBSET_SIZE]


def _pick(candidates: list[Candidate], rng: random.Random) -> str:
    # a new server takes part in a draw only in proportion to its ramp
    drawn = [one for one in candidates if rng.random() < one.ramp] or candidates
    if len(drawn) == 1:
        return drawn[0].address
    first, second = rng.sample(drawn, 2)
    return min(first, second, key=lambda one: one.score).address
