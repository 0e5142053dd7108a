"""Decides which nodes read the log, and relays its records to the others.

In each failure domain a few nodes read the log and relay new records over their links;
the other nodes subscribe to two of them. The readers are the first reachable nodes in
the order of their records. The first one of all failure domains checks the log at
short intervals. The others wait for longer and rely on it while they hear from it, as
an answer to a waiting read may be lost without notice.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

from attrs import define, field
from loguru import logger

from eelgrassmount.gen import ttypes
from eelgrassmount.policy.readers import SUBSCRIBED_READERS, choose_subscribed_readers
from eelgrassmount.relay.frames import FrameKind
from eelgrassmount.relay.tallies import Tally, add_tallies, read_tally, write_tally
from eelgrassmount.topics.follower import CHECK_WAIT_S, READ_WAIT_S
from eelgrassmount.topics.freshness import MS_PER_S, LogFreshness
from eelgrassmount.topics.local_record import compute_write_spread_s
from eelgrassmount.topics.log_epoch import EpochTracker
from eelgrassmount.topics.outage import EARLY_NODES, ReaderOutage, compute_outage_wait_s
from eelgrassmount.topics.ranking import ReaderRanking
from eelgrassmount.topics.records import RecordTable
from eelgrassmount.topics.store import StoredRecord
from eelgrassmount.topics.subscriptions import (
    MAX_NEWS_AGE_S,
    CountSums,
    Subscriber,
    Subscription,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from eelgrassmount.relay.members import Member
    from eelgrassmount.relay.shared_state import SharedState
    from eelgrassmount.topics.follower import TopicFollower

# Interval of subscribe requests. A reader that does not answer within the timeout is
# replaced; the timeout and the first read of the replacement must fit into the time
# allowed to apply a configuration.
SUBSCRIBE_INTERVAL_S = 0.75
SILENCE_TIMEOUT_S = 0.75
# Interval of counts while no service is overloaded and calls are learned. Otherwise
# each request includes counts, which are the largest part of it.
COUNTS_INTERVAL_S = 3.0
# Interval of requests while requests of clients arrive and no calls are learned.
LEARNING_INTERVAL_S = 0.25
# A silent reader is tried again after this time.
SILENT_READER_RETRY_S = 3.0
# Time without news of any reader after which a node reads by itself, at its start and
# later. The second one leaves time to replace both readers.
STARTUP_WAIT_S = 0.4
NO_READER_TIMEOUT_S = 1.2
# First and longest retry interval of readers, of the first nodes that read because no
# reader can, and of all others, whose number would multiply the calls in an outage.
READER_RETRY_INTERVALS_S = (0.2, 1.5)
EARLY_RETRY_INTERVALS_S = (2.0, 2.8)
OUTAGE_RETRY_INTERVALS_S = (1.0, 8.0)
# Age of the last confirmation from which a node that reads the log calls it instead of
# waiting longer. Shorter where the node subscribes to the one that checks the log; news
# through one more node are older. The node that checks the log is the first to call it,
# also when all nodes start together.
MAX_CHECK_AGE_S = 1.0
MAX_DIRECT_AGE_S = 2.0
MAX_RELAYED_AGE_S = 2.75
# Up to this number of readers, the first reader of each failure domain subscribes to
# the one that checks the log, and else to any reader of its failure domain.
MAX_DIRECT_READERS = 32
# Time for which a node reads on without subscribers or when it is no longer a reader.
MIN_READING_TIME_S = 3.0
# Grace time for records, after the time in which all nodes rewrite theirs.
CONFIRMATION_TIME_S = 5.0
# A longer pause of this node itself is not counted as silence of other nodes.
MAX_STEP_PAUSE_S = 0.7


@define(eq=False, repr=False)
class LogReaders:
    """Decides whether this node reads the log, and relays new records.

    A node reads while it is a reader of its failure domain, while another node
    subscribes to it, or while no reader answers or can read. If it then succeeds, it
    says so to the readers, which subscribe to it as a substitute until one of them
    reads again. ``make_tally`` returns the counts of this node;
    ``state.cluster_counts`` holds the sum over all nodes.
    """

    state: SharedState
    nodes_topic: str
    followers: list[TopicFollower]
    open_link: Callable[[Member], None]
    apply_records: Callable[[tuple[StoredRecord, ...]], None]
    make_tally: Callable[[], Tally]
    epoch_tracker: EpochTracker = field(factory=EpochTracker)
    record_table: RecordTable = field(factory=RecordTable)
    ranking: ReaderRanking = field(init=False)
    freshness: LogFreshness = field(init=False)
    sums: CountSums = field(factory=CountSums)
    started: bool = False
    reading: bool = False
    is_reader: bool = False
    subscriptions: dict[str, Subscription] = field(factory=dict)
    subscribers: dict[str, Subscriber] = field(factory=dict)
    substitutes: list[str] = field(factory=list)
    _silent_until_s: dict[str, float] = field(factory=dict)
    _announced: tuple[bool, bool] = (False, False)
    _outage: ReaderOutage = field(init=False)
    _last_step_s: float = -math.inf
    _reader_seen_s: float = -math.inf
    _news_received_s: float = -math.inf
    _read_until_s: float = -math.inf
    _reading_since_s: float = math.inf
    _first_reader: str = ""
    _confirmation_due_s: float = math.inf

    def __attrs_post_init__(self) -> None:
        """Rank by the record table, and reset it on a new log epoch."""
        self.ranking = ReaderRanking(self.state.members, self.record_table)
        self.freshness = LogFreshness(self.followers, self.state.clock)
        self._outage = ReaderOutage(self._compute_outage_wait_s)
        self.epoch_tracker.on_advance.append(self.reset)

    def reset(self) -> None:
        """Read all records again after the log was restored from an older copy.

        Other nodes are notified at once. Nodes whose records are missing get time to
        write them again.
        """
        self.record_table.reset()
        self.freshness.reset()
        nodes = len(self.state.members.by_name)
        self._confirmation_due_s = (
            self.state.clock() + compute_write_spread_s(nodes) + CONFIRMATION_TIME_S
        )
        for follower in self.followers:
            follower.restart()
        for subscriber in self.subscribers.values():
            subscriber.next_offset = 0
        self.publish()

    def _forget_unconfirmed(self, now_s: float) -> None:
        """Remove nodes that have not written their records again."""
        if now_s < self._confirmation_due_s or not self.record_table.next_offset:
            return
        self._confirmation_due_s = math.inf
        members = self.state.members
        missing = [
            name
            for name in self.record_table.list_unconfirmed()
            if name in members.by_name and not members.by_name[name].is_connected()
        ]
        self.record_table.forget_previous()
        for name in missing:
            if name != self.state.name:
                members.remove(name)
        logger.info("unconfirmed records forgotten", gone=len(missing))

    def start(self) -> None:
        """Start, with the nodes known so far from the log or from links."""
        if self.started:
            return
        self.started = True
        now_s = self.state.clock()
        self._news_received_s = max(
            self._news_received_s, now_s - NO_READER_TIMEOUT_S + STARTUP_WAIT_S
        )
        self.step()

    def step(self) -> None:
        """Choose the readers, and subscribe to those of this node."""
        if not self.started:
            return
        now_s = self.state.clock()
        if now_s - self._last_step_s > MAX_STEP_PAUSE_S:
            self._extend_timeouts(now_s)
        self._last_step_s = now_s
        self._expire(now_s)
        self._forget_unconfirmed(now_s)
        readers = self.list_readers(self.state.failure_domain, now_s)
        self.is_reader = self.state.name in readers
        subscribed = choose_subscribed_readers(self.state.name, readers)
        if self._subscribes_to_remote(readers):
            subscribed += self._choose_remote_readers(now_s)
        self._dismiss_substitutes(subscribed, now_s)
        subscribed += self.substitutes
        self.subscriptions = {
            name: self.subscriptions.get(name) or Subscription() for name in subscribed
        }
        for name, subscription in self.subscriptions.items():
            self._subscribe_if_due(name, subscription, now_s)
        self._update_reading(now_s)
        self._first_reader = self._find_first_reader()
        self._check_log_if_due()
        self.announce_change()
        self._offer_to_readers(now_s)
        self._update_cluster_counts(now_s)
        self.freshness.report(self.state.table.version, self.reading)

    def _extend_timeouts(self, now_s: float) -> None:
        for one in self.subscriptions.values():
            if one.unanswered_since_s < now_s:
                one.unanswered_since_s = now_s
        self._news_received_s = max(
            self._news_received_s, now_s - NO_READER_TIMEOUT_S / 2
        )

    def _expire(self, now_s: float) -> None:
        for name, one in self.subscriptions.items():
            if now_s - one.unanswered_since_s > SILENCE_TIMEOUT_S:
                self._silent_until_s[name] = now_s + SILENT_READER_RETRY_S
        self._silent_until_s = {
            name: until_s
            for name, until_s in self._silent_until_s.items()
            if until_s > now_s
        }
        self.subscribers = {
            name: one
            for name, one in self.subscribers.items()
            if now_s - one.received_s <= MAX_NEWS_AGE_S
        }

    def list_readers(self, failure_domain: str, now_s: float) -> list[str]:
        """Return the readers of a failure domain as this node sees them."""
        # Preferred readers are reconnected even while others replace them.
        for name in self.ranking.list_preferred(failure_domain):
            self._connect(name, now_s)
        return self.ranking.list_readers(failure_domain, self._is_usable)

    def _is_usable(self, name: str) -> bool:
        if name == self.state.name:
            return not self.state.closing
        member = self.state.members.by_name.get(name)
        return (
            member is not None
            and not member.connect_failures
            and name not in self._silent_until_s
        )

    def _subscribes_to_remote(self, readers: list[str]) -> bool:
        """Return whether this node subscribes to readers of other failure domains.

        One reader is enough if all nodes subscribe to it; this halves the traffic
        between failure domains.
        """
        if len(readers) <= SUBSCRIBED_READERS:
            return self.is_reader and readers[0] == self.state.name
        return self.is_reader

    def _choose_remote_readers(self, now_s: float) -> list[str]:
        """Return one reader of each other failure domain."""
        local_domain = self.state.failure_domain
        is_direct = self.ranking.count_readers() <= MAX_DIRECT_READERS
        chosen = []
        for domain in sorted(self.ranking.list_domains()):
            if domain == local_domain:
                continue
            readers = self.list_readers(domain, now_s)
            if is_direct and self._first_reader in readers:
                chosen.append(self._first_reader)
            else:
                chosen += choose_subscribed_readers(self.state.name, readers, 1)
        return chosen

    def _dismiss_substitutes(self, readers: list[str], now_s: float) -> None:
        """Forget substitutes that can't be used, and all when a reader reads."""
        is_needed = self.is_reader and not self.can_read_log()
        for name in readers:
            one = self.subscriptions.get(name)
            if one is not None and one.reads and one.is_fresh(now_s):
                is_needed = False
        self.substitutes = [
            name
            for name in self.substitutes
            if is_needed and self._is_usable(name) and name not in readers
        ]

    def _add_substitute(self, name: str) -> None:
        """Subscribe to a node that reads the log although it is no reader."""
        is_needed = self.is_reader and not self.is_current()
        # A reader that starts has not read yet, but needs no substitute.
        has_failed = any(not one.reachable for one in self.followers)
        if not (is_needed and has_failed and self._is_usable(name)):
            return
        logger.info("log read by another node", node_name=name)
        self.substitutes.append(name)
        self.step()

    def _connect(self, name: str, now_s: float) -> None:
        member = self.state.members.by_name.get(name)
        if member is None or name == self.state.name or member.is_connected():
            return
        if now_s >= member.retry_at_s:
            self.open_link(member)

    def _subscribe_if_due(
        self, name: str, subscription: Subscription, now_s: float
    ) -> None:
        member = self.state.members.by_name[name]
        if not member.is_connected():
            self._connect(name, now_s)
            subscription.unanswered_since_s = min(
                subscription.unanswered_since_s, now_s
            )
            subscription.sent_s = -math.inf
        elif now_s - subscription.sent_s >= self._compute_subscribe_interval_s():
            self._send_subscribe(member, subscription, now_s)

    def _send_subscribe(
        self, member: Member, subscription: Subscription, now_s: float
    ) -> None:
        with_counts = (
            now_s - subscription.counts_sent_s >= self._compute_counts_interval_s()
        )
        if with_counts:
            subscription.counts_sent_s = now_s
        is_local = member.failure_domain == self.state.failure_domain
        request = ttypes.RelaySubscribe(
            self.state.name,
            self.state.failure_domain,
            self.record_table.next_offset,
            write_tally(self.make_tally() if is_local and with_counts else Tally()),
            with_counts,
            self.epoch_tracker.current,
            math.floor(now_s * MS_PER_S),
        )
        subscription.sent_s = now_s
        subscription.unanswered_since_s = min(subscription.unanswered_since_s, now_s)
        member.link.send(FrameKind.SUBSCRIBE, request)

    def _compute_subscribe_interval_s(self) -> float:
        """Return the seconds between two subscribe requests to a reader.

        While requests arrive and no calls are learned, counts are exchanged more often:
        requests admitted without them may be lost in a surge.
        """
        state = self.state
        is_learning = state.request_counts and not state.graph.has_learned_calls()
        return LEARNING_INTERVAL_S if is_learning else SUBSCRIBE_INTERVAL_S

    def _compute_counts_interval_s(self) -> float:
        """Return the seconds between two exchanges of counts."""
        state = self.state
        has_learned = state.graph.has_learned_calls()
        is_overloaded = any(
            control.admitted_fraction < 1.0
            for control in state.admission_controllers.values()
        )
        return (
            self._compute_subscribe_interval_s()
            if is_overloaded or not has_learned
            else COUNTS_INTERVAL_S
        )

    def handle_connected(self, member: Member) -> None:
        """Subscribe at once to a reader whose link has come up."""
        subscription = self.subscriptions.get(member.name)
        if subscription is not None and member.is_connected():
            self._send_subscribe(member, subscription, self.state.clock())

    def _must_read_unchosen(self, now_s: float) -> bool:
        """Return whether this node has to read as no reader answers or can read."""
        if now_s - self._reader_seen_s > NO_READER_TIMEOUT_S:
            return now_s - self._news_received_s > NO_READER_TIMEOUT_S
        return self._outage.has_lasted(now_s)

    def _update_outage(self, now_s: float) -> None:
        local = [
            one for name, one in self.subscriptions.items() if self._is_local(name)
        ]
        served = any(one.is_fresh(now_s) and (one.reads or one.hears) for one in local)
        self._outage.update(served, now_s)

    def _is_local(self, name: str) -> bool:
        member = self.state.members.by_name.get(name)
        return member is not None and (
            member.failure_domain == self.state.failure_domain
        )

    def _compute_outage_wait_s(self) -> float:
        others = self._list_unpreferred()
        return compute_outage_wait_s(self.state.name, others, self.state.rng)

    def _update_reading(self, now_s: float) -> None:
        without_news_s = now_s - self._news_received_s
        if self.is_reader or self.subscribers or self._must_read_unchosen(now_s):
            self._read_until_s = now_s + MIN_READING_TIME_S
        reading = now_s < self._read_until_s
        retry_intervals_s = self._find_retry_intervals_s()
        for follower in self.followers:
            follower.set_retry_intervals(*retry_intervals_s)
            follower.set_wanted(reading)
        if reading == self.reading:
            return
        self.reading = reading
        self._reading_since_s = now_s
        logger.info(
            "reading the log" if reading else "log received from readers",
            chosen=self.is_reader,
            subscribers=len(self.subscribers),
            readers=sorted(self.subscriptions),
            unheard_s=None if math.isinf(without_news_s) else round(without_news_s, 3),
        )

    def _find_retry_intervals_s(self) -> tuple[float, float]:
        if self.is_reader or self.subscribers:
            return READER_RETRY_INTERVALS_S
        if self.state.name in self._list_unpreferred()[:EARLY_NODES]:
            return EARLY_RETRY_INTERVALS_S
        return OUTAGE_RETRY_INTERVALS_S

    def _list_unpreferred(self) -> list[str]:
        """Return the nodes of this failure domain that are not preferred as readers."""
        domain = self.state.failure_domain
        ranked = self.ranking.list_domains().get(domain, [])
        return ranked[len(self.ranking.list_preferred(domain)) :]

    def _find_first_reader(self) -> str:
        """Return the first reader of all failure domains as this node sees them."""
        for domain in sorted(self.ranking.list_domains()):
            readers = self.ranking.list_readers(domain, self._is_usable)
            if readers:
                return readers[0]
        return ""

    @property
    def checks_log(self) -> bool:
        """Whether this node checks the log at short intervals for all others."""
        return self._first_reader == self.state.name

    def _find_max_age_s(self) -> float:
        """Return the age from which this node itself has to check the log."""
        if self.checks_log:
            return MAX_CHECK_AGE_S
        is_direct = self._first_reader in self.subscriptions
        return MAX_DIRECT_AGE_S if is_direct else MAX_RELAYED_AGE_S

    def find_read_wait_s(self) -> float:
        """Return how long the next read of this node waits for records."""
        if not self._must_check_log():
            return READ_WAIT_S
        max_age_s = self._find_max_age_s()
        now_s = self.state.clock()
        if now_s - self._reading_since_s <= max_age_s:
            # A node that starts reads only until it knows the readers.
            return READ_WAIT_S
        hears = now_s - self.freshness.received_s <= max_age_s
        return READ_WAIT_S if hears and not self.checks_log else CHECK_WAIT_S

    def _follows(self, name: str) -> bool:
        """Return whether this reader checks the log as soon as another one loses it.

        Readers follow those of higher rank only, so that no two of them make each other
        check the log in turn.
        """
        if not self.is_reader or self.checks_log:
            return False
        if name == self._first_reader:
            return True
        names = self.ranking.list_domains().get(self.state.failure_domain, [])
        rank = names.index(self.state.name) if self.state.name in names else 0
        return name in names[:rank]

    def _must_check_log(self) -> bool:
        """Return whether no other node may notice a lost answer for this one."""
        is_chosen = self.is_reader or bool(self.subscribers)
        return is_chosen or not self.has_fresh_reader()

    def _check_log_if_due(self) -> None:
        if not self.reading or not self._must_check_log():
            return
        if self.freshness.compute_age_s() > self._find_max_age_s():
            for follower in self.followers:
                follower.check_now()

    def can_read_log(self) -> bool:
        """Return whether this node reads the log itself, successfully."""
        return bool(self.followers) and all(one.is_current() for one in self.followers)

    def has_fresh_reader(self) -> bool:
        """Return whether a reader that reads the log has answered recently."""
        now_s = self.state.clock()
        return any(
            one.reads and one.is_fresh(now_s) for one in self.subscriptions.values()
        )

    def is_current(self) -> bool:
        """Return whether this node knows the current records of the log."""
        return self.can_read_log() or self.has_fresh_reader()

    def record_read(self, records: tuple[StoredRecord, ...], next_offset: int) -> None:
        """Apply records that this node has read, and relay them."""
        before = self.record_table.next_offset
        self.record_table.apply(records, next_offset)
        if next_offset > before:
            self.publish()

    def announce_change(self) -> None:
        """Tell subscribers at once when this node begins or ceases to read or hear."""
        state = (self.can_read_log(), self.has_fresh_reader())
        if state != self._announced:
            self._announced = state
            self.publish()

    def _offer_to_readers(self, now_s: float) -> None:
        """Tell readers that can't read the log that this node reads it."""
        if not self._outage.has_lasted(now_s) or not self.can_read_log():
            return
        news = self._make_news([], 0, Tally(), None)
        for name in self.subscriptions:
            member = self.state.members.by_name[name]
            if member.is_connected():
                member.link.send(FrameKind.NEWS, news)

    def publish(self) -> None:
        """Send new records, or the current version, to all subscribers."""
        for subscriber in self.subscribers.values():
            self._send_news(subscriber)

    def handle_subscribe(
        self, struct: ttypes.RelaySubscribe, send: Callable[[FrameKind, Any], None]
    ) -> None:
        """Record a subscription of another node, and answer it."""
        self.epoch_tracker.advance_to(struct.era)
        known = self.subscribers.get(struct.node_name)
        tally = read_tally(struct.tally)
        if known is not None and not tally.nodes:
            tally = known.tally
        subscriber = Subscriber(
            send,
            struct.failure_domain == self.state.failure_domain,
            self.state.clock(),
            # An offset of another epoch is meaningless.
            struct.next_offset if struct.era == self.epoch_tracker.current else 0,
            tally,
            struct.sent_ms,
        )
        is_first = not self.subscribers
        self.subscribers[struct.node_name] = subscriber
        if is_first:
            self._update_reading(self.state.clock())
        self._send_news(subscriber, struct.with_counts)

    def _send_news(self, subscriber: Subscriber, with_counts: bool = False) -> None:
        records = []
        if self.record_table.next_offset > subscriber.next_offset:
            records = [
                ttypes.RelayRecord(one.key, one.value, max(0, one.offset))
                for one in self.record_table.list_since(subscriber.next_offset)
            ]
            subscriber.next_offset = self.record_table.next_offset
        counts = Tally()
        if with_counts:
            counts = self.sums.total if subscriber.is_local else self.sums.local
        news = self._make_news(
            records, self.record_table.next_offset, counts, subscriber.request_ms
        )
        subscriber.send(FrameKind.NEWS, news)

    def _make_news(
        self,
        records: list[ttypes.RelayRecord],
        next_offset: int,
        counts: Tally,
        request_ms: int | None,
    ) -> ttypes.RelayNews:
        age_s = self.freshness.compute_age_s()
        return ttypes.RelayNews(
            self.state.name,
            self.can_read_log(),
            self.has_fresh_reader(),
            self.state.table.version,
            next_offset,
            records,
            write_tally(counts),
            self.epoch_tracker.current,
            request_ms,
            None if math.isinf(age_s) else math.ceil(age_s * MS_PER_S),
        )

    def handle_news(self, news: ttypes.RelayNews) -> None:
        """Apply the records and counts sent by a reader.

        A later configuration version is requested elsewhere.
        """
        now_s = self.state.clock()
        self.epoch_tracker.advance_to(news.era)
        subscription = self.subscriptions.get(news.node_name)
        if subscription is not None:
            lost = subscription.reads and not news.reads
            self._update_subscription(news, subscription, now_s)
            if lost and self._follows(news.node_name):
                for follower in self.followers:
                    follower.verify()
        elif news.reads:
            self._add_substitute(news.node_name)
        self._update_outage(now_s)
        self.announce_change()
        if news.era != self.epoch_tracker.current:
            return
        if news.next_offset > self.record_table.next_offset:
            self._apply_news_records(news)
        self._confirm_records(news)

    def _apply_news_records(self, news: ttypes.RelayNews) -> None:
        records = tuple(
            StoredRecord(one.key, one.value, one.offset) for one in news.records
        )
        self.apply_records(records)
        for follower in self.followers:
            if follower.topic == self.nodes_topic:
                follower.skip_to(news.next_offset)
        self.record_read(records, news.next_offset)

    def _confirm_records(self, news: ttypes.RelayNews) -> None:
        """Note how recent the records are if this node has all that the sender has."""
        if news.request_ms is None or news.log_age_ms is None:
            return
        is_behind = (
            news.config_version > self.state.table.version
            or news.next_offset > self.record_table.next_offset
        )
        if not is_behind:
            confirmed_s = (news.request_ms - news.log_age_ms) / MS_PER_S
            self.freshness.receive(confirmed_s, news.node_name)

    def _update_subscription(
        self, news: ttypes.RelayNews, subscription: Subscription, now_s: float
    ) -> None:
        subscription.unanswered_since_s = math.inf
        subscription.received_s = now_s
        subscription.reads = news.reads
        subscription.hears = news.hears
        if news.tally.nodes:
            subscription.tally = read_tally(news.tally)
        if not self._is_local(news.node_name):
            return
        self._reader_seen_s = now_s
        if news.reads or news.hears:
            self._news_received_s = now_s

    def _sum_local_counts(self) -> Tally:
        """Return the counts of this failure domain from its subscribers."""
        received = [one.tally for one in self.subscribers.values() if one.is_local]
        tally = add_tallies([self.make_tally(), *received])
        domain = self.state.failure_domain
        nodes = len(self.ranking.list_domains().get(domain, []))
        if len(self.ranking.list_preferred(domain)) > SUBSCRIBED_READERS:
            # With more readers than subscriptions per node, a reader gets only a part.
            tally.scale(nodes / max(1, tally.nodes))
        return tally

    def _update_cluster_counts(self, now_s: float) -> None:
        """Add up the received counts, and choose the sum that covers most nodes."""
        members = self.state.members.by_name
        local, remote = [], []
        for name, one in self.subscriptions.items():
            is_local = members[name].failure_domain == self.state.failure_domain
            if one.is_fresh(now_s):
                (local if is_local else remote).append(one.tally)
        self.sums.update(self._sum_local_counts(), remote)
        found = [self.sums.total, *local]
        self.state.cluster_counts = max(found, key=lambda tally: tally.nodes)
