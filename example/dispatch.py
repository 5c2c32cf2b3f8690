"""An example dispatch program that submits five messages to the sender on 127.0.0.1:6400."""

from __future__ import annotations

import socket
import uuid

SENDER = ("127.0.0.1", 6400)


def enqueue(msg_id: str, pairs: str, body: bytes) -> bytes:
    """The RESP2 command that submits one message."""
    args = [b"ENQUEUE", b"0", msg_id.encode(), pairs.encode(), body]
    return b"*%d\r\n" % len(args) + b"".join(b"$%d\r\n%b\r\n" % (len(arg), arg) for arg in args)


def main() -> None:
    """Submit five messages and print the answers."""
    with socket.create_connection(SENDER, 2) as connection, connection.makefile("rb") as answers:
        for number in range(5):
            msg_id = uuid.uuid4().hex[:16]
            pairs = f"c=confirmation,d=24000,k={uuid.uuid4().hex[:16]},dest=7"
            connection.sendall(enqueue(msg_id, pairs, f"stop {number} confirmed".encode()))
            print(msg_id, answers.readline().decode().strip())


if __name__ == "__main__":
    main()
