"""Records a member's calls for the list as the member makes them, also those that its link drops."""

from __future__ import annotations

from urllib.parse import parse_qs, urlsplit

from mountgauge.lab.rig.events import Events

PATH = "/registry/instances"
_BEGIN = b"GET " + PATH.encode()
_HEAD_END = b"\r\n\r\n"


def read_wait(path: str) -> tuple[bool, float]:
    """Whether a call for the list is a watch, and how long (s) it may wait for a change."""
    pairs = parse_qs(urlsplit(path).query)
    return "index" in pairs, int(pairs.get("wait", ["0"])[0]) / 1000


def connection_name(link: str, number: int) -> str:
    """The name of a connection of a member's link to discovery in events."""
    return f"{link}/{number}"


class ListCallRecorder:
    """Watches one member's link to discovery, which also carries its notices."""

    def __init__(self, member: str, link: str, events: Events) -> None:
        self._member, self._link, self._events = member, link, events
        self._asked: set[int] = set()  # connections with a call for the list
        self._partial: dict[int, bytes] = {}  # by connection: the received part of a request

    def data_sent(self, connection: int, data: bytes) -> None:
        data = self._partial.pop(connection, b"") + data
        begins = data.startswith(_BEGIN) or _BEGIN.startswith(data)
        if begins and _HEAD_END not in data:
            self._partial[connection] = data
        elif data.startswith(_BEGIN):
            self._asked.add(connection)
            watch, wait_s = read_wait(data.split(b" ", 2)[1].decode())
            self._events.add(
                "list-ask", member=self._member, connection=self._name(connection), watch=watch, wait_s=wait_s
            )

    def closed(self, connection: int) -> None:
        self._partial.pop(connection, None)
        if connection in self._asked:
            self._asked.discard(connection)
            self._events.add("list-end", member=self._member, connection=self._name(connection))

    def refused(self) -> None:
        self._events.add("dial-refused", member=self._member)

    def _name(self, connection: int) -> str:
        return connection_name(self._link, connection)
