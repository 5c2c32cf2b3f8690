"""An example partner: accepts calls on 127.0.0.1:8081 and prints them. Every third fails, to show a retry."""

from __future__ import annotations

from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from itertools import count

CALLS = count(1)


class Partner(BaseHTTPRequestHandler):
    """Prints each call, and fails every third."""

    protocol_version = "HTTP/1.1"  # keeps connections open between calls

    def do_POST(self) -> None:
        """Answer a call and print it."""
        body = self.rfile.read(int(self.headers["Content-Length"]))
        status = 500 if next(CALLS) % 3 == 0 else 200
        key = self.headers["Idempotency-Key"] or "-"
        print(f"{status} {self.headers['X-Trace-Id']} {key} {body.decode()}\n", end="", flush=True)
        self.send_response(status)
        self.send_header("Content-Length", "0")
        self.end_headers()

    def log_message(self, format: str, *args: object) -> None:
        """Log nothing: `do_POST` prints each call."""


if __name__ == "__main__":
    print("partner on 127.0.0.1:8081", flush=True)
    ThreadingHTTPServer(("127.0.0.1", 8081), Partner).serve_forever()
