"""Placement of keys: home failure domains, slots and ranks of nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash
from attrs import frozen

if TYPE_CHECKING:
    from collections.abc import Iterable

    from eelgrassmount.members.table import Identity

SLOT_COUNT = 64
READER_COUNT = 3
SUCCESSOR_COUNT = 2


@frozen(order=True)
class NodeId:
    """One incarnation of a node; `NO_NODE` has empty fields."""

    address: str = ""
    incarnation: str = ""

    def __bool__(self) -> bool:
        """Return whether this names a node."""
        return bool(self.incarnation)


NO_NODE = NodeId()


def identify_node(identity: Identity) -> NodeId:
    """Return the node id of an identity."""
    return NodeId(identity.address, identity.incarnation)


def find_slot(key: str) -> int:
    """Return the slot of a caller's key within its home failure domain."""
    return xxhash.xxh3_64_intdigest(key.encode()) % SLOT_COUNT


def find_home(key: str, named: str, failure_domains: tuple[str, ...]) -> str:
    """Return the failure domain that stores a key, or an empty text.

    ``named`` is the failure domain that the key names, if any. The configured list
    of failure domains never changes, so that all nodes find the same home.
    """
    if named:
        return named if named in failure_domains else ""
    if not failure_domains:
        return ""
    return max(sorted(failure_domains), key=lambda name: _compute_weight(key, name))


def sort_nodes(nodes: Iterable[NodeId]) -> list[NodeId]:
    """Return nodes in the order of address and incarnation."""
    # faster than the ordering of the attrs class
    return sorted(nodes, key=lambda node: (node.address, node.incarnation))


def rank_nodes(subject: str, nodes: Iterable[NodeId]) -> list[NodeId]:
    """Return nodes by rendezvous hash for ``subject``, the best first.

    Adding or removing a node leaves the relative order of the others unchanged.
    """
    return sorted(
        sort_nodes(nodes),
        key=lambda node: _compute_weight(subject, node.incarnation),
        reverse=True,
    )


def rank_for_slot(slot: int, nodes: Iterable[NodeId]) -> list[NodeId]:
    """Return nodes by their rank for a slot."""
    return rank_nodes(f"slot {slot}", nodes)


def choose_readers(nodes: Iterable[NodeId]) -> list[NodeId]:
    """Return the nodes that follow the stream; the first is the delegate."""
    return rank_nodes("readers", nodes)[:READER_COUNT]


def choose_successors(incarnation: str, nodes: Iterable[NodeId]) -> list[NodeId]:
    """Return the nodes that answer for a departed incarnation.

    Several nodes get its keys, so that a node that joins later and ranks first
    doesn't hide them.
    """
    others = (node for node in nodes if node.incarnation != incarnation)
    return rank_nodes(f"heirs {incarnation}", others)[:SUCCESSOR_COUNT]


def _compute_weight(subject: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{subject}\0{name}".encode())
