"""JSON replies of the admin interface."""

from __future__ import annotations

import json
from typing import Any

from eelgrassmount.edge.http import HttpReply
from eelgrassmount.verdict import Header

_CONTENT_TYPE = Header("content-type", "application/json")


def make_json_reply(status: int, content: Any) -> HttpReply:
    """Return a reply with a JSON body that ends with a line feed."""
    body = json.dumps(content, indent=2).encode() + b"\n"
    return HttpReply(status, (_CONTENT_TYPE,), body)
