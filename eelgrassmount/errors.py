"""Every error that the package raises."""

from __future__ import annotations

from dataclasses import dataclass


class EelgrassmountError(Exception):
    """Base of all errors of the package; its text says what to mend."""


@dataclass(eq=False)
class AddressError(EelgrassmountError, ValueError):
    """A text that is not an IPv4 address with a port."""

    text: str

    def __str__(self) -> str:
        return f"{self.text!r} is not an IPv4 address and port such as 127.1.0.1:8000"


@dataclass(eq=False)
class SettingError(EelgrassmountError):
    """A setting that is missing, unknown or out of range.

    The text is one line that names the setting, the value and what is allowed::

        drain_limit_s: '-1' is not allowed, give a number from 0.1 to 3600
    """

    name: str
    value: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.name}: {self.value!r} is not allowed, give {self.allowed}"


@dataclass(eq=False)
class NodeUnreachableError(EelgrassmountError):
    """The admin listener of a node gave no usable answer."""

    address: str
    cause: str

    def __str__(self) -> str:
        return (
            f"no answer from a node at {self.address} ({self.cause}); "
            "check --admin and that the node runs"
        )
