"""TCP relay that delays, partitions and silences links."""

from __future__ import annotations

import asyncio
import select
import selectors
from collections import deque
from typing import Any

import anyio
import fire
from attrs import define, frozen

from standins.web import (
    Listener,
    Request,
    Response,
    serve_until_signal,
    split_address,
)

_MAX_QUEUED_BYTES = 256 * 1024
_PARTITION_MODES = (None, "hold", "drop", "reset")


@frozen
class Link:
    """One link; an empty source is derived from the client's IP address."""

    listen: str
    target: str
    destination: str
    source: str = ""


@define
class Rule:
    """Faults of the links in one direction between two places.

    The modes of ``cut`` are: ``hold`` buffers bytes until the links heal, like TCP
    retransmission; ``drop`` discards bytes, and connections that lost any are reset
    when the links heal; ``reset`` resets open connections and refuses new ones.
    """

    delay_ms: float = 0.0
    cut: str | None = None


class _HighResolutionSelector(selectors.EpollSelector):
    def select(self, timeout: float | None = None) -> Any:
        # epoll_wait rounds timeouts up to whole milliseconds; select() doesn't.
        if timeout is not None and timeout > 0:
            select.select([self.fileno()], [], [], timeout)
            timeout = 0
        return super().select(timeout)


def make_loop() -> asyncio.SelectorEventLoop:
    """Make an event loop with a timer resolution below one millisecond."""
    return asyncio.SelectorEventLoop(_HighResolutionSelector())


class _End(asyncio.Protocol):
    """One end of a relayed connection, with the bytes queued for the other end."""

    def __init__(self, relay: Relay, link: Link) -> None:
        self.relay = relay
        self.link = link
        self.other: _End | None = None
        self.transport: asyncio.Transport | None = None
        self.direction = ("", "")
        self.silent = False
        self.lost_bytes = False
        self._queue: deque[tuple[float, bytes]] = deque()
        self._queued_bytes = 0
        self._reading_paused = False

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        if self.other is None:
            self.relay.accept(self)
        else:
            self.other.pump()

    def data_received(self, data: bytes) -> None:
        self._push(data)
        if self._queued_bytes > _MAX_QUEUED_BYTES:
            self._reading_paused = True
            self.transport.pause_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        self._push(b"")
        self.relay.ends.discard(self)

    def pause_writing(self) -> None:
        if self.other.transport is not None:
            self.other.transport.pause_reading()

    def resume_writing(self) -> None:
        if self.other.transport is not None:
            self.other.transport.resume_reading()

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def pump(self) -> None:
        """Forward the bytes that are due, unless the direction is partitioned."""
        target = self.other.transport
        if target is None or self.relay.find_partition_mode(self.direction):
            return
        now = self.relay.loop.time()
        while self._queue and self._queue[0][0] <= now:
            _, data = self._queue.popleft()
            self._queued_bytes -= len(data)
            if not data:
                target.close()
            elif not target.is_closing():
                target.write(data)
        if self._queue:
            self.relay.loop.call_at(self._queue[0][0], self.pump)
        if (
            self._reading_paused
            and self._queued_bytes == 0
            and not self.transport.is_closing()
        ):
            self._reading_paused = False
            self.transport.resume_reading()

    def _push(self, data: bytes) -> None:
        if self.silent:
            return
        if self.relay.find_partition_mode(self.direction) == "drop":
            self.lost_bytes = True
            return
        due = self.relay.loop.time() + self.relay.find_delay_s(self.direction)
        first = not self._queue
        self._queue.append((due, data))
        self._queued_bytes += len(data)
        if first:
            self.pump()


class Relay:
    """Links, their fault rules, and the ends of open connections."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.ends: set[_End] = set()
        self._links: list[Link] = []
        self._domains: dict[str, str] = {}
        self._rules: dict[tuple[str, str], Rule] = {}
        self._healed = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()

    def find_partition_mode(self, direction: tuple[str, str]) -> str | None:
        """Return the partition mode of a direction, or ``None``."""
        modes = [rule.cut for rule in self._find_rules(direction) if rule.cut]
        return modes[0] if modes else None

    def find_delay_s(self, direction: tuple[str, str]) -> float:
        """Return the delay of a direction in seconds."""
        delays = [rule.delay_ms for rule in self._find_rules(direction)]
        return max(delays, default=0.0) / 1000

    async def listen(self, link: Link) -> None:
        """Listen for the connections of a link."""
        host, port = split_address(link.listen)
        await self.loop.create_server(
            lambda: _End(self, link), host, port, backlog=1024
        )
        self._links.append(link)

    def accept(self, end: _End) -> None:
        """Start to relay a new connection."""
        host = end.transport.get_extra_info("peername")[0]
        source = end.link.source or self._find_domain(host)
        end.direction = (source, end.link.destination)
        other = end.other = _End(self, end.link)
        other.other = end
        other.direction = (end.link.destination, source)
        self.ends |= {end, other}
        if "reset" in (
            self.find_partition_mode(end.direction),
            self.find_partition_mode(other.direction),
        ):
            end.abort()
            return
        task = self.loop.create_task(self._connect(end, host))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def handle_admin(self, request: Request) -> Response:
        """Serve ``/links``, ``/faults`` and ``/heal``."""
        body = await request.read_json()
        if request.path == "/links":
            self._domains.update(body.get("domains", {}))
            for entry in body.get("links", ()):
                await self.listen(Link(**entry))
        elif request.path == "/faults":
            self._set_fault(**body)
        elif request.path == "/heal":
            self._heal()
        else:
            return Response.from_json({"error": "no such resource"}, 404)
        rules = {f"{a}>{b}": repr(rule) for (a, b), rule in self._rules.items()}
        count = {"links": len(self._links), "ends": len(self.ends)}
        return Response.from_json(count | {"rules": rules})

    async def _connect(self, end: _End, host: str) -> None:
        # The TCP handshake needs both directions.
        while self.find_partition_mode(end.direction) or self.find_partition_mode(
            end.other.direction
        ):
            await self._healed.wait()
        if end.transport.is_closing():
            return
        target = split_address(end.link.target)
        try:
            await self.loop.create_connection(
                lambda: end.other, *target, local_addr=(host, 0)
            )
        except OSError:
            end.abort()

    def _find_domain(self, host: str) -> str:
        names = (name for key, name in self._domains.items() if host.startswith(key))
        return next(names, host)

    def _find_rules(self, direction: tuple[str, str]) -> list[Rule]:
        if not self._rules:
            return []
        source, destination = direction
        keys = [direction, (source, ""), ("", destination), ("", "")]
        return [self._rules[key] for key in keys if key in self._rules]

    def _set_fault(self, source: str = "", destination: str = "", **fault: Any) -> None:
        rule = self._rules.setdefault((source, destination), Rule())
        if fault.pop("silent", False):
            self._silence(source, destination)
        for name, value in fault.items():
            if name not in Rule.__slots__ or (
                name == "cut" and value not in _PARTITION_MODES
            ):
                raise ValueError(f"unknown fault {name}={value!r}")
            setattr(rule, name, value)
        if rule.cut == "reset":
            for end in self._list_ends(source, destination):
                end.abort()
                end.other.abort()
        if "cut" in fault and rule.cut is None:
            self._release()

    def _silence(self, source: str, destination: str) -> None:
        # Both directions, as when a middlebox drops the state of a connection.
        for end in self._list_ends(source, destination):
            end.silent = True
            end.other.silent = True

    def _list_ends(self, source: str, destination: str) -> list[_End]:
        return [
            end
            for end in self.ends
            if source in ("", end.direction[0])
            and destination in ("", end.direction[1])
        ]

    def _heal(self) -> None:
        for rule in self._rules.values():
            rule.cut = None
        self._release()

    def _release(self) -> None:
        healed, self._healed = self._healed, asyncio.Event()
        healed.set()
        for end in list(self.ends):
            if end.lost_bytes and not self.find_partition_mode(end.direction):
                end.abort()
                end.other.abort()
            elif not end.silent:
                end.pump()


def serve(admin_address: str) -> None:
    """Relay the links that are added with ``POST /links`` on the admin address.

    Its body is ``{"links": [{"listen": "ip:port", "target": "ip:port", "source":
    "north", "destination": "log"}], "domains": {"127.1.": "north"}}``. Faults are
    set for one direction with ``POST /faults``, for example ``{"source": "north",
    "destination": "log", "cut": "hold"}`` (or ``drop``, ``reset``, ``null``),
    ``{"delay_ms": 0.5}``, or ``{"silent": true}``, which silences the connections
    that are open now for good; new ones work. ``POST /heal`` ends all partitions.
    """

    async def run() -> None:
        relay = Relay()
        await serve_until_signal(Listener(admin_address, relay.handle_admin).serve)

    anyio.run(run, backend_options={"loop_factory": make_loop})


if __name__ == "__main__":
    fire.Fire(serve)
