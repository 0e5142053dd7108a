"""What the checker is run on for quotas, and what it must say."""

from __future__ import annotations

from tests.model.cases import Case

QUOTAS = "quotas.pml"
_BROKEN = "handed<="


def bound(ticks: int, switches: int, restarts: int, borrows: int) -> tuple[str, ...]:
    """Return the defines that bound the model."""
    return (
        f"TICKS={ticks}",
        f"SWITCHES={switches}",
        f"RESTARTS={restarts}",
        f"BORROWS={borrows}",
    )


def seed_mistake(name: str, bounds: tuple[str, ...]) -> Case:
    """Return the case of one mistake, by which more than the quota is handed out."""
    title = "quotas: mistake " + name.lower().replace("_", " ")
    return Case(title, QUOTAS, (f"MISTAKE_{name}", *bounds), mistake=_BROKEN)


QUOTAS_CASES = (
    Case(
        "quotas: loans that are lost, late or doubled",
        QUOTAS,
        bound(4, 0, 0, 4),
        bound(3, 0, 0, 2),
    ),
    Case(
        "quotas: nodes that change their holder, and restarts",
        QUOTAS,
        bound(4, 3, 2, 2),
        bound(3, 2, 1, 1),
    ),
    Case(
        "quotas: three nodes",
        QUOTAS,
        (*bound(4, 2, 1, 2), "NODES=3"),
        (*bound(2, 1, 1, 1), "NODES=3"),
    ),
    seed_mistake("LEND_WITHOUT_LOWERING", bound(2, 0, 0, 1)),
    seed_mistake("TAKE_ANY_LOAN", bound(2, 0, 0, 1)),
    seed_mistake("LEND_TO_ALL", bound(3, 0, 0, 0)),
    seed_mistake("LEASE_NEVER_ENDS", bound(4, 1, 0, 0)),
    seed_mistake("BEGIN_FULL", bound(1, 0, 1, 0)),
)
