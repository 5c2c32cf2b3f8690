"""An example dispatch program: logs in to each sender as rossi and verdi, and submits messages for both."""

from __future__ import annotations

import socket
import uuid


def command(*args: bytes) -> bytes:
    """A RESP2 command."""
    return b"*%d\r\n" % len(args) + b"".join(b"$%d\r\n%b\r\n" % (len(arg), arg) for arg in args)


def main() -> None:
    """Submit messages for both tenants to each sender."""
    for port in (6411, 6412, 6413):
        for user in (b"rossi", b"verdi"):
            with (
                socket.create_connection(("127.0.0.1", port), 2) as connection,
                connection.makefile("rb") as answers,
            ):
                connection.sendall(command(b"AUTH", user, b"change-me"))
                answers.readline()
                answered = []
                for _ in range(10):
                    name = uuid.uuid4().hex[:16].encode()
                    pairs = b"c=confirmation,d=24000,k=%b,dest=7" % name
                    connection.sendall(command(b"ENQUEUE", b"0", name, pairs, b"stop confirmed"))
                    answered.append(answers.readline().decode().strip())
            print(port, user.decode(), *answered)


if __name__ == "__main__":
    main()
