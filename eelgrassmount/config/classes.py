"""Classes of work and their targets."""

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
        """Tell whether a request falls under this pattern.

        A prefix ends at a path segment: ``/jobdesk/book`` does not cover
        ``/jobdesk/bookings``.
        """
        if method != self.method or not path.startswith(self.prefix):
            return False
        rest = path[len(self.prefix) :]
        return not rest or rest[0] in "/?" or self.prefix.endswith("/")


@frozen
class WorkClass:
    """One class of work with the operators' targets.

    ``complete_fraction`` of its requests must be answered completely within
    ``within_ms`` milliseconds. A class with ``refuse_last`` is refused only
    when no request of another class is admitted to the same scarce service.
    """

    name: str
    routes: tuple[RoutePattern, ...]
    idempotent: bool
    refuse_last: bool
    complete_fraction: float
    within_ms: int

    @property
    def tier(self) -> Tier:
        """Return the order of refusal of this class."""
        if self.refuse_last:
            return Tier.REFUSED_LAST
        return Tier.REFUSED_FIRST


@frozen
class Document:
    """The content of one configuration."""

    classes: tuple[WorkClass, ...] = ()
    failure_domains: tuple[str, ...] = ()


@frozen
class Configuration:
    """A configuration in force: its version, its content and its text.

    Version 0 means that none has been accepted yet. ``offset`` is a place on the
    log right after which this version was in force, or -1 if none is known.
    """

    version: int = 0
    document: Document = field(factory=Document)
    text: str = ""
    offset: int = -1


def find_class(document: Document, method: str, path: str) -> WorkClass | None:
    """Return the class whose longest matching route covers the request."""
    best: WorkClass | None = None
    best_length = -1
    for work_class in document.classes:
        for route in work_class.routes:
            if len(route.prefix) > best_length and route.matches(method, path):
                best = work_class
                best_length = len(route.prefix)
    return best


def is_idempotent(document: Document, method: str, path: str) -> bool:
    """Tell whether an operation may be run more than once.

    An operation that no class covers is idempotent when its method is safe.
    """
    work_class = find_class(document, method, path)
    if work_class is None:
        return method in SAFE_METHODS
    return work_class.idempotent
