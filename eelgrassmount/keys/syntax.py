"""The syntax of idempotency keys."""

from __future__ import annotations

import hashlib
import re
from typing import TYPE_CHECKING

from attrs import frozen

if TYPE_CHECKING:
    from eelgrassmount.members.table import Identity

MINTED_PREFIX = "em1~"
MAX_KEY_LENGTH = 128
_KEY_PATTERN = re.compile(r"(?:([A-Za-z0-9._-]{1,63}):)?[A-Za-z0-9._~-]{1,128}")
_PART_PATTERN = re.compile(r"[A-Za-z0-9._-]+")
_NONCE_PATTERN = re.compile(r"([0-9a-f]{1,12})-([0-9a-f]{16})")
_MAC_BYTES = 8


@frozen
class MintedKey:
    """A key minted by a node; only that incarnation may run it."""

    text: str
    address: str
    failure_domain: str
    incarnation: str
    number: int
    mac: str


@frozen
class CallerKey:
    """A key chosen by the caller; ``failure_domain`` is empty if none is named."""

    text: str
    failure_domain: str


@frozen
class BadKey:
    """A malformed key; ``detail`` states the error."""

    detail: str


def parse_key(text: str) -> MintedKey | CallerKey | BadKey:
    """Return the parsed key, or `BadKey` for a malformed one.

    A caller's key is identified by its whole text: ``howrah:7`` and ``7`` differ.
    """
    if text.startswith(MINTED_PREFIX):
        return _parse_minted(text)
    match = _KEY_PATTERN.fullmatch(text)
    if match is None:
        return BadKey(f"a key has 1 to {MAX_KEY_LENGTH} of A-Z a-z 0-9 . _ ~ -")
    return CallerKey(text, match[1] or "")


def _parse_minted(text: str) -> MintedKey | BadKey:
    parts = text[len(MINTED_PREFIX) :].split("~")
    if len(parts) != 4:
        return BadKey(f"a key that begins with {MINTED_PREFIX} must be a minted one")
    address, failure_domain, incarnation, nonce = parts
    match = _NONCE_PATTERN.fullmatch(nonce)
    if match is None or not all(_PART_PATTERN.fullmatch(part) for part in parts):
        return BadKey("the minted key has been changed")
    return MintedKey(
        text=text,
        address=_decode_address(address),
        failure_domain=failure_domain,
        incarnation=incarnation,
        number=int(match[1], 16),
        mac=match[2],
    )


def format_minted(identity: Identity, number: int, secret: bytes) -> str:
    """Return the minted key with a number and its authentication code."""
    parts = (
        _encode_address(identity.address),
        identity.failure_domain,
        identity.incarnation,
        f"{number:x}-{compute_mac(number, secret)}",
    )
    return MINTED_PREFIX + "~".join(parts)


def compute_mac(number: int, secret: bytes) -> str:
    """Return the authentication code of a number under ``secret``."""
    text = str(number).encode()
    return hashlib.blake2s(text, digest_size=_MAC_BYTES, key=secret).hexdigest()


def check_identity(identity: Identity) -> None:
    """Raise `ValueError` if an identity can't be part of a minted key."""
    for name in (identity.failure_domain, identity.incarnation):
        if not _PART_PATTERN.fullmatch(name):
            raise ValueError(
                f"{name!r} can't be part of a key: use the characters "
                "A-Z a-z 0-9 . _ - for failure domains and incarnations"
            )
    if len(format_minted(identity, 16**12 - 1, b"")) > MAX_KEY_LENGTH:
        raise ValueError(
            f"the name of the failure domain {identity.failure_domain!r} is too "
            f"long: keys have {MAX_KEY_LENGTH} characters at most"
        )


def _encode_address(address: str) -> str:
    # colons and the brackets of IPv6 addresses are not allowed in a key
    return address.replace(":", "_").replace("[", "-").replace("]", "-")


def _decode_address(text: str) -> str:
    address = text.replace("_", ":")
    return address.replace("-", "[", 1).replace("-", "]", 1)
