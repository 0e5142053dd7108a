"""A backend server that responds at once, so that it is never the bottleneck."""

from __future__ import annotations

import asyncio
import json

import fire
import httptools

from standins.announcer import Announcer
from standins.client import Client
from standins.processes import make_flags
from standins.web import split_address

_BODY = b'{"answer": "from the responder"}'


class _Exchange(asyncio.Protocol):
    """Responds to every request on one connection with the same body."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport
        self._call = b""
        self._parser = httptools.HttpRequestParser(self)

    def data_received(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"eelgrassmount-call":
            self._call = value

    def on_message_complete(self) -> None:
        self._transport.write(
            b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n"
            b"eelgrassmount-call: %b\r\ncontent-length: %d\r\n\r\n%b"
            % (self._call, len(_BODY), _BODY)
        )


class _Admin(_Exchange):
    """Implements what deployments use of a stand-in server's admin listener."""

    def on_message_complete(self) -> None:
        body = json.dumps({"node": {}}).encode()
        head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body)
        self._transport.write(head + body)


async def _run(service: str, address: str, admin: str, node_address: str) -> None:
    loop = asyncio.get_running_loop()
    await loop.create_server(_Exchange, *split_address(address))
    await loop.create_server(_Admin, *split_address(admin))
    announcement = {"service": service, "address": address, "state": "serving"}
    await Announcer(Client(), node_address, lambda: announcement).run()


def make_responder(
    python: str, service: str, address: str, admin: str, node_address: str
) -> tuple[str, ...]:
    """Return the command that starts a responder."""
    flags = {
        "service": service,
        "address": address,
        "admin": admin,
        "node_address": node_address,
    }
    return (python, "-m", "benchmarks.responder", *make_flags(flags))


def main(service: str, address: str, admin: str, node_address: str) -> None:
    """Respond to requests, and announce the service to its node, until killed."""
    asyncio.run(_run(service, address, admin, node_address))


if __name__ == "__main__":
    fire.Fire(main)
