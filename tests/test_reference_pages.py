"""The reference pages name everything that the program has."""

from __future__ import annotations

from pathlib import Path

import pytest
from prometheus_client import generate_latest

from eelgrassmount.cmd.main import COMMANDS
from eelgrassmount.metrics import make_metrics
from eelgrassmount.settings import list_rules
from eelgrassmount.verdict import Reason

REFERENCE = Path(__file__).parent.parent / "docs" / "reference"


def _list_metrics() -> list[str]:
    families = make_metrics().registry.collect()
    return [f"{f.name}_total" if f.type == "counter" else f.name for f in families]


def _list_commands() -> list[str]:
    groups = {name: item for name, item in COMMANDS.items() if isinstance(item, dict)}
    plain = [name for name in COMMANDS if name not in groups]
    return plain + [f"{name} {sub}" for name, group in groups.items() for sub in group]


@pytest.mark.parametrize(
    ("page", "names"),
    [
        ("settings.rst", list(list_rules())),
        ("metrics.rst", _list_metrics()),
        ("reasons.rst", [str(reason) for reason in Reason]),
        ("command-line.rst", _list_commands()),
    ],
)
def test_page_names_everything(page, names):
    text = (REFERENCE / page).read_text()
    assert [name for name in names if f"``{name}``" not in text] == []


def test_every_refusal_reason_shows_zero():
    text = generate_latest(make_metrics().registry).decode()
    for reason in Reason:
        assert f'eelgrassmount_refusals_total{{reason="{reason}"}} 0.0' in text
