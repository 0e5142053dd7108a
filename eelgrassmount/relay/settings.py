"""What a node beside its backend server is told at its start."""

from __future__ import annotations

from attrs import frozen

from eelgrassmount.util.addresses import Address


@frozen
class RelaySettings:
    """Settings of a node; times are in seconds, addresses are IPv4 with a port.

    The retry budget allows ``retry_ratio`` of a service's requests in
    ``retry_window_s`` plus ``retry_slack``, over all nodes together. A node is
    killed ``grace_s`` after it was told to stop.
    """

    name: str
    failure_domain: str
    service: str
    caller_address: Address
    peer_address: Address
    ready_address: Address
    announce_address: Address
    server_address: Address
    log_address: Address
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 10.0
    grace_s: float = 6.0
