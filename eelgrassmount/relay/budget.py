"""The retry budget that all nodes share."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from collections.abc import Callable

# parts of the allowed ratio that a node uses. A repeated run makes its calls again,
# which count as repeats at the services that are called: with 0.4 at each of four
# services in a chain, 21% of the calls of the third were repeats where 20% are
# allowed. So most is left to the calls that end a chain.
LAST_RATIO_SHARE = 0.35
CHAIN_RATIO_SHARE = 0.08
# part of the slack that the nodes divide among them
SLACK_SHARE = 0.4


@define
class ServiceBudget:
    """Retries of one service within the sliding window."""

    requests: deque[float] = field(factory=deque)
    retries: deque[float] = field(factory=deque)


@define(eq=False)
class RetryBudget:
    """Allows second sendings so that the sum over all nodes stays in bounds.

    Each node counts its own requests for a service in the window and may repeat a
    part of them, plus its share of the slack. ``count_nodes`` tells among how many
    the slack is divided.
    """

    clock: Callable[[], float]
    ratio: float
    window_s: float
    slack: float
    count_nodes: Callable[[], int]
    _services: dict[str, ServiceBudget] = field(factory=dict)

    def note_request(self, service: str) -> None:
        """Count a first sending."""
        budget = self._find(service)
        now_s = self.clock()
        budget.requests.append(now_s)
        self._expire(budget, now_s)

    def take(self, service: str, ends_chain: bool) -> bool:
        """Take one retry; ``False`` when the budget is spent.

        ``ends_chain`` says that a run makes no calls of its own.
        """
        budget = self._find(service)
        now_s = self.clock()
        self._expire(budget, now_s)
        part = LAST_RATIO_SHARE if ends_chain else CHAIN_RATIO_SHARE
        share = self.slack * SLACK_SHARE / max(1, self.count_nodes())
        allowed = part * self.ratio * len(budget.requests) + share
        if len(budget.retries) + 1 > allowed:
            return False
        budget.retries.append(now_s)
        return True

    def list_services(self) -> list[tuple[str, ServiceBudget]]:
        """Return the services with what counts in the window now."""
        now_s = self.clock()
        for budget in self._services.values():
            self._expire(budget, now_s)
        return sorted(self._services.items())

    def _find(self, service: str) -> ServiceBudget:
        budget = self._services.get(service)
        if budget is None:
            budget = self._services[service] = ServiceBudget()
        return budget

    def _expire(self, budget: ServiceBudget, now_s: float) -> None:
        oldest_s = now_s - self.window_s
        while budget.requests and budget.requests[0] < oldest_s:
            budget.requests.popleft()
        while budget.retries and budget.retries[0] < oldest_s:
            budget.retries.popleft()
