"""Cases of the model checker for quotas, with the expected results."""

from __future__ import annotations

from tests.model.cases import Case

QUOTAS_MODEL = "quotas.pml"
_WITHIN_QUOTA = "handed<="


def make_bounds(
    ticks: int, switches: int, restarts: int, borrows: int
) -> tuple[str, ...]:
    """Return the defines that bound the model."""
    return (
        f"TICKS={ticks}",
        f"SWITCHES={switches}",
        f"RESTARTS={restarts}",
        f"BORROWS={borrows}",
    )


def make_mistake_case(name: str, bounds: tuple[str, ...]) -> Case:
    """Return the case of a seeded mistake that grants more than the quota."""
    title = "quotas: mistake " + name.lower().replace("_", " ")
    return Case(
        title, QUOTAS_MODEL, (f"MISTAKE_{name}", *bounds), mistake=_WITHIN_QUOTA
    )


QUOTAS_CASES = (
    Case(
        "quotas: lost, late and duplicated loans",
        QUOTAS_MODEL,
        make_bounds(4, 0, 0, 4),
        make_bounds(3, 0, 0, 2),
    ),
    Case(
        "quotas: nodes that change their allocator, and restarts",
        QUOTAS_MODEL,
        make_bounds(4, 3, 2, 2),
        make_bounds(3, 2, 1, 1),
    ),
    Case(
        "quotas: three nodes",
        QUOTAS_MODEL,
        (*make_bounds(4, 2, 1, 2), "NODES=3"),
        (*make_bounds(2, 1, 1, 1), "NODES=3"),
    ),
    make_mistake_case("LEND_WITHOUT_LOWERING", make_bounds(2, 0, 0, 1)),
    make_mistake_case("TAKE_ANY_LOAN", make_bounds(2, 0, 0, 1)),
    make_mistake_case("LEND_TO_ALL", make_bounds(3, 0, 0, 0)),
    make_mistake_case("LEASE_NEVER_ENDS", make_bounds(4, 1, 0, 0)),
    make_mistake_case("BEGIN_FULL", make_bounds(1, 0, 1, 0)),
)
