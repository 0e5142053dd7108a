"""What a node beside its backend server is told at its start."""

from __future__ import annotations

from collections.abc import Container

from attrs import frozen
from loguru import logger

from eelgrassmount.policy.quotas import QuotaBounds
from eelgrassmount.util.addresses import Address

# settings that may be left out, and their ranges: times of up to a day
OPTIONAL_SETTING_RANGES = {
    "retry_ratio": (0.0, 100.0),
    "retry_window_s": (0.1, 86400.0),
    "retry_slack": (0.0, 1e6),
    "grace_s": (0.0, 86400.0),
    "quota_window_s": (0.1, 86400.0),
    "quota_overage": (0.0, 100.0),
    "quota_slack": (0.0, 1e6),
}


@frozen
class RelaySettings:
    """Settings of a node; times are in seconds, addresses are IPv4 with a port.

    The retry budget allows ``retry_ratio`` of a service's requests in
    ``retry_window_s`` plus ``retry_slack``, over all nodes together. A node is
    killed ``grace_s`` after it was told to stop. In any ``quota_window_s``, all nodes
    together may run ``quota_overage`` of a team's quota more than that, and
    ``quota_slack`` requests.
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
    quota_window_s: float = 5.0
    quota_overage: float = 0.1
    quota_slack: float = 10.0

    def find_quota_bounds(self) -> QuotaBounds:
        """Return how far teams may exceed their quotas."""
        return QuotaBounds(self.quota_window_s, self.quota_overage, self.quota_slack)

    def log_defaults(self, given: Container[str]) -> None:
        """Write down which defaults are in force for what was not given.

        Those of quotas are told once a configuration has some.
        """
        defaults = {
            name: getattr(self, name)
            for name in OPTIONAL_SETTING_RANGES
            if name not in given and not name.startswith("quota_")
        }
        if defaults:
            logger.warning(
                "settings left out, defaults in force",
                node=self.name,
                defaults=defaults,
            )
