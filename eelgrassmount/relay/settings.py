"""Settings of a node."""

from __future__ import annotations

from collections.abc import Container

from attrs import frozen
from loguru import logger

from eelgrassmount.policy.quotas import QuotaBounds
from eelgrassmount.util.addresses import Address

# Smallest and largest value of each optional setting; times are at most a day.
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

    Over all nodes, the retry budget of a service is ``retry_ratio`` of its requests in
    ``retry_window_s`` plus ``retry_slack`` retries. A node is killed ``grace_s`` after
    the request to stop. In any ``quota_window_s``, all nodes together may exceed a
    team's quota by the share ``quota_overage`` plus ``quota_slack`` requests.
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
        """Return the limits by which teams may exceed their quotas."""
        return QuotaBounds(self.quota_window_s, self.quota_overage, self.quota_slack)

    def log_defaults(self, given: Container[str]) -> None:
        """Log the defaults of the settings that are not in ``given``.

        Defaults of quotas are not among them; the node logs its quota limits when it
        receives a configuration with quotas.
        """
        defaults = {
            name: getattr(self, name)
            for name in OPTIONAL_SETTING_RANGES
            if name not in given and not name.startswith("quota_")
        }
        if defaults:
            logger.warning(
                "settings missing, using defaults",
                node=self.name,
                defaults=defaults,
            )
