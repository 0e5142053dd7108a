"""Minimal node for tests of the stand-ins: round robin over a folder of addresses."""

from __future__ import annotations

import itertools
import json
import os
from pathlib import Path
from typing import Any

import anyio
import fire

from standins.client import Client, UnansweredError
from standins.web import Listener, Request, Response, serve_until_signal

_FORWARDED_HEADERS = ("eelgrassmount-call", "content-digest")


def node(
    caller_address: str, backend_address: str, admin_address: str, **others: Any
) -> None:
    """Serve as a node; servers register in the folder ``FAKE_NODE_FOLDER``."""
    folder = Path(os.environ["FAKE_NODE_FOLDER"])
    client = Client()
    ids = itertools.count(1)

    async def announce(request: Request) -> Response:
        body = await request.read_json()
        path = folder / body["service"] / body["address"]
        path.parent.mkdir(exist_ok=True)
        if request.method == "DELETE":
            path.unlink(missing_ok=True)
        else:
            path.touch()
        return Response.from_json({"incarnation": "1", "in_flight": 0})

    async def forward(request: Request) -> Response:
        body = await request.read()
        servers = sorted(os.listdir(folder / request.path.split("/")[1]))
        number = next(ids)
        headers = {
            "eelgrassmount-call": f"{caller_address}.{number}",
            "eelgrassmount-timeout-ms": request.headers.get(
                "eelgrassmount-timeout-ms", "10000"
            ),
        }
        try:
            answer = await client.request(
                servers[number % len(servers)],
                request.method,
                request.path,
                headers,
                body,
            )
        except UnansweredError:
            return Response(502, b"", {"eelgrassmount-verdict": "may-have-run"})
        forwarded = {
            name: answer.headers[name]
            for name in _FORWARDED_HEADERS
            if name in answer.headers
        }
        verdict = "answered" if answer.status == 200 else "not-run"
        headers = {**forwarded, "eelgrassmount-verdict": verdict}
        return Response(answer.status, answer.body, headers)

    async def handle_backend(request: Request) -> Response:
        if request.path == "/_eelgrassmount/server":
            return await announce(request)
        return await forward(request)

    async def handle_admin(request: Request) -> Response:
        return Response.from_json(json.loads(await request.read() or b"{}"))

    async def run() -> None:
        await serve_until_signal(
            Listener(caller_address, forward).serve,
            Listener(backend_address, handle_backend).serve,
            Listener(admin_address, handle_admin).serve,
        )

    anyio.run(run)


if __name__ == "__main__":
    fire.Fire({"node": node})
