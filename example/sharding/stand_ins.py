"""Stand-ins for the example: a discovery on 127.0.0.1:8541 and a partner on 127.0.0.1:8542.

The partner has two endpoints for each of 40 destinations. Every ten seconds discovery marks one endpoint as
leaving and the previous one as active again.
"""

from __future__ import annotations

import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any
from urllib.parse import parse_qs, urlsplit

DISCOVERY, PARTNER = ("127.0.0.1", 8541), ("127.0.0.1", 8542)
DESTINATIONS = 40
CHANGE_EVERY_S = 10.0


class EndpointList:
    """Discovery's list of endpoints, with the version in which each of them last changed."""

    def __init__(self) -> None:
        # Above the versions of the previous run: the relays refuse a version that went back.
        self.version = int(time.time())
        self.version_changed = threading.Condition()
        self.lines: dict[str, dict[str, Any]] = {}
        self.changed: dict[str, int] = {}
        for destination in range(DESTINATIONS):
            for prefix in "xy":
                self._put(f"{prefix}{destination}", destination, "active")

    def _put(self, name: str, destination: int, state: str) -> None:
        self.lines[name] = {
            "id": name, "addr": f"{PARTNER[0]}:{PARTNER[1]}", "zone": "a", "kind": "http",
            "cell": destination, "state": state, "weight": 1.0, "started_ms": 0,
        }  # fmt: skip
        self.changed[name] = self.version

    def change(self, destination: int, state: str) -> None:
        """Change the state of a destination's first endpoint."""
        with self.version_changed:
            self.version += 1
            self._put(f"x{destination}", destination, state)
            self.version_changed.notify_all()

    def full(self) -> dict[str, Any]:
        """The full list."""
        with self.version_changed:
            return {"version": self.version, "full": True, "servers": list(self.lines.values())}

    def since(self, index: int, wait_s: float) -> dict[str, Any]:
        """The endpoints that changed after a version; waits until there are some, or for `wait_s` seconds."""
        with self.version_changed:
            self.version_changed.wait_for(lambda: self.version > index, wait_s)
            lines = [one for name, one in self.lines.items() if self.changed[name] > index]
            return {"version": self.version, "full": False, "servers": lines}


LIST = EndpointList()


class Discovery(BaseHTTPRequestHandler):
    """Answers requests for the full list and watches for changes."""

    protocol_version = "HTTP/1.1"

    def do_GET(self) -> None:
        """Answer with the full list, or with the changes since the version asked for."""
        query = parse_qs(urlsplit(self.path).query)
        if "index" in query:
            found = LIST.since(int(query["index"][0]), int(query["wait"][0]) / 1000)
        else:
            found = LIST.full()
            print(f"discovery: full list requested, version {found['version']}", flush=True)
        body = json.dumps(found).encode()
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, format: str, *args: object) -> None:
        """Log nothing: a watch arrives every second."""


class Partner(BaseHTTPRequestHandler):
    """Accepts each call and prints it."""

    protocol_version = "HTTP/1.1"

    def do_POST(self) -> None:
        """Answer a call and print it."""
        body = self.rfile.read(int(self.headers["Content-Length"]))
        print(f"partner: {self.headers['X-Trace-Id']} {body.decode()}", flush=True)
        self.send_response(200)
        self.send_header("Content-Length", "0")
        self.end_headers()

    def log_message(self, format: str, *args: object) -> None:
        """Log nothing: `do_POST` prints each call."""


def main() -> None:
    """Serve both, and change the list every `CHANGE_EVERY_S` seconds."""
    for address, handler in ((DISCOVERY, Discovery), (PARTNER, Partner)):
        server = ThreadingHTTPServer(address, handler)
        threading.Thread(target=server.serve_forever, daemon=True).start()
    print(f"discovery on {DISCOVERY[0]}:{DISCOVERY[1]}, partner on {PARTNER[0]}:{PARTNER[1]}", flush=True)
    destination = 0
    while True:
        time.sleep(CHANGE_EVERY_S)
        LIST.change(destination, "active")
        destination = (destination + 1) % DESTINATIONS
        LIST.change(destination, "leaving")
        print(f"discovery: x{destination} leaves, version {LIST.version}", flush=True)


if __name__ == "__main__":
    main()
