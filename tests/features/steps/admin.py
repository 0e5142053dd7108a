"""Steps with a fake admin listener that gives prepared answers."""

from __future__ import annotations

import json
import socket
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

from behave import given, then

VERSIONS = [
    {"version": 5, "base": 4, "offset": 9, "text": "# five"},
    {"version": 6, "base": 5, "offset": 12, "text": "# six"},
]


class Handler(BaseHTTPRequestHandler):
    def do_GET(self):
        if self.path == "/config":
            self.answer(200, {"log_reachable": True, **VERSIONS[-1]})
        else:
            self.answer(200, {"versions": VERSIONS})

    def do_POST(self):
        server = self.server
        body = self.rfile.read(int(self.headers["Content-Length"]))
        server.publishes.append((parse_qs(urlsplit(self.path).query), body.decode()))
        if len(server.publishes) <= server.answers_to_lose:
            self.close_connection = True
        else:
            self.answer(*server.publish_answer)

    def answer(self, status, content):
        body = json.dumps(content).encode()
        self.send_response(status)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *args):
        return


@given("a node that does not run")
def find_closed_address(context):
    probe = socket.socket()
    probe.bind(("127.0.0.1", 0))
    # bound without listening, so that no other program gets the port
    context.add_cleanup(probe.close)
    context.names["admin"] = f"127.0.0.1:{probe.getsockname()[1]}"


@given("a node whose configuration has version 6")
def start_listener(context):
    server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    server.publishes = []
    server.answers_to_lose = 0
    threading.Thread(target=server.serve_forever, daemon=True).start()
    context.add_cleanup(server.server_close)
    context.add_cleanup(server.shutdown)
    context.server = server
    context.names["admin"] = f"127.0.0.1:{server.server_port}"


@given("it answers a publish with {status:d} and {body}")
def set_answer(context, status, body):
    context.server.publish_answer = (status, json.loads(body))


@given("it loses the answer to the first publish")
def lose_answer(context):
    context.server.answers_to_lose = 1


@then("the publish was sent once on top of version {base}")
def check_base(context, base):
    [(query, _)] = context.server.publishes
    assert query["base"] == [base], query


@then("the publish was sent {times:d} times with the same id")
def check_ids(context, times):
    queries = [query for query, _ in context.server.publishes]
    assert len(queries) == times, queries
    assert all(query == queries[0] for query in queries), queries


@then("the publish carried the text of version 5")
def check_text(context):
    [(_, text)] = context.server.publishes
    assert text == "# five", text
