"""Requests that offer to switch their connection to another protocol."""

from __future__ import annotations

from typing import TYPE_CHECKING

import httptools

if TYPE_CHECKING:
    from collections.abc import Callable

CONNECT = b"CONNECT"


def feed_without_upgrades(
    data: bytes, feed: Callable[[bytes], None], decline: Callable[[], None]
) -> None:
    """Feed received bytes to a request parser and decline all offers of upgrades.

    A parser of ``httptools`` ends a request that offers an upgrade behind its head, as
    if the offer were accepted. ``decline`` then has to provide a new parser that has
    read the head without the offer, see `write_head_without_offer`. ``feed`` gets the
    body and the requests that follow. Raises `httptools.HttpParserError` if the bytes
    are malformed.
    """
    while True:
        try:
            feed(data)
            return
        except httptools.HttpParserUpgrade as offer:
            (position,) = offer.args
            decline()
            data = memoryview(data)[position:]
            if not data:
                return


def write_head_without_offer(
    parser: httptools.HttpRequestParser,
    target: bytes,
    headers: list[tuple[bytes, bytes]],
) -> bytes:
    """Return the head of the request that ``parser`` has read, without its offer.

    Names of ``headers`` are in lower case. A server may ignore an offer and answer as
    if it were not there (RFC 9110, section 7.8).
    """
    lines = [
        b"%s: %s\r\n" % (name, value) for name, value in headers if name != b"upgrade"
    ]
    return b"%s %s HTTP/%s\r\n%s\r\n" % (
        parser.get_method(),
        target,
        parser.get_http_version().encode(),
        b"".join(lines),
    )
