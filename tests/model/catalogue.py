"""Every case of every model."""

from __future__ import annotations

from tests.model.cases import CONFIG_CASES
from tests.model.keys_cases import KEYS_CASES
from tests.model.quotas_cases import QUOTAS_CASES

ALL_CASES = (*CONFIG_CASES, *KEYS_CASES, *QUOTAS_CASES)
