"""Measurements of the runs of the backend server of a node."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from collections.abc import Collection

    from eelgrassmount.relay.routes import Route

# Maximum mean wait: its share of the shortest time allowance, and its bounds.
MEAN_WAIT_SHARE = 0.3
MIN_MEAN_WAIT_S = 0.01
MAX_MEAN_WAIT_S = 0.1
MIN_LOAD_SPAN_S = 0.01
# Smoothing factor of run times and failures.
RUN_SMOOTHING = 0.05
# Weight, relative to a finished run, with which a run that failed by a lost call counts
# as a success of the server. Without it, a few wrongly attributed failures would make
# the server seem to fail where nearly all runs lose a call.
LOST_RUN_WEIGHT = 0.5
# Smoothing factor of demand.
DEMAND_SMOOTHING = 0.4
# A run counts as silent, and as failed, once it exceeds both this multiple of the mean
# duration and this share of its objective. Callers cancel runs at their deadline, so a
# server that answers nothing would otherwise show no failures.
SILENCE_RUN_FACTOR = 4.0
SILENCE_OBJECTIVE_SHARE = 0.5
DEFAULT_RUN_S = 0.05


@define(eq=False, repr=False)
class RouteStats:
    """Mean duration and number of a route's runs, and its time allowance."""

    run_s: float = DEFAULT_RUN_S
    runs: int = 0
    time_allowance_s: float = 0.0

    def add(self, seconds: float) -> None:
        """Add the duration of a run."""
        self.runs += 1
        weight = max(RUN_SMOOTHING, 1.0 / self.runs)
        self.run_s += weight * (seconds - self.run_s)


@define
class DispatcherLoad:
    """Mean load of a dispatcher.

    ``demand`` is the arriving work as a fraction of the capacity of the server, and
    ``wait`` the mean wait as a fraction of the maximum mean wait.
    """

    demand: float = 0.0
    wait: float = 0.0


@define(eq=False, repr=False)
class RunMeasures:
    """Durations, failures, demand and waits at one server.

    ``mean_run_s`` is the mean duration of all runs; ``routes`` has the statistics of
    each route. ``failure_share`` is the share of runs that failed or stayed silent, and
    ``lost_share`` the share of runs that failed because a call of theirs failed.
    ``arrivals`` counts the calls that arrived since the last update of the load.
    """

    mean_run_s: float = DEFAULT_RUN_S
    failure_share: float = 0.0
    lost_share: float = 0.0
    load: DispatcherLoad = field(factory=DispatcherLoad)
    routes: dict[str, RouteStats] = field(factory=dict)
    arrivals: int = 0
    _queued_call_seconds: float = 0.0
    _last_queue_sample_s: float = 0.0
    _last_update_s: float = 0.0

    def add_run(self, route_name: str, seconds: float, time_allowance_s: float) -> None:
        """Record the duration of a run, and the time allowance of its route."""
        self.mean_run_s += RUN_SMOOTHING * (seconds - self.mean_run_s)
        stats = self.routes.get(route_name)
        if stats is None:
            stats = self.routes[route_name] = RouteStats()
        stats.time_allowance_s = time_allowance_s
        stats.add(seconds)

    def record_outcome(self, failed: bool) -> None:
        """Record whether a run failed."""
        self.failure_share += RUN_SMOOTHING * (failed - self.failure_share)
        self.lost_share -= RUN_SMOOTHING * self.lost_share

    def record_lost_run(self) -> None:
        """Record a run that failed because one of its calls failed.

        This is no failure of the server. Counting it as one would make the services
        that call an overloaded one seem overloaded too.
        """
        self.lost_share += RUN_SMOOTHING * (1.0 - self.lost_share)
        # The server itself did not fail the run.
        self.failure_share -= LOST_RUN_WEIGHT * RUN_SMOOTHING * self.failure_share

    def compute_silence_timeout_s(self, route: Route) -> float:
        """Return the time in seconds after which a run of a route counts as silent."""
        mean_run_s = self.get_mean_run_s(route.name)
        return max(
            SILENCE_OBJECTIVE_SHARE * route.objective_s, SILENCE_RUN_FACTOR * mean_run_s
        )

    def get_mean_run_s(self, route_name: str) -> float:
        """Return the mean duration in seconds of a run of a route."""
        stats = self.routes.get(route_name)
        return DEFAULT_RUN_S if stats is None else stats.run_s

    def record_queue_length(self, queued: int, now_s: float) -> None:
        """Record the number of calls that have waited since the last recording."""
        self._queued_call_seconds += (now_s - self._last_queue_sample_s) * queued
        self._last_queue_sample_s = now_s

    def update_load(self, limit: float, now_s: float) -> None:
        """Update the load from the arrivals and waits since the last update.

        ``limit`` is the number of calls that can run at once.
        """
        span_s = max(now_s - self._last_update_s, MIN_LOAD_SPAN_S)
        demand = self.arrivals * self.mean_run_s / span_s / limit
        self.load.demand += DEMAND_SMOOTHING * (demand - self.load.demand)
        wait_s = self._queued_call_seconds / span_s * self.mean_run_s / limit
        self.load.wait = wait_s / self.compute_max_mean_wait_s()
        self._last_update_s = now_s
        self.arrivals = 0
        self._queued_call_seconds = 0.0

    def compute_max_mean_wait_s(self) -> float:
        """Return the mean wait in seconds above which fewer requests are admitted.

        It is a share of the shortest time allowance of the routes that run here.
        """
        allowances_s = [stats.time_allowance_s for stats in self.routes.values()]
        if not allowances_s:
            return MAX_MEAN_WAIT_S
        max_wait_s = MEAN_WAIT_SHARE * min(allowances_s)
        return min(MAX_MEAN_WAIT_S, max(MIN_MEAN_WAIT_S, max_wait_s))

    def keep_routes(self, names: Collection[str]) -> None:
        """Drop the statistics of all routes but these."""
        self.routes = {name: one for name, one in self.routes.items() if name in names}

    def reset(self) -> None:
        """Reset durations and failures, as after a restart of the server."""
        self.routes.clear()
        self.mean_run_s = DEFAULT_RUN_S
        self.failure_share = 0.0
        self.lost_share = 0.0
