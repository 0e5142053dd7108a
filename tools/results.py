"""Results of checks, and the list of tests that are expected to fail."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

from attrs import frozen

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

MAX_KNOWN_RED = 3


class Status(StrEnum):
    """Outcome of one check."""

    PASSED = "passed"
    FAILED = "failed"
    SKIPPED = "skipped"


@frozen
class Result:
    """Result of a check or test; ``detail`` is the reason of a failure or skip."""

    id: str
    status: Status
    detail: str = ""


@frozen
class KnownRed:
    """A test that fails for a documented fault."""

    id: str
    cause: str
    issue: str


@frozen
class Summary:
    """All results, with known failures separate from unexpected ones.

    ``skipped`` holds ids, each with its reason if there is one.
    ``known_red_errors`` are errors in the list of known failures; they count as
    failures.
    """

    passed: int
    failed: tuple[str, ...]
    skipped: tuple[str, ...]
    known_red: tuple[KnownRed, ...]
    known_red_errors: tuple[str, ...]

    @property
    def closing_line(self) -> str:
        """The last line of the output."""
        failed = len(self.failed) + len(self.known_red_errors)
        line = f"{self.passed} passed, {failed} failed"
        if self.skipped:
            line += f", {len(self.skipped)} skipped"
        return line

    @property
    def green(self) -> bool:
        """Whether a check passed and none failed unexpectedly."""
        return self.passed > 0 and not self.failed and not self.known_red_errors


def parse_known_red(text: str) -> tuple[KnownRed, ...]:
    """Parse the list of known failures, with lines ``test: cause: issue``."""
    entries = []
    for line in filter(None, map(str.strip, text.splitlines())):
        parts = line.split(": ", 2)
        parts += [""] * (3 - len(parts))
        entries.append(KnownRed(*parts))
    return tuple(entries)


def sum_up(results: Iterable[Result], known: tuple[KnownRed, ...]) -> Summary:
    """Return the summary of results, with known failures taken into account."""
    results = tuple(results)
    failed = [item.id for item in results if item.status is Status.FAILED]
    known_ids = {entry.id for entry in known}
    return Summary(
        passed=sum(item.status is Status.PASSED for item in results),
        failed=tuple(id for id in failed if id not in known_ids),
        skipped=tuple(_list_skipped(results)),
        known_red=tuple(entry for entry in known if entry.id in failed),
        known_red_errors=tuple(_check_known_red(known, failed)),
    )


def _list_skipped(results: Iterable[Result]) -> Iterator[str]:
    for item in results:
        if item.status is Status.SKIPPED:
            yield f"{item.id}: {item.detail}" if item.detail else item.id


def _check_known_red(known: tuple[KnownRed, ...], failed: list[str]) -> Iterable[str]:
    if len(known) > MAX_KNOWN_RED:
        yield f"{len(known)} known failures are listed, the maximum is {MAX_KNOWN_RED}"
    for entry in known:
        if not (entry.cause and entry.issue):
            yield f"{entry.id}: the entry must be 'test: cause: issue'"
        elif entry.id not in failed:
            yield f"{entry.id}: did not fail in this run, remove it from the list"
