"""Exceptions that the package raises."""

from __future__ import annotations

from dataclasses import dataclass


class EelgrassmountError(Exception):
    """Base of all errors of the package; the message says how to correct the cause."""


@dataclass(eq=False)
class AddressError(EelgrassmountError, ValueError):
    """Text that is not an IPv4 address with a port."""

    text: str

    def __str__(self) -> str:
        return f"{self.text!r} is not an IPv4 address and port such as 127.1.0.1:8000"


@dataclass(eq=False)
class SettingError(EelgrassmountError):
    """A setting that is missing, unknown or out of range.

    The message is one line that names the setting, its value and what is allowed::

        drain_limit_s: '-1' is not allowed, give a number from 0.1 to 3600
    """

    name: str
    value: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.name}: {self.value!r} is not allowed, give {self.allowed}"


@dataclass(eq=False)
class FileError(EelgrassmountError):
    """A file named on the command line that can't be read."""

    path: str
    cause: str

    def __str__(self) -> str:
        return f"{self.path}: can't be read ({self.cause}); name a UTF-8 text file"


@dataclass(eq=False)
class NodeUnreachableError(EelgrassmountError):
    """The admin listener of a node gave no usable answer.

    ``sent`` is true if the node may have received the request.
    """

    address: str
    cause: str
    sent: bool

    def __str__(self) -> str:
        return (
            f"no answer from a node at {self.address} ({self.cause}); "
            "check --admin and that the node runs"
        )


@dataclass(eq=False)
class AdminRefusedError(EelgrassmountError):
    """A node refused an operator's request."""

    address: str
    status: int
    detail: str

    def __str__(self) -> str:
        return f"the node at {self.address} refused ({self.status}): {self.detail}"


@dataclass(eq=False)
class BadFrameError(EelgrassmountError):
    """An invalid frame from another node.

    The connection is closed, since later frames on it may be invalid too.
    """

    detail: str

    def __str__(self) -> str:
        return f"bad frame: {self.detail}; check the release of the other node"


@dataclass(eq=False)
class OverlongFrameError(BadFrameError):
    """A frame longer than ``max_frame_bytes``."""


@dataclass(eq=False)
class TruncatedFrameError(BadFrameError):
    """A frame that is incomplete because its connection was closed."""


@dataclass(eq=False)
class LinkLostError(EelgrassmountError):
    """A link to another node was closed before an answer arrived.

    ``sent`` is true if the other node may have received the message.
    """

    address: str
    sent: bool

    def __str__(self) -> str:
        return f"the link to {self.address} was lost; check that the node runs"


@dataclass(eq=False)
class AnnouncementError(EelgrassmountError):
    """An announcement of a backend server that can't be read."""

    detail: str

    def __str__(self) -> str:
        return f"bad announcement: {self.detail}"


@dataclass(eq=False)
class WrongServerError(EelgrassmountError):
    """A heartbeat that names a service or address other than those of this VM."""

    part: str
    found: str
    expected: str

    def __str__(self) -> str:
        return (
            f"heartbeat: {self.part} {self.found!r} is not {self.expected!r}, which "
            "this node was told"
        )


@dataclass(eq=False)
class ListenError(EelgrassmountError):
    """An address in the settings on which the node can't listen."""

    address: str
    cause: str

    def __str__(self) -> str:
        return (
            f"can't listen on {self.address} ({self.cause}); give an address of this "
            "VM that no other process uses"
        )


@dataclass(eq=False)
class BodyTooLongError(EelgrassmountError):
    """The body of a request is longer than allowed."""

    def __str__(self) -> str:
        return "the body is too long; send at most max_body_bytes"


@dataclass(eq=False)
class BodyTooSlowError(BodyTooLongError):
    """The body of a request took longer than allowed."""

    def __str__(self) -> str:
        return "the body arrived too slowly; send it within the time limit"


@dataclass(eq=False)
class PlatformDocumentError(EelgrassmountError):
    """A document of the platform, such as a heartbeat, that can't be read.

    ``part`` names the missing or invalid field, empty if no single field is::

        heartbeat: can't be read (info.slots: give a whole number from 1 to 100000)
    """

    document: str
    cause: str
    part: str = ""

    def __str__(self) -> str:
        place = f"{self.part}: " if self.part else ""
        return f"{self.document}: can't be read ({place}{self.cause})"
