"""One load process of `benchmarks.idle`: keeps thousands of connections, controlled by JSON lines on stdin.

The connections are plain sockets in one epoll, so that they cost little. Each line on stdin is a command, and
each line on stdout its result. Commands: open, wake, reset, silence, beat (heartbeats at a rate), close,
state. The process ends when stdin does.
"""

from __future__ import annotations

import contextlib
import json
import os
import random
import select
import socket
import struct
import sys
import time
from collections import deque
from typing import Any

from mountgauge.amqp import codec

_OPENING = b"".join((
    codec.PROTOCOL_HEADER,
    codec.method(0, "connection.start-ok", mechanism="PLAIN", response="\0u\0p", locale="en_US"),
    codec.method(0, "connection.tune-ok", channel_max=16, frame_max=4096, heartbeat=60),
    codec.method(0, "connection.open", vhost="/"),
    codec.method(1, "channel.open"),
    codec.method(1, "confirm.select"),
))  # fmt: skip
_OPENED = codec.method(1, "confirm.select-ok")
_PING = b"*1\r\n$4\r\nPING\r\n"
_BEAT = codec.frame(codec.HEARTBEAT, 0, b"")
_OPENING_AT_ONCE = 64  # connections


def _enqueue(msg_id: str) -> bytes:
    args = (b"ENQUEUE", b"0", msg_id.encode(), b"c=note,d=3000,dest=7", b"woken")
    return b"*%d\r\n" % len(args) + b"".join(b"$%d\r\n%b\r\n" % (len(a), a) for a in args)


def _publish(msg_id: str) -> bytes:
    properties = {"message_id": msg_id, "type": "note", "expiration": "3000"}
    head = codec.method(1, "basic.publish", routing_key="7", mandatory=True)
    return head + codec.content(1, properties, b"woken", 4096)


class Load:
    """The connections of one load process, and the data received on them."""

    def __init__(self, front: str, port: int, source: str) -> None:
        self.front, self.port, self.source = front, port, source
        self.epoll = select.epoll()
        self.socks: dict[int, socket.socket] = {}
        self.got: dict[int, bytes] = {}
        self.beats: deque[int] = deque()
        self.beat_every = 0.0  # s between two heartbeats of one connection; 0: none
        self.next_beat = 0.0
        self.lost = 0

    def open(self, count: int) -> dict[str, Any]:
        """Open so many connections, each with a request; stop at the first that is refused or unanswered."""
        opened, began = 0, time.monotonic()
        while opened < count:
            step = []
            for _ in range(min(_OPENING_AT_ONCE, count - opened)):
                sock = socket.socket()
                try:
                    sock.bind((self.source, 0))
                    sock.connect(("127.0.0.1", self.port))
                except OSError as error:
                    sock.close()
                    return {"opened": opened, "why": f"connect: {error.strerror}"}
                sock.settimeout(3)
                sock.sendall(_PING if self.front == "resp" else _OPENING)
                step.append(sock)
            for sock in step:
                why = self._opened(sock)
                if why:
                    return {"opened": opened, "why": why}
                sock.setblocking(False)
                self.socks[sock.fileno()] = sock
                self.epoll.register(sock.fileno(), select.EPOLLIN)
                self.beats.append(sock.fileno())
                opened += 1
            self.pump(0)
        return {"opened": opened, "seconds": time.monotonic() - began}

    def _opened(self, sock: socket.socket) -> str:
        wanted = b"+PONG\r\n" if self.front == "resp" else _OPENED
        data = b""
        try:
            while not data.endswith(wanted):
                chunk = sock.recv(4096)
                if not chunk:
                    return "closed by the sender"
                if chunk.startswith(b"-"):
                    return chunk.decode("latin-1").strip()
                data += chunk
        except OSError as error:
            return f"no answer: {error}"
        return ""

    def pump(self, wait: float) -> list[tuple[int, bytes]]:
        """Read what has arrived; connections that the other side closed are dropped and counted."""
        found = []
        for fd, _ in self.epoll.poll(wait, 512):
            try:
                data = self.socks[fd].recv(4096)
            except BlockingIOError:
                continue
            except OSError:
                data = b""
            if data:
                found.append((fd, data))
            else:
                self.lost += 1
                self.drop(fd)
        return found

    def drop(self, fd: int, reset: bool = False) -> None:
        """Close a connection, with a TCP reset if asked for."""
        sock = self.socks.pop(fd)
        if reset:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.epoll.unregister(fd)
        sock.close()

    def beat(self) -> float:
        """Send the heartbeats that are due; the seconds until the next one."""
        if not self.beat_every or not self.beats:
            return 0.2
        now = time.monotonic()
        for _ in range(200):
            if self.next_beat > now or not self.beats:
                break
            fd = self.beats.popleft()
            if fd in self.socks:
                with contextlib.suppress(OSError):
                    self.socks[fd].send(_BEAT)
                self.beats.append(fd)
            self.next_beat = max(self.next_beat + self.beat_every / max(1, len(self.beats)), now - 1)
        return max(0.0, self.next_beat - now)

    def wake(self, within: float, name: str, seed: int) -> dict[str, Any]:
        """Submit a message on each connection, at random moments of `within` s, and collect the answers."""
        rng = random.Random(seed)
        begin = time.monotonic() + 0.2
        plan = deque(sorted((begin + rng.random() * within, fd) for fd in self.socks))
        submitted: dict[int, float] = {}
        answers: list[tuple[float, str, int]] = []
        late = 0.0  # s by which this process itself was behind its plan
        while plan or (submitted and time.monotonic() < begin + within + 5):
            now = time.monotonic()
            for _ in range(64):
                if not plan or plan[0][0] > now:
                    break
                when, fd = plan.popleft()
                if fd not in self.socks:
                    continue
                late = max(late, now - when)
                text = f"{name}-{fd}"
                submitted[fd] = time.monotonic()
                try:
                    self.socks[fd].send(_enqueue(text) if self.front == "resp" else _publish(text))
                except OSError:
                    submitted.pop(fd, None)
            for fd, data in self.pump(0 if plan else 0.05):
                if fd not in submitted:
                    continue
                kind, retry_ms = self._answer(fd, data)
                if kind:
                    answers.append((time.monotonic() - submitted.pop(fd), kind, retry_ms))
        times = sorted(answer[0] for answer in answers)
        return {
            "asked": len(answers) + len(submitted), "unanswered": len(submitted),
            "late": sum(t > 0.4 for t in times) if self.front == "resp" else
            sum(t > 0.4 and kind != "ok" for t, kind, _ in answers),
            "ok": sum(kind == "ok" for _, kind, _ in answers),
            "busy": sum(kind == "busy" for _, kind, _ in answers),
            "longest": times[-1] if times else 0.0, "behind": late,
            "again": [retry_ms for _, kind, retry_ms in answers if kind == "busy"],
        }  # fmt: skip

    def _answer(self, fd: int, data: bytes) -> tuple[str, int]:
        """The kind of answer and its retry time in ms; the kind is empty while the answer is incomplete."""
        if self.front == "resp":
            if data.startswith(b"+OK"):
                return "ok", 0
            if data.startswith(b"-BUSY"):
                fields = data.split()
                return "busy", int(fields[1]) if len(fields) > 1 else 0
            return "other", 0
        data = self.got.pop(fd, b"") + data
        parser = codec.FrameParser(1 << 17)
        parser.feed(data)
        retry_ms = 0
        while (frame := parser.next()) is not None:
            if frame.kind != codec.METHOD:
                continue
            method = codec.decode_method(frame.payload)
            if method.name == "basic.ack":
                return "ok", 0
            if method.name == "basic.return":
                retry_ms = int(method.args["text"].rpartition("again_ms=")[2] or 0)
            elif method.name == "basic.nack":
                return "busy", retry_ms
        self.got[fd] = data
        return "", 0

    def reset(self, share: float) -> dict[str, Any]:
        """Reset this share of the connections."""
        chosen = list(self.socks)[: int(len(self.socks) * share)]
        for fd in chosen:
            self.drop(fd, reset=True)
        return {"reset": len(chosen)}

    def silence(self, share: float) -> dict[str, Any]:
        """Stop the heartbeats of this share of the connections, without closing them."""
        chosen = set(list(self.socks)[: int(len(self.socks) * share)])
        self.beats = deque(fd for fd in self.beats if fd not in chosen)
        return {"silent": len(chosen)}

    def execute(self, line: str) -> dict[str, Any]:
        """Carry out one command; its result."""
        command = json.loads(line)
        match command.pop("do"):
            case "open":
                return self.open(command["count"])
            case "wake":
                return self.wake(command["within"], command["name"], command["seed"])
            case "reset":
                return self.reset(command["share"])
            case "silence":
                return self.silence(command["share"])
            case "beat":
                self.beat_every, self.next_beat = command["every"], time.monotonic()
                return {}
            case "close":
                for fd in list(self.socks):
                    self.drop(fd)
                return {"lost": self.lost}
            case "state":
                return {"held": len(self.socks), "lost": self.lost}
            case other:
                raise ValueError(other)


def main() -> None:
    """Carry out commands from stdin until it ends."""
    front, port, source = sys.argv[1:]
    load = Load(front, int(port), source)
    pending = b""
    os.set_blocking(0, False)
    wait = select.poll()
    wait.register(0, select.POLLIN)
    wait.register(load.epoll.fileno(), select.POLLIN)
    while True:
        wait.poll(load.beat() * 1000)
        load.pump(0)
        try:
            chunk = os.read(0, 65536)
        except BlockingIOError:
            continue
        if not chunk:
            return
        pending += chunk
        while b"\n" in pending:
            line, _, pending = pending.partition(b"\n")
            print(json.dumps(load.execute(line.decode())), flush=True)


if __name__ == "__main__":
    main()
