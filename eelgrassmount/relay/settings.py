"""What a node beside its backend server is told at its start."""

from __future__ import annotations

from collections.abc import Container

from attrs import frozen
from loguru import logger

from eelgrassmount.util.addresses import Address

# settings that may be left out, and their ranges: times of up to a day
RANGES = {
    "retry_ratio": (0.0, 100.0),
    "retry_window_s": (0.1, 86400.0),
    "retry_slack": (0.0, 1e6),
    "grace_s": (0.0, 86400.0),
}


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

    def tell_defaults(self, given: Container[str]) -> None:
        """Write down which defaults are in force for what was not given."""
        defaults = {name: getattr(self, name) for name in RANGES if name not in given}
        if defaults:
            logger.warning(
                "settings left out, defaults in force",
                node=self.name,
                defaults=defaults,
            )
