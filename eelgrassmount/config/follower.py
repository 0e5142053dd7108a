"""Updates the configuration in force at this node."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from attrs import define, evolve, field
from loguru import logger

from eelgrassmount.config.document import read_document
from eelgrassmount.config.exchange import ConfigExchange
from eelgrassmount.config.fold import Fold
from eelgrassmount.config.history import HistoryEntry, list_accepted
from eelgrassmount.config.publish import Publisher
from eelgrassmount.config.readers import ROTATION_INTERVAL_S, is_reader
from eelgrassmount.config.rewrite import Rewriter
from eelgrassmount.config.stream import ConfigStream, read_decisions
from eelgrassmount.log_service import LogFailure
from eelgrassmount.members.table import MemberState
from eelgrassmount.util.backoff import Backoff
from eelgrassmount.util.waiting import wait_for

if TYPE_CHECKING:
    import random

    from anyio.abc import TaskGroup

    from eelgrassmount.config.counts import ConfigCounts
    from eelgrassmount.config.publish import PublishOutcome
    from eelgrassmount.log_service import LogService
    from eelgrassmount.peer.port import Handlers, PeerPort
    from eelgrassmount.shared_node_state import SharedNodeState
    from eelgrassmount.timers import Timer, TimerService

DEFAULT_REWRITE_INTERVAL_S = 60.0

_TAIL_READ_TIMEOUT_S = 5.0
_EMPTY_PAGE_DELAY_S = 0.1
_ROLE_CHECK_INTERVAL_S = 1.0
_PROBE_INTERVAL_S = 120.0
_RESTORE_REWRITE_INTERVALS = 2.0
_FIRST_READ_DELAY_RANGE_S = (0.5, 2.0)
_FIRST_PROBE_DELAY_RANGE_S = (3.0, 10.0)
_ROLE_UPDATE_INTERVAL_S = 2.0
_QUERY_INTERVAL_S = 2.0
_REWRITE_CHECK_INTERVAL_S = 1.0
_JITTER_SHARE = 0.3


@define
class ConfigFollower:
    """Applies each accepted version, from the log or from other nodes.

    It writes ``shared_state.configuration`` and ``shared_state.log_reachable``.
    The version in force never decreases. ``seeds`` are nodes to query before any
    member is known. The version in force is appended to the log again between 1
    and 1.5 times ``rewrite_interval_s`` after the last rewrite; this must be well
    within the retention time of the log. ``tails_log`` is true while this node is
    one of those that tail the log.
    """

    shared_state: SharedNodeState
    timers: TimerService
    peers: PeerPort
    log: LogService
    rng: random.Random
    seeds: tuple[str, ...] = ()
    rewrite_interval_s: float = DEFAULT_REWRITE_INTERVAL_S
    tails_log: bool = False
    stream: ConfigStream = field(init=False)
    _exchange: ConfigExchange = field(init=False)
    _publisher: Publisher = field(init=False)
    _rewriter: Rewriter = field(init=False)
    _tasks: TaskGroup | None = None

    def __attrs_post_init__(self) -> None:
        """Create the components."""
        self.stream = ConfigStream(
            self.log, self.shared_state, self.timers.read, self._apply_fold
        )
        self._exchange = ConfigExchange(
            self.shared_state,
            self.stream,
            self.peers,
            self.rng,
            self.seeds,
            self._apply_peer_version,
        )
        self._publisher = Publisher(
            self.stream,
            self.shared_state,
            self.timers,
            self.rng,
            self._exchange.query_some,
            _RESTORE_REWRITE_INTERVALS * self.rewrite_interval_s,
        )
        self._rewriter = Rewriter(
            self.stream, self.timers, self.rng, self.rewrite_interval_s
        )

    @property
    def counts(self) -> ConfigCounts:
        """Return the counts of configuration events."""
        return self.stream.counts

    def handlers(self) -> Handlers:
        """Return the handlers of other nodes' messages."""
        return self._exchange.handlers()

    async def start(self, task_group: TaskGroup) -> None:
        """Start to follow the configuration in tasks of ``task_group``."""
        self._update_reader_role()
        self._tasks = task_group
        self._exchange.tasks = task_group
        timers = (
            self.timers.subscribe(
                _ROLE_UPDATE_INTERVAL_S, self._update_reader_role, _JITTER_SHARE
            ),
            self.timers.subscribe(
                _QUERY_INTERVAL_S, self._query_if_behind, _JITTER_SHARE
            ),
            self.timers.subscribe(
                _REWRITE_CHECK_INTERVAL_S, self._rewrite_if_due, _JITTER_SHARE
            ),
            self.timers.subscribe(_PROBE_INTERVAL_S, self._probe_log, _JITTER_SHARE),
            self.timers.schedule(
                self.rng.uniform(*_FIRST_PROBE_DELAY_RANGE_S), self._probe_log
            ),
        )
        task_group.start_soon(self._cancel_timers_at_end, timers)
        task_group.start_soon(self._tail)

    def record_announced_version(self, address: str, version: int) -> None:
        """Record that the node at ``address`` has ``version``.

        It is called for each message with a version; a newer one is fetched at
        once.
        """
        self._exchange.record_announced(address, version)

    async def publish(
        self, text: str, base: int, request_id: str = ""
    ) -> PublishOutcome:
        """Publish a text to replace version ``base``."""
        return await self._publisher.publish(text, base, request_id)

    async def history(self) -> tuple[HistoryEntry, ...]:
        """Return the accepted versions that are still known, oldest first.

        These are the versions on the log and those that this node has read before,
        which remain available while the log is unreachable.
        """
        result = await read_decisions(self.log, Fold())
        decisions = tuple(self.stream.accepted.values())
        if not isinstance(result, LogFailure):
            decisions += result.decisions
        return list_accepted(decisions, self.shared_state.configuration)

    async def _cancel_timers_at_end(self, timers: tuple[Timer, ...]) -> None:
        try:
            await anyio.sleep_forever()
        finally:
            self._tasks = self._exchange.tasks = None
            for timer in timers:
                timer.cancel()

    async def _tail(self) -> None:
        backoff = Backoff(self.rng)
        await self._exchange.query_some()
        if self.seeds and self.shared_state.configuration.version == 0:
            # without known members, every node considers itself a reader; the delay
            # lets them join first
            await wait_for(self.timers, self.rng.uniform(*_FIRST_READ_DELAY_RANGE_S))
        while True:
            if not self.tails_log:
                await wait_for(self.timers, _ROLE_CHECK_INTERVAL_S)
                continue
            page = await self.stream.read_page(_TAIL_READ_TIMEOUT_S)
            if isinstance(page, LogFailure):
                await wait_for(self.timers, backoff.fail())
                continue
            backoff.reset()
            if not page.records:
                await wait_for(self.timers, _EMPTY_PAGE_DELAY_S)

    def _update_reader_role(self) -> None:
        # hashes all members, which is too slow for each use
        live = (
            address
            for address, member in self.shared_state.members.members.items()
            if member.state is MemberState.ALIVE
        )
        epoch = int(self.timers.read() // ROTATION_INTERVAL_S)
        self.tails_log = is_reader(self.shared_state.identity.address, live, epoch)

    def _query_if_behind(self) -> None:
        # a failure domain without access to the log gets versions from others
        disconnected = self.tails_log and not self.shared_state.log_reachable
        inexact = not self.stream.fold.exact and self.tails_log
        if disconnected or inexact or self.shared_state.configuration.version == 0:
            self._spawn(self._exchange.query_some)

    def _rewrite_if_due(self) -> None:
        if (
            self.tails_log
            and self.shared_state.log_reachable
            and self._rewriter.is_due()
        ):
            self._spawn(self._rewriter.rewrite)

    def _probe_log(self) -> None:
        if not self.tails_log:
            self._spawn(self.stream.read_page, 0.0)

    def _spawn(self, function, *args) -> None:
        if self._tasks is not None:
            self._tasks.start_soon(function, *args)

    def _apply_fold(self) -> None:
        fold = self.stream.fold
        if fold.exact and fold.version > self.shared_state.configuration.version:
            self._apply_version(fold.version, fold.text, fold.next - 1, "log")

    def _apply_peer_version(self, version: int, text: str, offset: int) -> None:
        self._apply_version(version, text, offset, "peer")

    def _apply_version(self, version: int, text: str, offset: int, source: str) -> None:
        current = self.shared_state.configuration
        if version <= current.version:
            return
        reading = read_document(text)
        for problem in reading.problems:
            logger.error(
                "configuration {} line {}: {}", version, problem.line, problem.message
            )
        document = reading.document
        if reading.problems and not document.classes:
            # no class is readable: retain the document of the former version
            document = current.document
        self.shared_state.configuration = evolve(
            current, version=version, document=document, text=text, offset=offset
        )
        self.counts.applied[source] += 1
        logger.info("configuration {} is in force, from a {}", version, source)
        self._exchange.announce(to_other_domains=source == "log")
