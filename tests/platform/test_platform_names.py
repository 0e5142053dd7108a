"""Names of the platform occur only in its folder, and the folder stays small."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent.parent / "eelgrassmount"
FOLDER = ROOT / "platform"
MAX_LINES = 900

# fields, headers, paths and terms that only the platform uses
PLATFORM_NAMES = re.compile(
    r"Attempt-Id|attempt-id|Deadline-Ms|deadline-ms|Expect-Instance|expect-instance"
    r"|Caller-Service|caller-service|Response-Signature|response-signature"
    r"|Not-Executed|not-executed|Instance-Id|instance-id"
    r"|trafficSplit|pathPrefix|routeRules|targetLatencyMs|timeoutMs|maxAttempts"
    r"|healthPath|maxConnections|headerTimeoutMs|idleTimeoutMs|maxHeaderBytes"
    r"|maxBodyBytes|coldRemainingMs|heartbeatAddr|nodeId|appAddr|portRange"
    r"|log-append|log-read|log-newest|log-trim|keyed\.op|/instances/"
    r"|EELGRASSMOUNT_NODE_FILE|\bsidecar\b|\btenants?\b|apiKeys|ratePerS"
    r"|[Xx]-[Aa]pi-[Kk]ey|\banonymous\b"
)


def list_sources() -> list[Path]:
    return [
        path
        for path in sorted(ROOT.rglob("*.py"))
        if FOLDER not in path.parents and path.parent.name != "gen"
    ]


@pytest.mark.parametrize("path", list_sources(), ids=lambda path: path.stem)
def test_platform_names_occur_only_in_the_folder(path):
    found = PLATFORM_NAMES.findall(path.read_text())
    assert found == []


def test_folder_stays_below_its_line_limit():
    lines = sum(
        len(path.read_text().splitlines()) for path in sorted(FOLDER.glob("*.py"))
    )
    assert lines <= MAX_LINES
