"""Chooses a server for each call."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

from eelgrassmount.load.exchange import MAX_FRESH_AGE_S, compute_effective_threshold
from eelgrassmount.load.servers import (
    RoutingState,
    ServerRecord,
    Subset,
    choose_subset,
    compute_ramp,
    should_avoid,
)
from eelgrassmount.load.state import FULL_THRESHOLD, TIERS, ServiceLoad

if TYPE_CHECKING:
    import random
    from collections.abc import Collection

    from eelgrassmount.shared_node_state import SharedNodeState

_SUBSET_INTERVAL_S = 0.25


@frozen
class Candidate:
    """A server that may be chosen.

    ``headroom`` is how many calls it could start at once, by its last report less the
    calls sent since. Lower values of ``score`` are better. ``ramp`` grows to 1 while
    the server is new.
    """

    address: str
    headroom: int
    threshold: float
    score: float
    ramp: float


def choose_server(
    shared_state: SharedNodeState,
    state: RoutingState,
    service: str,
    excluded: Collection[str],
    rank: int,
    rng: random.Random,
    now_s: float,
) -> str | None:
    """Return the address of the node whose server should run a call.

    Servers of the local failure domain with headroom go first, then remote servers with
    headroom, then servers that still admit calls of this ``rank``. ``None`` means that
    no server is known.
    """
    local = _list_local(shared_state, state, service, excluded, now_s)
    open_local = _select_open(local, rank, min_headroom=1)
    if open_local:
        return _pick(open_local, rng)
    remote = _list_remote(shared_state, state, service, excluded, now_s)
    choices = (
        _select_open(remote, rank, min_headroom=1),
        _select_open(local, rank),
        _select_open(remote, rank),
        local,
        remote,
    )
    for candidates in choices:
        if candidates:
            return _pick(candidates, rng)
    return _choose_from_held(shared_state, service, excluded, rng)


def _choose_from_held(
    shared_state: SharedNodeState,
    service: str,
    excluded: Collection[str],
    rng: random.Random,
) -> str | None:
    # A service without other servers uses the members that are held back.
    held = [
        member.identity.address for member in shared_state.members.find_held(service)
    ]
    usable = [address for address in held if address not in excluded]
    return rng.choice(usable) if usable else None


def has_open_server(
    shared_state: SharedNodeState,
    state: RoutingState,
    service: str,
    excluded: Collection[str],
    rank: int,
    now_s: float,
) -> bool:
    """Return whether a known server has headroom for a call of this rank."""
    local = _list_local(shared_state, state, service, excluded, now_s)
    remote = _list_remote(shared_state, state, service, excluded, now_s)
    return bool(_select_open([*local, *remote], rank, min_headroom=1))


def _select_open(
    candidates: list[Candidate], rank: int, min_headroom: int = 0
) -> list[Candidate]:
    return [
        one
        for one in candidates
        if one.threshold > rank and one.headroom >= min_headroom
    ]


def _list_local(
    shared_state: SharedNodeState,
    state: RoutingState,
    service: str,
    excluded: Collection[str],
    now_s: float,
) -> list[Candidate]:
    reported: dict[str, ServiceLoad] = {}
    for address in _find_subset(shared_state, state, service, now_s):
        member = shared_state.members.members.get(address)
        if member is None or not member.serves or address in excluded:
            continue
        reported[address] = ServiceLoad(
            service, member.threshold, member.headroom, received_s=member.received_s
        )
    return _make_candidates(shared_state, state, reported, now_s)


def _find_subset(
    shared_state: SharedNodeState, state: RoutingState, service: str, now_s: float
) -> tuple[str, ...]:
    subset = state.subsets.get(service)
    if subset is None or now_s - subset.chosen_s >= _SUBSET_INTERVAL_S:
        serving = shared_state.members.find_serving(service)
        addresses = [member.identity.address for member in serving]
        chosen = choose_subset(shared_state.identity.address, addresses)
        subset = state.subsets[service] = Subset(now_s, tuple(chosen))
    return subset.addresses


def _list_remote(
    shared_state: SharedNodeState,
    state: RoutingState,
    service: str,
    excluded: Collection[str],
    now_s: float,
) -> list[Candidate]:
    reported: dict[str, ServiceLoad] = {}
    for summary in shared_state.members.find_summaries(service):
        if summary.failure_domain == shared_state.identity.failure_domain:
            continue
        each = -(-summary.headroom // max(summary.servers, 1))
        for address in summary.addresses:
            if address not in excluded:
                reported[address] = ServiceLoad(
                    service, summary.threshold, each, received_s=summary.received_s
                )
    chosen = choose_subset(shared_state.identity.address, list(reported))
    reported = {address: reported[address] for address in chosen}
    return _make_candidates(shared_state, state, reported, now_s)


def _make_candidates(
    shared_state: SharedNodeState,
    state: RoutingState,
    reported: dict[str, ServiceLoad],
    now_s: float,
) -> list[Candidate]:
    candidates = []
    avoided = []
    for address, reported_load in reported.items():
        record = state.find_record(address, now_s)
        load = _find_latest(shared_state, address, reported_load, now_s)
        candidate = _make_candidate(address, record, load, now_s)
        if should_avoid(record, now_s):
            avoided.append(candidate)
        else:
            candidates.append(candidate)
    return candidates or avoided


def _find_latest(
    shared_state: SharedNodeState, address: str, reported: ServiceLoad, now_s: float
) -> ServiceLoad:
    direct = shared_state.loads.by_node.get(address)
    if direct is None or direct.service != reported.service:
        return reported
    if (
        now_s - direct.received_s > MAX_FRESH_AGE_S
        and reported.received_s > direct.received_s
    ):
        return reported
    return direct


def _make_candidate(
    address: str, record: ServerRecord, load: ServiceLoad, now_s: float
) -> Candidate:
    if load.received_s != record.load_received_s:
        record.load_received_s = load.received_s
        record.sent_since_report = 0
    headroom = max(0, load.headroom - record.sent_since_report)
    threshold = compute_effective_threshold(load, now_s)
    closed_weight = 1.0 + TIERS * (1.0 - threshold / FULL_THRESHOLD)
    score = (record.outstanding + 1.0) * closed_weight / (headroom + 1.0)
    return Candidate(address, headroom, threshold, score, compute_ramp(record, now_s))


def _pick(candidates: list[Candidate], rng: random.Random) -> str:
    # A new server takes part in a draw with the probability of its ramp.
    drawn = [one for one in candidates if rng.random() < one.ramp] or candidates
    if len(drawn) == 1:
        return drawn[0].address
    first, second = rng.sample(drawn, 2)
    return min(first, second, key=lambda one: one.score).address
