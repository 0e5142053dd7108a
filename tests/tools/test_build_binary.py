"""The zip application runs on a plain Python, and serves a request."""

from __future__ import annotations

import os
import subprocess
import sys
import urllib.request
from pathlib import Path

import pytest

from eelgrassmount import __version__
from standins.deploy import Deployment, DeploymentSpec, ServiceSpec
from tools.build_binary import build

CONFIGURATION = """
failure_domains = ["bowbazar"]

[[class]]
name = "lookup"
routes = ["GET /ratebook/price"]
idempotent = true
refuse_last = false
complete_fraction = 0.9
within_ms = 5000
"""
TIMEOUT_S = 60.0


@pytest.fixture(scope="module")
def command(tmp_path_factory):
    """Build the program; return the command for the environment's base Python."""
    path = tmp_path_factory.mktemp("dist") / "eelgrassmount"
    build(str(path))
    python = Path(sys.base_prefix) / "bin" / "python3.11"
    # Isolated from environment variables and installed packages.
    return (str(python), "-I", "-S", str(path))


def test_program_runs_without_environment(command, tmp_path):
    result = subprocess.run(
        [*command, "version"],
        env={"TMPDIR": str(tmp_path)},
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        check=False,
    )
    assert (result.returncode, result.stderr) == (0, "")
    assert result.stdout == f"eelgrassmount {__version__}\n"


def test_program_serves_a_request(command, tmp_path, monkeypatch):
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    spec = DeploymentSpec(
        ("bowbazar",), (ServiceSpec("ratebook"),), node_command=command
    )
    with Deployment(spec) as deployment:
        assert deployment.publish(CONFIGURATION).returncode == 0
        deployment.wait_until_in_force(1, TIMEOUT_S)
        [vm] = deployment.vms
        request = urllib.request.Request(
            f"http://{vm.caller_address}/ratebook/price", b'{"request": "r1"}'
        )
        request.method = "GET"
        with urllib.request.urlopen(request, timeout=TIMEOUT_S) as response:
            assert response.status == 200
            assert response.headers["Eelgrassmount-Verdict"] == "answered"
        pid = vm.node.pid
        children = Path(f"/proc/{pid}/task/{pid}/children").read_text()
        loaded = Path(f"/proc/{pid}/maps").read_text()
    assert children == ""
    # The C extensions are loaded and their temporary files removed.
    assert "(deleted)" in loaded
    assert [name for name in os.listdir(tmp_path) if name.endswith(".so")] == []
