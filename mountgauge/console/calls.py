"""The console's calls and replies, parsed from and encoded to HTTP messages. No I/O, no clock."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

import orjson

from mountgauge.http1 import Message, response

MAX_BODY_BYTES = 4096  # of a call's body


class Kind(StrEnum):
    """The calls that an operator may make."""

    READY = "ready"
    DETACH = "detach"
    ATTACH = "attach"
    LAME_ON = "lameduck-on"
    LAME_OFF = "lameduck-off"


_PATHS = {
    "/_ready": ("GET", Kind.READY),
    "/_endpoints/detach": ("POST", Kind.DETACH),
    "/_endpoints/attach": ("POST", Kind.ATTACH),
    "/_lameduck/on": ("POST", Kind.LAME_ON),
    "/_lameduck/off": ("POST", Kind.LAME_OFF),
}
_REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 503: "Unavailable"}


class Call(NamedTuple):
    """One call of an operator."""

    kind: Kind
    endpoint_id: str = ""  # only for detach and attach


class Reply(NamedTuple):
    """The answer to a call: an HTTP status and one line of text."""

    status: int
    text: str

    @property
    def ok(self) -> bool:
        """Whether the call succeeded."""
        return 200 <= self.status < 300

    def encode(self) -> bytes:
        """The HTTP response, with a JSON object as its body."""
        body = orjson.dumps({"ok": self.ok, "says": self.text}) + b"\n"
        headers = {"Content-Type": "application/json", "Connection": "close"}
        return response(self.status, _REASONS.get(self.status, "Error"), headers, body)


def parse_call(message: Message) -> Call | Reply:
    """The call in a complete request, or the error reply if the request is not valid."""
    if message.start is None:
        return Reply(400, "no request line")
    method, target, _ = message.start
    path = target.split("?", 1)[0]
    known = _PATHS.get(path)
    if known is None:
        return Reply(404, f"no such call: {path[:80]}")
    wanted, kind = known
    if method != wanted:
        return Reply(405, f"{path} takes {wanted}")
    if kind not in (Kind.DETACH, Kind.ATTACH):
        return Call(kind)
    try:
        found = orjson.loads(bytes(message.body))
    except orjson.JSONDecodeError:
        return Reply(400, 'the body is not JSON: {"who":"ID"} is wanted')
    who = found.get("who") if isinstance(found, dict) else None
    if not isinstance(who, str) or not who:
        return Reply(400, 'no "who" in the body: {"who":"ID"} is wanted')
    return Call(kind, who)
