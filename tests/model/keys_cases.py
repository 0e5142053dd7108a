"""What the checker is run on for the slots of keys, and what it must say."""

from __future__ import annotations

from tests.model.cases import Case

KEYS = "keys.pml"
_SMALL = ("VIEWS=2", "TRIES=1")
_BOUNDS = ("VIEWS=3", "TRIES=2")
_THRICE = ("VIEWS=2", "TRIES=1", "SENDINGS=3")
_ONCE = "runs<=1"
_NOT_RUN = "node[n].seen"

# each mistake with the assertion that it must break
_MISTAKES = (
    ("RUN_BEFORE_ACK", _ONCE),
    ("ACK_ANY_VERSION", _ONCE),
    ("ALONE_WITHOUT_LOG", _ONCE),
    ("NO_TABLE", _ONCE),
    ("NO_TRANSFER", _ONCE),
    ("UNSYNCED_TAKEOVER", _ONCE),
    ("LOST_OPENS", _ONCE),
    ("NO_GUARD", _ONCE),
    ("LONE", _ONCE),
    ("FULL_UNCONFIRMED", _NOT_RUN),
    ("UNREACHABLE_NOT_RUN", _NOT_RUN),
    ("LAST_WINS", _ONCE),
)


def _seed_mistake(name: str, breaks: str, bounds: tuple[str, ...] = _BOUNDS) -> Case:
    title = "keys: mistake " + name.lower().replace("_", " ")
    return Case(title, KEYS, (f"MISTAKE_{name}", *bounds), mistake=breaks)


KEYS_CASES = (
    Case(
        "keys: takeover, handover, delay, loss and a window that passes",
        KEYS,
        _BOUNDS,
        _SMALL,
    ),
    Case("keys: a call not run frees its key", KEYS, _THRICE),
    _seed_mistake("FACT_ANY_MARK", _ONCE, _THRICE),
    *(_seed_mistake(name, breaks) for name, breaks in _MISTAKES),
)
