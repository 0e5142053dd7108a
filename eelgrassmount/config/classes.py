"""Request classes and their targets."""

from __future__ import annotations

from attrs import field, frozen

from eelgrassmount.context import Tier

SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


@frozen
class RoutePattern:
    """A method and a path prefix, such as ``POST /jobdesk/bookings``."""

    method: str
    prefix: str

    def matches(self, method: str, path: str) -> bool:
        """Return whether a request matches this pattern.

        A prefix ends at a path segment: ``/jobdesk/book`` does not match
        ``/jobdesk/bookings``.
        """
        if method != self.method or not path.startswith(self.prefix):
            return False
        rest = path[len(self.prefix) :]
        return not rest or rest[0] in "/?" or self.prefix.endswith("/")


@frozen
class WorkClass:
    """A request class with its targets.

    ``complete_fraction`` of its requests must be answered completely within
    ``within_ms`` milliseconds. A class with ``refuse_last`` is refused only
    when no request of another class is admitted to the same overloaded service.
    """

    name: str
    routes: tuple[RoutePattern, ...]
    idempotent: bool
    refuse_last: bool
    complete_fraction: float
    within_ms: int

    @property
    def tier(self) -> Tier:
        """Return the tier that determines the order of refusal."""
        if self.refuse_last:
            return Tier.REFUSED_LAST
        return Tier.REFUSED_FIRST


@frozen
class Document:
    """The parsed content of a configuration."""

    classes: tuple[WorkClass, ...] = ()
    failure_domains: tuple[str, ...] = ()


@frozen
class Configuration:
    """A configuration in force: its version, its content and its text.

    Version 0 means that no version has been accepted yet. ``offset`` is the offset
    of a record on the log after which this version was in force, or -1 if none is
    known.
    """

    version: int = 0
    document: Document = field(factory=Document)
    text: str = ""
    offset: int = -1


def find_class(document: Document, method: str, path: str) -> WorkClass | None:
    """Return the class with the longest route that matches the request."""
    best: WorkClass | None = None
    best_length = -1
    for work_class in document.classes:
        for route in work_class.routes:
            if len(route.prefix) > best_length and route.matches(method, path):
                best = work_class
                best_length = len(route.prefix)
    return best


def is_idempotent(document: Document, method: str, path: str) -> bool:
    """Return whether an operation may be run more than once.

    An operation without a matching class is idempotent if its method is safe.
    """
    work_class = find_class(document, method, path)
    if work_class is None:
        return method in SAFE_METHODS
    return work_class.idempotent
