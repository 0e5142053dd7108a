"""Addresses of listeners."""

from __future__ import annotations

import ipaddress

from attrs import frozen

from eelgrassmount.errors import AddressError

MAX_PORT = 65535
MAX_PORT_DIGITS = 5


@frozen(order=True)
class Address:
    """An IPv4 address and a TCP port; its text is ``host:port``."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def parse_address(text: str) -> Address:
    """Return the address written as ``host:port``.

    Host names are refused, because nodes reach each other by number only, and
    so is port 0. Raises `AddressError`.
    """
    host, _, port = text.partition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        raise AddressError(text) from None
    if not (port.isascii() and port.isdecimal() and len(port) <= MAX_PORT_DIGITS):
        raise AddressError(text)
    if not 1 <= int(port) <= MAX_PORT:
        raise AddressError(text)
    return Address(host, int(port))
