"""Cases of the model checker for keys, with the expected results."""

from __future__ import annotations

from tests.model.cases import Case

KEYS_MODEL = "keys.pml"
_SMALL_BOUNDS = ("VIEWS=2", "TRIES=1")
_BOUNDS = ("VIEWS=3", "TRIES=2")
_THREE_ATTEMPTS = ("VIEWS=2", "TRIES=1", "SENDINGS=3")
_RUN_ONCE = "runs<=1"
_NOT_RUN = "node[n].seen"

# each mistake with the assertion that it must violate
_MISTAKES = (
    ("RUN_BEFORE_ACK", _RUN_ONCE),
    ("ACK_ANY_VERSION", _RUN_ONCE),
    ("ALONE_WITHOUT_LOG", _RUN_ONCE),
    ("NO_TABLE", _RUN_ONCE),
    ("NO_TRANSFER", _RUN_ONCE),
    ("UNSYNCED_TAKEOVER", _RUN_ONCE),
    ("LOST_OPENS", _RUN_ONCE),
    ("NO_GUARD", _RUN_ONCE),
    ("LONE", _RUN_ONCE),
    ("FULL_UNCONFIRMED", _NOT_RUN),
    ("UNREACHABLE_NOT_RUN", _NOT_RUN),
    ("LAST_WINS", _RUN_ONCE),
)


def _make_mistake_case(
    name: str, assertion: str, bounds: tuple[str, ...] = _BOUNDS
) -> Case:
    title = "keys: mistake " + name.lower().replace("_", " ")
    return Case(title, KEYS_MODEL, (f"MISTAKE_{name}", *bounds), mistake=assertion)


KEYS_CASES = (
    Case(
        "keys: takeover, handover, delay, loss and an expired window",
        KEYS_MODEL,
        _BOUNDS,
        _SMALL_BOUNDS,
    ),
    Case("keys: a call not run frees its key", KEYS_MODEL, _THREE_ATTEMPTS),
    _make_mistake_case("FACT_ANY_MARK", _RUN_ONCE, _THREE_ATTEMPTS),
    *(_make_mistake_case(name, assertion) for name, assertion in _MISTAKES),
)
