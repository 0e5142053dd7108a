"""The reference pages list all settings, metrics, reasons and commands."""

from __future__ import annotations

import enum
from pathlib import Path

import pytest
from prometheus_client import generate_latest

from eelgrassmount import metrics
from eelgrassmount.cmd.action import ExitCode
from eelgrassmount.cmd.main import COMMANDS
from eelgrassmount.members.counts import Count
from eelgrassmount.settings import list_rules
from eelgrassmount.verdict import Reason

REFERENCE = Path(__file__).parent.parent / "docs" / "reference"


def _list_metrics() -> list[str]:
    families = metrics.make_metrics().registry.collect()
    return [f"{f.name}_total" if f.type == "counter" else f.name for f in families]


def _list_labels() -> list[str]:
    enums = [
        item
        for item in vars(metrics).values()
        if isinstance(item, enum.EnumType) and item not in (enum.StrEnum, Reason)
    ]
    return [str(label) for labels in (*enums, Count) for label in labels]


def _list_commands() -> list[str]:
    groups = {name: item for name, item in COMMANDS.items() if isinstance(item, dict)}
    plain = [name for name in COMMANDS if name not in groups]
    return plain + [f"{name} {sub}" for name, group in groups.items() for sub in group]


NAMES = {
    "settings.rst": list(list_rules()),
    "metrics.rst": _list_metrics() + _list_labels(),
    "reasons.rst": [str(reason) for reason in Reason],
    "command-line.rst": _list_commands() + [str(int(code)) for code in ExitCode],
}


@pytest.mark.parametrize("page", NAMES)
def test_page_lists_all_names(page):
    text = (REFERENCE / page).read_text()
    assert [name for name in NAMES[page] if f"``{name}``" not in text] == []


def test_settings_page_names_allowed_values():
    text = " ".join((REFERENCE / "settings.rst").read_text().split())
    assert [r.allowed for r in list_rules().values() if r.allowed not in text] == []


def test_every_refusal_reason_starts_at_zero():
    text = generate_latest(metrics.make_metrics().registry).decode()
    for reason in Reason:
        assert f'eelgrassmount_refusals_total{{reason="{reason}"}} 0.0' in text
