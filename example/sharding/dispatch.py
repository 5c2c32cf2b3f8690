"""An example dispatch program: submits a message for each of ten destinations to a sender that accepts it."""

from __future__ import annotations

import socket
import uuid

SENDERS = [("127.0.0.1", port) for port in (6441, 6442, 6443, 6444)]
DESTINATIONS = range(10)


def submit(address: tuple[str, int], msg_id: str, destination: int, body: bytes) -> bool:
    """Whether the sender accepted the message; one without the destination's shard answers -BUSY."""
    args = [b"ENQUEUE", b"0", msg_id.encode(), f"c=note,d=20000,dest={destination}".encode(), body]
    request = b"*%d\r\n" % len(args) + b"".join(b"$%d\r\n%b\r\n" % (len(arg), arg) for arg in args)
    try:
        with socket.create_connection(address, 2) as connection, connection.makefile("rb") as answers:
            connection.sendall(request)
            return answers.readline().startswith(b"+")
    except OSError:
        return False


def main() -> None:
    """Submit one message for each destination, trying one sender after another."""
    for destination in DESTINATIONS:
        msg_id, body = uuid.uuid4().hex[:16], f"for {destination}".encode()
        accepting = (port for host, port in SENDERS if submit((host, port), msg_id, destination, body))
        print(f"destination {destination}: {msg_id} accepted by {next(accepting, 'no sender')}")


if __name__ == "__main__":
    main()
