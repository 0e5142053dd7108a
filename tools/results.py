"""Results of checks, and the list of tests that are known to fail."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

from attrs import frozen

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

MAX_KNOWN_RED = 3


class Status(StrEnum):
    """How one check ended."""

    PASSED = "passed"
    FAILED = "failed"
    SKIPPED = "skipped"


@frozen
class Result:
    """One check or test by its id; ``detail`` says why it failed or was skipped."""

    id: str
    status: Status
    detail: str = ""


@frozen
class KnownRed:
    """A test that fails for a fault that is written down."""

    id: str
    cause: str
    issue: str


@frozen
class Summary:
    """All results, with the known failures taken apart from the others.

    ``skipped`` holds ids, each with its reason where one is known.
    ``complaints`` are faults of the list of known failures itself: these count
    as failures too.
    """

    passed: int
    failed: tuple[str, ...]
    skipped: tuple[str, ...]
    known_red: tuple[KnownRed, ...]
    complaints: tuple[str, ...]

    @property
    def closing_line(self) -> str:
        """Return the last line of the run."""
        failed = len(self.failed) + len(self.complaints)
        line = f"{self.passed} passed, {failed} failed"
        if self.skipped:
            line += f", {len(self.skipped)} skipped"
        return line

    @property
    def green(self) -> bool:
        """Tell whether something ran and nothing failed unexpectedly."""
        return self.passed > 0 and not self.failed and not self.complaints


def parse_known_red(text: str) -> tuple[KnownRed, ...]:
    """Return the entries of the list: a line each, ``test: cause: issue``."""
    entries = []
    for line in filter(None, map(str.strip, text.splitlines())):
        parts = line.split(": ", 2)
        parts += [""] * (3 - len(parts))
        entries.append(KnownRed(*parts))
    return tuple(entries)


def sum_up(results: Iterable[Result], known: tuple[KnownRed, ...]) -> Summary:
    """Return the summary of results, given the known failures."""
    results = tuple(results)
    failed = [item.id for item in results if item.status is Status.FAILED]
    known_ids = {entry.id for entry in known}
    return Summary(
        passed=sum(item.status is Status.PASSED for item in results),
        failed=tuple(id for id in failed if id not in known_ids),
        skipped=tuple(_list_skipped(results)),
        known_red=tuple(entry for entry in known if entry.id in failed),
        complaints=tuple(_check_known(known, failed)),
    )


def _list_skipped(results: Iterable[Result]) -> Iterator[str]:
    for item in results:
        if item.status is Status.SKIPPED:
            yield f"{item.id}: {item.detail}" if item.detail else item.id


def _check_known(known: tuple[KnownRed, ...], failed: list[str]) -> Iterable[str]:
    if len(known) > MAX_KNOWN_RED:
        yield f"{len(known)} known failures are listed, at most {MAX_KNOWN_RED} may be"
    for entry in known:
        if not (entry.cause and entry.issue):
            yield f"{entry.id}: write 'test: cause: issue'"
        elif entry.id not in failed:
            yield f"{entry.id}: did not fail in this run, take it off the list"
