"""The front for clients over RESP2: their commands become submissions for the core."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence

from mountgauge.access import DEFAULT_TENANT, Access
from mountgauge.clients.connection import BadRequestError, ClientConnection, ClientFront, Slot
from mountgauge.clients.parser import count_whole
from mountgauge.connections.admission import Bounds
from mountgauge.connections.registry import Registry
from mountgauge.connections.settings import platform_settings
from mountgauge.core.ports import Accepted, Answer, Status, Submission


class Clients(ClientFront):
    """The listening side: parses requests into submissions for the core."""

    def __init__(
        self,
        submit: Callable[[Submission], None],
        grades: tuple[str, ...],
        most: int,
        front: str = "platform",
        deadlines: Sequence[float] = (),
        access: Access | None = None,
        registry: Registry | None = None,
    ) -> None:
        """Without a `registry` of an operator's file, the platform's times and `most` connections hold."""
        registry = registry or Registry(platform_settings(most))
        settings = registry.settings
        bounds = Bounds(min(most, settings.most_resp), settings.most_per_user, settings.displace)
        super().__init__(registry, bounds, settings.resp)
        self._submit = submit
        self._grades = {name.encode(): place for place, name in enumerate(grades)}
        self._deadlines = deadlines or [math.inf] * len(grades)
        self._front = front
        self.access = access  # None on the platform, which knows no users
        self.lame_duck = False  # PING says no: the front is to send no more
        self.letting_go = False

    def retune(self, grades: tuple[str, ...], deadlines: Sequence[float]) -> None:
        """The classes of new settings: one that has gone is refused from now on, a new one is known."""
        self._grades = {name.encode(): place for place, name in enumerate(grades)}
        self._deadlines = list(deadlines) or [math.inf] * len(grades)

    async def listen(self, host: str, port: int) -> None:
        def full(came: bytes) -> bytes:
            return b"-BUSY %d\r\n" % self.come_again() * max(1, count_whole(came))

        self.listen_with(lambda: ClientConnection(self), full, host, port)

    def busy(self) -> bytes:
        return b"-BUSY %d\r\n" % self.come_again() if self.registry.sheds else b"-BUSY\r\n"

    def close_idle(self) -> None:
        self.close_each(ClientConnection.close)

    def close(self) -> None:
        self.close_idle()

    def request(self, args: list[bytes], connection: ClientConnection, slot: Slot) -> None:
        command = args[0].upper()
        if command == b"PING" and len(args) <= 2 and self.lame_duck:
            connection.answer(slot, b"-LAMEDUCK this sender is draining\r\n")
        elif command == b"PING" and len(args) <= 2:
            content = b"+PONG\r\n" if len(args) == 1 else b"$%d\r\n%b\r\n" % (len(args[1]), args[1])
            connection.answer(slot, content)
        elif command == b"AUTH" and self.access is not None:
            self._log_in(args, connection, self.access)
            connection.answer(slot, b"+OK\r\n")
        elif command == b"ENQUEUE":
            submission = self._submission(args, connection, slot)
            connection.handed_in += 1
            self._submit(submission)
        else:
            raise BadRequestError(f"unknown command '{_shown(args[0])}'")

    def turns_back(self, connection: ClientConnection, args: list[bytes]) -> bool:
        """More want to be heard than can be: answered at once, as the core could not do in time."""
        registry = self.registry
        if not registry.sheds or args[0] != b"ENQUEUE":
            return False
        if not registry.overload.pressed(registry.now(), connection.woken):
            return False
        self.counts["clients", "crowded"] += 1
        connection.say(b"-BUSY %d\r\n" % self.come_again())
        return True

    def _log_in(self, args: list[bytes], connection: ClientConnection, access: Access) -> None:
        if not access.users:
            raise BadRequestError("AUTH called without any users configured")
        if len(args) != 3:
            raise BadRequestError("AUTH takes a user and a password")
        tenant = access.tenant(args[1], args[2])
        if tenant is None:
            connection.tenant = ""
            raise BadRequestError("invalid username-password pair", "WRONGPASS")
        if self.admission.log_in(connection, args[1].decode("utf-8", "replace")) is not None:
            self.counts["clients", "turned-away-user-full"] += 1
            raise BadRequestError("max number of connections of this user reached", "MAXCLIENTS")
        connection.tenant = tenant

    def _submission(self, args: list[bytes], connection: ClientConnection, slot: Slot) -> Submission:
        if self.access is not None and not (connection.tenant or self.access.anonymous):
            raise BadRequestError("Authentication required.", "NOAUTH")
        if len(args) != 5:
            raise BadRequestError("wrong number of arguments for 'enqueue'")
        msg_id = _token(args[2], "id")
        pairs = dict(_pair(part) for part in args[3].split(b","))
        grade = self._grades.get(pairs.get(b"c", b""))
        if grade is None:
            raise BadRequestError(f"unknown class '{_shown(pairs.get(b'c', b''))}'")
        dest, left = pairs.get(b"dest", b""), pairs.get(b"d", b"")
        if not dest.isdigit() or len(dest) > 9:
            raise BadRequestError("dest: not a number")
        if not left.isdigit() or len(left) > 9:
            raise BadRequestError("d: not a number of milliseconds")
        if not int(left):
            raise BadRequestError("d: no time left")
        key = _token(pairs[b"k"], "k") if b"k" in pairs else ""

        def answer(what: Answer) -> None:
            connection.answer(slot, self._reply(what))

        return Submission(
            msg_id,
            grade,
            min(int(left) / 1000, self._deadlines[grade]),
            int(dest),
            key,
            args[4],
            self._front,
            answer,
            lambda: not connection.closed,
            connection.tenant or DEFAULT_TENANT,
        )

    def _reply(self, answer: Answer) -> bytes:
        if isinstance(answer, Accepted) or answer.status is Status.DELIVERED:
            if self.registry.sheds:
                self.registry.overload.served(self.registry.now())
            return b"+OK\r\n"
        if answer.status is Status.DEFERRED:
            again = answer.retry_after_ms
            if again <= 0 and self.registry.sheds:  # no room: nobody said when there will be
                again = self.come_again()
            return b"-BUSY %d\r\n" % again if again > 0 else b"-BUSY\r\n"
        return b"-ERR undeliverable\r\n"


def _shown(text: bytes) -> str:
    return "".join(c if c.isprintable() else "?" for c in text[:40].decode("latin-1"))


def _pair(part: bytes) -> tuple[bytes, bytes]:
    name, sign, value = part.partition(b"=")
    if not sign:
        raise BadRequestError(f"not name=value: '{_shown(part)}'")
    return name, value


def _token(raw: bytes, name: str) -> str:
    """Ids and keys travel in headers, so nothing but printable ASCII without spaces."""
    if not raw or len(raw) > 128 or not all(33 <= byte < 127 for byte in raw):
        raise BadRequestError(f"{name}: 1 to 128 printable characters")
    return raw.decode("ascii")
