"""Health checks of the server that a starting node finds beside it."""

from __future__ import annotations

from enum import Enum, auto
from typing import TYPE_CHECKING

from attrs import define
from loguru import logger

from eelgrassmount.http1.client import ClientAnswer, ExchangeFailure
from eelgrassmount.relay.server_identity import Source
from eelgrassmount.relay.server_statements import apply_health_statements

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from eelgrassmount.relay.backend import BackendPool
    from eelgrassmount.relay.header_codec import AnswerHead, HeaderCodec
    from eelgrassmount.relay.server import LocalServer

# Health checks have no request id.
NO_REQUEST_ID = b""
# A health check waits for a slot of the server.
HEALTH_CHECK_TIMEOUT_S = 5.0
# Longest time for which calls wait for the first answer.
MAX_FIRST_WAIT_S = 1.0
# Delays before the next check of a server that stops or fails, and after a check that
# shows nothing.
UNHEALTHY_DELAY_S = 1.0
UNCLEAR_DELAY_S = 0.25
# Checks in a row that show nothing, after which no more are sent.
MAX_UNCLEAR_CHECKS = 5
UNHEALTHY_STATUS = 503


class Health(Enum):
    """What a health check shows."""

    HEALTHY = auto()
    UNHEALTHY = auto()  # the server stops or fails
    ABSENT = auto()  # there is no server
    UNCLEAR = auto()  # rejected for want of a slot, or no valid answer


@define(eq=False, repr=False)
class StartupCheck:
    """Checks the health of the server until it shows that the server takes calls.

    An earlier process of this node may have acknowledged that the server stops. A
    starting node doesn't know, and a heartbeat that says otherwise may be late, from
    before the stop; the health of a server shows its present state. ``find_path``
    returns the path of health checks, ``None`` while it is unknown. The answer names
    no service: ``check_settings`` reads the settings again, which name that of the
    server at the address. ``on_change`` is called when calls become possible or stop.

    Before the first answer the server gets no calls, for `MAX_FIRST_WAIT_S` at most. A
    check that shows nothing is repeated, but doesn't keep calls from a server whose
    health can't be read.
    """

    server: LocalServer
    pool: BackendPool
    header_codec: HeaderCodec
    find_path: Callable[[], str | None]
    check_settings: Callable[[], None]
    on_change: Callable[[], None]
    call_later: Callable[[float, Callable[[], None]], asyncio.Handle | None]
    _is_enabled: bool = False
    _is_started: bool = False
    _is_unhealthy: bool = False
    _unclear: int = 0

    def enable(self) -> None:
        """Allow checks, which need a running event loop."""
        self._is_enabled = True

    def end(self) -> None:
        """Send no further checks."""
        self._is_enabled = False

    def start(self) -> None:
        """Begin with the checks, once they are allowed and their path is known."""
        if self._is_started or not self._is_enabled or self.find_path() is None:
            return
        self._is_started = True
        self.server.unverified = True
        self.call_later(MAX_FIRST_WAIT_S, self._open_unless_unhealthy)
        self._check()

    def _check(self) -> None:
        if not self._is_enabled:
            return
        path = self.find_path()
        if path is None:
            self._set_unverified(False)
            return
        check = self.pool.send(
            self.server.address,
            self.header_codec.write_probe(path),
            True,
            NO_REQUEST_ID,
            self._handle_outcome,
        )
        self.call_later(HEALTH_CHECK_TIMEOUT_S, check.cancel)

    def _handle_outcome(self, outcome: ClientAnswer | ExchangeFailure) -> None:
        if isinstance(outcome, ClientAnswer):
            head = self.header_codec.read_answer(outcome.headers)
            health = read_health(outcome.status, head)
        else:
            head = None
            is_absent = outcome is ExchangeFailure.REFUSED
            health = Health.ABSENT if is_absent else Health.UNCLEAR
        match health:
            case Health.HEALTHY:
                self._identify(head)
                self._set_unverified(False)
            case Health.ABSENT:
                self._set_unverified(False)
            case Health.UNHEALTHY:
                self._handle_unhealthy(head)
            case Health.UNCLEAR:
                self._handle_unclear()

    def _handle_unhealthy(self, head: AnswerHead) -> None:
        logger.info("server unhealthy", instance=head.instance)
        self._is_unhealthy = True
        self._unclear = 0
        self._set_unverified(True)
        self.call_later(UNHEALTHY_DELAY_S, self._check)

    def _handle_unclear(self) -> None:
        self._unclear += 1
        self._open_unless_unhealthy()
        if self._unclear < MAX_UNCLEAR_CHECKS:
            self.call_later(UNCLEAR_DELAY_S, self._check)
            return
        logger.warning("health of the server unknown")
        self._set_unverified(False)

    def _open_unless_unhealthy(self) -> None:
        if not self._is_unhealthy:
            self._set_unverified(False)

    def _identify(self, head: AnswerHead) -> None:
        """Apply the answer of a healthy server."""
        self.check_settings()
        server = self.server
        server.apply_answer_identity(head.instance, Source.HEALTH_CHECK)
        incarnation = server.incarnation
        if incarnation is not None and incarnation.identity == head.instance:
            apply_health_statements(server, head)
        logger.info("server identified", incarnation=str(incarnation))

    def _set_unverified(self, unverified: bool) -> None:
        if self.server.unverified != unverified:
            self.server.unverified = unverified
            self.on_change()


def read_health(status: int, head: AnswerHead) -> Health:
    """Return what the answer to a health check shows.

    >>> from eelgrassmount.relay.header_codec import AnswerHead
    >>> read_health(503, AnswerHead()), read_health(503, AnswerHead(not_run=True))
    (<Health.UNHEALTHY: 2>, <Health.UNCLEAR: 4>)
    """
    if status == 200:
        return Health.HEALTHY
    if status == UNHEALTHY_STATUS and not head.not_run:
        return Health.UNHEALTHY
    return Health.UNCLEAR
