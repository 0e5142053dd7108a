"""Where keys live: home failure domains, slots and ranks of nodes."""

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
    """One incarnation of a node; both parts are empty for no node."""

    address: str = ""
    incarnation: str = ""

    def __bool__(self) -> bool:
        """Tell whether this names a node at all."""
        return bool(self.incarnation)


NO_NODE = NodeId()


def identify_node(identity: Identity) -> NodeId:
    """Return the id of the node with an identity."""
    return NodeId(identity.address, identity.incarnation)


def find_slot(key: str) -> int:
    """Return the slot of a caller's own key inside its home failure domain."""
    return xxhash.xxh3_64_intdigest(key.encode()) % SLOT_COUNT


def find_home(key: str, named: str, failure_domains: tuple[str, ...]) -> str:
    """Return the failure domain that remembers a key, empty if there is none.

    ``named`` is the failure domain that the key itself names, if any. The list
    of failure domains never changes once it has been set, so that every node
    finds the same one at any time.
    """
    if named:
        return named if named in failure_domains else ""
    if not failure_domains:
        return ""
    return max(sorted(failure_domains), key=lambda name: _compute_weight(key, name))


def sort_nodes(nodes: Iterable[NodeId]) -> list[NodeId]:
    """Return nodes in the order of their names."""
    # several times faster than by the order that the class itself defines
    return sorted(nodes, key=lambda node: (node.address, node.incarnation))


def rank_nodes(subject: str, nodes: Iterable[NodeId]) -> list[NodeId]:
    """Return nodes by rendezvous hash, the first choice for ``subject`` first.

    A node that comes or goes changes only the ranks that it takes itself.
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
    """Return the few nodes that tail the stream; the first is the delegate."""
    return rank_nodes("readers", nodes)[:READER_COUNT]


def choose_successors(incarnation: str, nodes: Iterable[NodeId]) -> list[NodeId]:
    """Return the nodes that answer for an incarnation which has left.

    The answers are given to more than one, so that a node which joins later
    and takes the first rank does not hide them.
    """
    others = (node for node in nodes if node.incarnation != incarnation)
    return rank_nodes(f"heirs {incarnation}", others)[:SUCCESSOR_COUNT]


def _compute_weight(subject: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{subject}\0{name}".encode())
