"""A relay of TCP links that delays, cuts and silences them."""

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

_HELD_BYTES_MOST = 256 * 1024
_CUTS = (None, "hold", "drop", "reset")


@frozen
class Link:
    """One link; without a source, the IP address of who connects tells it."""

    listen: str
    target: str
    destination: str
    source: str = ""


@define
class Rule:
    """What happens to bytes on their way from one place to another.

    The cut ``hold`` keeps them until the links heal, as TCP would send them
    again; ``drop`` loses them, and the connection with them once the links heal;
    ``reset`` ends connections and refuses new ones.
    """

    delay_ms: float = 0.0
    cut: str | None = None


class _FineSelector(selectors.EpollSelector):
    def select(self, timeout: float | None = None) -> Any:
        # epoll rounds up to whole milliseconds, select() doesn't
        if timeout is not None and timeout > 0:
            select.select([self.fileno()], [], [], timeout)
            timeout = 0
        return super().select(timeout)


def make_loop() -> asyncio.SelectorEventLoop:
    """Make an event loop whose timers are finer than a millisecond."""
    return asyncio.SelectorEventLoop(_FineSelector())


class _End(asyncio.Protocol):
    """One end of a relayed connection, and the bytes on their way to the other."""

    def __init__(self, relay: Relay, link: Link) -> None:
        self.relay = relay
        self.link = link
        self.other: _End | None = None
        self.transport: asyncio.Transport | None = None
        self.way = ("", "")
        self.silent = False
        self.broken = False
        self._queue: deque[tuple[float, bytes]] = deque()
        self._held_bytes = 0
        self._full = False

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        if self.other is None:
            self.relay.accept(self)
        else:
            self.other.pump()

    def data_received(self, data: bytes) -> None:
        self._push(data)
        if self._held_bytes > _HELD_BYTES_MOST:
            self._full = True
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
        """Send on what is due, unless the way is cut."""
        target = self.other.transport
        if target is None or self.relay.find_cut(self.way):
            return
        now = self.relay.loop.time()
        while self._queue and self._queue[0][0] <= now:
            _, data = self._queue.popleft()
            self._held_bytes -= len(data)
            if not data:
                target.close()
            elif not target.is_closing():
                target.write(data)
        if self._queue:
            self.relay.loop.call_at(self._queue[0][0], self.pump)
        if self._full and self._held_bytes == 0 and not self.transport.is_closing():
            self._full = False
            self.transport.resume_reading()

    def _push(self, data: bytes) -> None:
        if self.silent:
            return
        if self.relay.find_cut(self.way) == "drop":
            self.broken = True
            return
        due = self.relay.loop.time() + self.relay.find_delay_s(self.way)
        first = not self._queue
        self._queue.append((due, data))
        self._held_bytes += len(data)
        if first:
            self.pump()


class Relay:
    """Links, the rules of their ways, and the open ends."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.ends: set[_End] = set()
        self._links: list[Link] = []
        self._domains: dict[str, str] = {}
        self._rules: dict[tuple[str, str], Rule] = {}
        self._healed = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()

    def find_cut(self, way: tuple[str, str]) -> str | None:
        """Return how the way is cut, or ``None``."""
        cuts = [rule.cut for rule in self._find_rules(way) if rule.cut]
        return cuts[0] if cuts else None

    def find_delay_s(self, way: tuple[str, str]) -> float:
        """Return the delay of the way in seconds."""
        delays = [rule.delay_ms for rule in self._find_rules(way)]
        return max(delays, default=0.0) / 1000

    async def listen(self, link: Link) -> None:
        """Open a link."""
        host, port = split_address(link.listen)
        await self.loop.create_server(
            lambda: _End(self, link), host, port, backlog=1024
        )
        self._links.append(link)

    def accept(self, end: _End) -> None:
        """Begin to relay a new connection."""
        host = end.transport.get_extra_info("peername")[0]
        source = end.link.source or self._name_domain(host)
        end.way = (source, end.link.destination)
        other = end.other = _End(self, end.link)
        other.other = end
        other.way = (end.link.destination, source)
        self.ends |= {end, other}
        if "reset" in (self.find_cut(end.way), self.find_cut(other.way)):
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
        # a connection can't be made while either way is cut
        while self.find_cut(end.way) or self.find_cut(end.other.way):
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

    def _name_domain(self, host: str) -> str:
        names = (name for key, name in self._domains.items() if host.startswith(key))
        return next(names, host)

    def _find_rules(self, way: tuple[str, str]) -> list[Rule]:
        if not self._rules:
            return []
        source, destination = way
        keys = [way, (source, ""), ("", destination), ("", "")]
        return [self._rules[key] for key in keys if key in self._rules]

    def _set_fault(self, source: str = "", destination: str = "", **fault: Any) -> None:
        rule = self._rules.setdefault((source, destination), Rule())
        if fault.pop("silent", False):
            self._silence(source, destination)
        for name, value in fault.items():
            if name not in Rule.__slots__ or (name == "cut" and value not in _CUTS):
                raise ValueError(f"unknown fault {name}={value!r}")
            setattr(rule, name, value)
        if rule.cut == "reset":
            for end in self._list_ends(source, destination):
                end.abort()
                end.other.abort()
        if "cut" in fault and rule.cut is None:
            self._release()

    def _silence(self, source: str, destination: str) -> None:
        # both directions: whoever kept track of the connection has lost it
        for end in self._list_ends(source, destination):
            end.silent = True
            end.other.silent = True

    def _list_ends(self, source: str, destination: str) -> list[_End]:
        return [
            end
            for end in self.ends
            if source in ("", end.way[0]) and destination in ("", end.way[1])
        ]

    def _heal(self) -> None:
        for rule in self._rules.values():
            rule.cut = None
        self._release()

    def _release(self) -> None:
        healed, self._healed = self._healed, asyncio.Event()
        healed.set()
        for end in list(self.ends):
            if end.broken and not self.find_cut(end.way):
                end.abort()
                end.other.abort()
            elif not end.silent:
                end.pump()


def serve(admin_address: str) -> None:
    """Relay the links that ``POST /links`` on the admin address names.

    Its body is ``{"links": [{"listen": "ip:port", "target": "ip:port", "source":
    "north", "destination": "log"}], "domains": {"127.1.": "north"}}``. Faults are
    set for one direction with ``POST /faults``, for example ``{"source": "north",
    "destination": "log", "cut": "hold"}`` (or ``drop``, ``reset``, ``null``),
    ``{"delay_ms": 0.5}``, or ``{"silent": true}``, which loses the connections
    open now for good while new ones work. ``POST /heal`` ends all cuts.
    """

    async def run() -> None:
        relay = Relay()
        await serve_until_signal(Listener(admin_address, relay.handle_admin).serve)

    anyio.run(run, backend_options={"loop_factory": make_loop})


if __name__ == "__main__":
    fire.Fire(serve)
