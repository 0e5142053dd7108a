"""Cases of the model checker for the configuration, with the expected results."""

from __future__ import annotations

from attrs import field, frozen

CONFIG_MODEL = "config.pml"


@frozen
class Case:
    """One run of the checker.

    ``defines`` are the bounds and mistakes of the run; ``small`` replaces them in the
    short run. If ``mistake`` is set, the checker must find a counterexample that
    violates the assertion containing this text.
    """

    name: str
    file: str
    defines: tuple[str, ...]
    small: tuple[str, ...] = field(default=())
    mistake: str = ""


def make_bounds(
    records: int,
    publishes: int,
    rewrites: int,
    late: int = 0,
    answers: int = 0,
    restarts: int = 0,
) -> tuple[str, ...]:
    """Return the defines that bound the model of the configuration."""
    return (
        f"RECORDS={records}",
        f"PUBLISHES={publishes}",
        f"REWRITES={rewrites}",
        f"LATE={late}",
        f"ANSWERS={answers}",
        f"RESTARTS={restarts}",
    )


def make_mistake_case(
    name: str, assertion: str, bounds: tuple[str, ...], *more: str
) -> Case:
    """Return the case of a seeded mistake, which must violate the assertion."""
    title = "config: mistake " + name.lower().replace("_", " ")
    return Case(
        title, CONFIG_MODEL, (f"MISTAKE_{name}", *bounds, *more), mistake=assertion
    )


_EXACT_VERSION = "true_version[node[me].next]"
_VERSION_INCREASES = "answer_version>node[me].board"
_CORRECT_ANSWER = "accepted==told_true"
_NEW_READER_EXACT = "fresh_exact"
_BOUNDED_RETENTION = "BOUNDED_RETENTION"

CONFIG_CASES = (
    Case(
        "config: concurrent operators, lost answers and late copies",
        CONFIG_MODEL,
        make_bounds(5, 3, 1, late=1),
        make_bounds(4, 2, 0, late=1),
    ),
    Case(
        "config: rewrites, dropped records and restarts",
        CONFIG_MODEL,
        make_bounds(5, 3, 2, restarts=1),
        make_bounds(4, 2, 1, restarts=1),
    ),
    Case(
        "config: versions from other nodes",
        CONFIG_MODEL,
        make_bounds(5, 3, 1, answers=2),
        make_bounds(3, 2, 1, answers=1),
    ),
    Case(
        "config: three nodes",
        CONFIG_MODEL,
        (*make_bounds(4, 2, 1, restarts=1), "NODES=3"),
        (*make_bounds(3, 2, 1), "NODES=3"),
    ),
    Case(
        "config: a new reader learns the version in force",
        CONFIG_MODEL,
        (*make_bounds(6, 3, 3), _BOUNDED_RETENTION),
        (*make_bounds(4, 2, 2), _BOUNDED_RETENTION),
    ),
    make_mistake_case("NO_BASE_CHECK", _EXACT_VERSION, make_bounds(3, 2, 0)),
    make_mistake_case("TRUST_REWRITE", _EXACT_VERSION, make_bounds(3, 2, 1)),
    make_mistake_case("NO_REPLAY", _EXACT_VERSION, make_bounds(3, 2, 1, restarts=1)),
    make_mistake_case("REWRITE_WINS", _EXACT_VERSION, make_bounds(3, 2, 1)),
    make_mistake_case("IGNORE_GAP", _EXACT_VERSION, make_bounds(3, 2, 0)),
    make_mistake_case("TRUST_PEER", _EXACT_VERSION, make_bounds(3, 2, 0, answers=1)),
    make_mistake_case("GO_DOWN", _VERSION_INCREASES, make_bounds(3, 2, 0, answers=1)),
    make_mistake_case("LAST_COPY", _CORRECT_ANSWER, make_bounds(3, 2, 0, late=1)),
    make_mistake_case("ANSWER_IS_ACCEPTANCE", _CORRECT_ANSWER, make_bounds(3, 2, 0)),
    make_mistake_case(
        "SILENCE_IS_REFUSAL", _CORRECT_ANSWER, make_bounds(3, 2, 0, late=1)
    ),
    make_mistake_case(
        "ANY_ANCHOR", _NEW_READER_EXACT, make_bounds(4, 2, 2), _BOUNDED_RETENTION
    ),
)
