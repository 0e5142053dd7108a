"""What a node measures of the runs of its backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from collections.abc import Collection

    from eelgrassmount.relay.routes import Route

# part of the least time that a call may take for the mean wait, and its bounds
MEAN_WAIT_SHARE = 0.3
MIN_MEAN_WAIT_S = 0.01
MAX_MEAN_WAIT_S = 0.1
MIN_SPAN_S = 0.01
# weight of a new sample in the mean of durations and failures
SAMPLE_WEIGHT = 0.05
# a run that was lost with a call of its own says so much of how its server does as one
# that ended: where nearly all are lost, a few that are blamed on it by mistake would
# else make it seem to fail
LOST_WEIGHT = 0.5
# weight of the latest step in the mean demand
LOAD_WEIGHT = 0.4
# a run is taken for silent once it takes so many times its usual duration and this
# part of its objective: most that wait for one end at their deadline, cancelled by
# the caller, so that a server that answers nothing would seem to fail nothing. Callers
# leave it after the same time
SILENT_TIMES = 4.0
SILENT_SHARE = 0.5
# duration that is assumed before the first sample
DEFAULT_RUN_S = 0.05


@define(eq=False)
class RouteStats:
    """Mean duration of the runs of a route, and how many there were."""

    run_s: float = DEFAULT_RUN_S
    runs: int = 0
    allowed_s: float = 0.0

    def add(self, seconds: float) -> None:
        """Take up the duration of a run."""
        self.runs += 1
        weight = max(SAMPLE_WEIGHT, 1.0 / self.runs)
        self.run_s += weight * (seconds - self.run_s)


@define
class DispatcherLoad:
    """Mean load of a gate.

    ``demand`` is the work that arrived as a part of what the server can do, and
    ``wait`` the mean wait as a part of what is allowed.
    """

    demand: float = 0.0
    wait: float = 0.0


@define(eq=False)
class RunMeasures:
    """Durations, failures, demand and waits at one server.

    ``mean_run_s`` is the mean duration of all runs and ``routes`` holds that of each
    route; ``failure_share`` is the share of runs that failed or stayed silent, and
    ``lost_share`` that of those that failed as a call of theirs did.
    ``arrivals`` counts the calls that came since the load was last worked out.
    """

    mean_run_s: float = DEFAULT_RUN_S
    failure_share: float = 0.0
    lost_share: float = 0.0
    load: DispatcherLoad = field(factory=DispatcherLoad)
    routes: dict[str, RouteStats] = field(factory=dict)
    arrivals: int = 0
    _queued_area: float = 0.0
    _area_s: float = 0.0
    _since_s: float = 0.0

    def add_run(self, route_name: str, seconds: float, allowed_s: float) -> None:
        """Take up the duration of a run, and what a call of its route may take."""
        self.mean_run_s += SAMPLE_WEIGHT * (seconds - self.mean_run_s)
        stats = self.routes.get(route_name)
        if stats is None:
            stats = self.routes[route_name] = RouteStats()
        stats.allowed_s = allowed_s
        stats.add(seconds)

    def record_outcome(self, failed: bool) -> None:
        """Take up whether a run failed."""
        self.failure_share += SAMPLE_WEIGHT * (failed - self.failure_share)
        self.lost_share -= SAMPLE_WEIGHT * self.lost_share

    def record_lost_run(self) -> None:
        """Take up a run that failed as a call of its did, which is not the server's.

        Taken for failures of the servers, those of the scarcest service would make the
        ones above it seem short, long after they are over.
        """
        self.lost_share += SAMPLE_WEIGHT * (1.0 - self.lost_share)
        # until its call failed, the run was well
        self.failure_share -= LOST_WEIGHT * SAMPLE_WEIGHT * self.failure_share

    def compute_silence_timeout_s(self, route: Route) -> float:
        """Return the seconds after which a run of a route is taken for silent."""
        usual_s = self.get_usual_run_s(route.name)
        return max(SILENT_SHARE * route.objective_s, SILENT_TIMES * usual_s)

    def get_usual_run_s(self, route_name: str) -> float:
        """Return the usual seconds of a run of a route."""
        stats = self.routes.get(route_name)
        return DEFAULT_RUN_S if stats is None else stats.run_s

    def record_queue_length(self, queued: int, now_s: float) -> None:
        """Take up how many calls have waited since the last time."""
        self._queued_area += (now_s - self._area_s) * queued
        self._area_s = now_s

    def update_load(self, limit: int, now_s: float) -> None:
        """Work out the load from what arrived and waited since the last time."""
        span_s = max(now_s - self._since_s, MIN_SPAN_S)
        demand = self.arrivals * self.mean_run_s / span_s / limit
        self.load.demand += LOAD_WEIGHT * (demand - self.load.demand)
        wait_s = self._queued_area / span_s * self.mean_run_s / limit
        self.load.wait = wait_s / self.compute_max_mean_wait_s()
        self._since_s = now_s
        self.arrivals = 0
        self._queued_area = 0.0

    def compute_max_mean_wait_s(self) -> float:
        """Return the mean wait at which fewer requests should be admitted.

        It follows the least time that a call of the routes that run here may take.
        """
        allowances = [stats.allowed_s for stats in self.routes.values()]
        if not allowances:
            return MAX_MEAN_WAIT_S
        allowed_s = MEAN_WAIT_SHARE * min(allowances)
        return min(MAX_MEAN_WAIT_S, max(MIN_MEAN_WAIT_S, allowed_s))

    def keep_routes(self, names: Collection[str]) -> None:
        """Forget all routes but these."""
        self.routes = {name: one for name, one in self.routes.items() if name in names}

    def reset(self) -> None:
        """Forget durations and failures, which describe one start of the server."""
        self.routes.clear()
        self.mean_run_s = DEFAULT_RUN_S
        self.failure_share = 0.0
        self.lost_share = 0.0
