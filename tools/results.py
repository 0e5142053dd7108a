"""Results of checks, and the list of tests that are expected to fail."""

from __future__ import annotations

import re
from collections import Counter
from enum import StrEnum
from typing import TYPE_CHECKING

from attrs import frozen

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

# Begins an entry for a command that this run does not include.
NOT_RUN_PREFIX = "not run: "
# Ends such a command, so that the failure can be reproduced.
_SEED = re.compile(r"\((seed \d+|no seed)\)$")


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
    """A test or command that fails for a documented fault.

    ``id`` is the id of a test that this run includes, or the command and the seed of
    one that it does not; ``in_run`` tells which.
    """

    id: str
    cause: str
    issue: str
    in_run: bool = True


@frozen
class Summary:
    """All results, with known failures separate from unexpected ones.

    ``skipped`` holds ids, each with its reason if there is one. ``known_red`` holds the
    listed tests that failed, ``known_red_not_run`` the listed commands outside of the
    run. ``known_red_errors`` are errors in the list of known failures; they count as
    failures.
    """

    passed: int
    failed: tuple[str, ...]
    skipped: tuple[str, ...]
    known_red: tuple[KnownRed, ...]
    known_red_not_run: tuple[KnownRed, ...]
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
    """Parse the list of known failures, one entry a line.

    An entry is ``test: cause: issue`` for a test of the run, and ``not run: command
    (seed 1): cause: issue`` or ``not run: command (no seed): cause: issue`` for a
    command outside of it.
    """
    lines = filter(None, map(str.strip, text.splitlines()))
    return tuple(map(_parse_entry, lines))


def _parse_entry(line: str) -> KnownRed:
    in_run = not line.startswith(NOT_RUN_PREFIX)
    parts = line.removeprefix(NOT_RUN_PREFIX).split(": ", 2)
    parts += [""] * (3 - len(parts))
    return KnownRed(*parts, in_run)


def sum_up(results: Iterable[Result], known: tuple[KnownRed, ...]) -> Summary:
    """Return the summary of results, with known failures taken into account."""
    results = tuple(results)
    failed = [item.id for item in results if item.status is Status.FAILED]
    known_ids = {entry.id for entry in known if entry.in_run}
    return Summary(
        passed=sum(item.status is Status.PASSED for item in results),
        failed=tuple(id for id in failed if id not in known_ids),
        skipped=tuple(_list_skipped(results)),
        known_red=tuple(
            entry for entry in known if entry.in_run and entry.id in failed
        ),
        known_red_not_run=tuple(entry for entry in known if not entry.in_run),
        known_red_errors=tuple(_check_known_red(known, results)),
    )


def _list_skipped(results: Iterable[Result]) -> Iterator[str]:
    for item in results:
        if item.status is Status.SKIPPED:
            yield f"{item.id}: {item.detail}" if item.detail else item.id


def _check_known_red(
    known: tuple[KnownRed, ...], results: tuple[Result, ...]
) -> Iterator[str]:
    failed = {item.id for item in results if item.status is Status.FAILED}
    for id, count in Counter(entry.id for entry in known).items():
        if count > 1:
            yield f"{id}: {count} entries, one is allowed"
    for entry in known:
        if not (entry.cause and entry.issue):
            yield f"{entry.id}: the entry must be '[not run: ]test: cause: issue'"
        elif not entry.in_run:
            yield from _check_not_run(entry, {item.id for item in results})
        elif entry.id not in failed:
            yield f"{entry.id}: did not fail in this run, remove it from the list"


def _check_not_run(entry: KnownRed, ran: set[str]) -> Iterator[str]:
    if not _SEED.search(entry.id):
        yield f"{entry.id}: the command must end with '(seed 1)' or '(no seed)'"
    elif _SEED.sub("", entry.id).strip() in ran:
        yield f"{entry.id}: is listed as not run, but this run includes it"
