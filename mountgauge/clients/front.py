"""The front for clients over RESP2: turns their commands into submissions for the core."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping, Sequence

from mountgauge.access import DEFAULT_TENANT, Access
from mountgauge.clients.connection import BadRequestError, ClientConnection, ClientFront, Slot
from mountgauge.clients.parser import count_commands
from mountgauge.connections.admission import Bounds
from mountgauge.connections.registry import Registry
from mountgauge.connections.settings import platform_settings
from mountgauge.core.ports import Accepted, Answer, Status, Submission


class Clients(ClientFront):
    """Listens for clients, executes their commands and submits their messages to the core."""

    def __init__(
        self,
        submit: Callable[[Submission], None],
        class_names: tuple[str, ...],
        most: int,
        front: str = "platform",
        deadlines: Sequence[float] = (),
        access: Access | None = None,
        registry: Registry | None = None,
    ) -> None:
        """Without a `registry` the platform's times and a limit of `most` connections apply."""
        registry = registry or Registry(platform_settings(most))
        settings = registry.settings
        bounds = Bounds(min(most, settings.most_resp), settings.most_per_user, settings.displace)
        super().__init__(registry, bounds, settings.resp)
        self._submit = submit
        self._classes = {name.encode(): index for index, name in enumerate(class_names)}
        self._deadlines = deadlines or [math.inf] * len(class_names)
        self._front = front
        self.access = access  # None on the platform, which has no users
        self.lame_duck = False  # PING is answered with an error, so that clients go elsewhere
        self.closing_after_answers = False

    def set_classes(self, class_numbers: Mapping[str, int], deadlines: Sequence[float]) -> None:
        """Replace the message classes after a reload; removed classes are rejected from now on. `deadlines`
        are by number, those of removed classes included.
        """
        self._classes = {name.encode(): number for name, number in class_numbers.items()}
        self._deadlines = list(deadlines)

    async def listen(self, host: str, port: int) -> None:
        """Accept clients from now on."""

        def reject_answer(received: bytes) -> bytes:
            return b"-BUSY %d\r\n" % self.retry_delay_ms() * max(1, count_commands(received))

        self.listen_with(lambda: ClientConnection(self), reject_answer, host, port)

    def busy_answer(self) -> bytes:
        return b"-BUSY %d\r\n" % self.retry_delay_ms() if self.registry.sheds_load else b"-BUSY\r\n"

    def close_idle(self) -> None:
        """Close all connections, each once its requests are answered."""
        self.close_in_batches(ClientConnection.close)

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
            connection.submitted += 1
            self._submit(submission)
        else:
            raise BadRequestError(f"unknown command '{_printable(args[0])}'")

    def reject_if_overloaded(self, connection: ClientConnection, args: list[bytes]) -> bool:
        """Reject an ENQUEUE under overload, before the core sees it."""
        registry = self.registry
        if not registry.sheds_load or args[0] != b"ENQUEUE":
            return False
        if not registry.overload.should_reject(registry.now(), connection.woken):
            return False
        self.counts["clients", "crowded"] += 1
        connection.send(b"-BUSY %d\r\n" % self.retry_delay_ms())
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
        msg_id = _parse_token(args[2], "id")
        pairs = dict(_parse_pair(part) for part in args[3].split(b","))
        class_index = self._classes.get(pairs.get(b"c", b""))
        if class_index is None:
            raise BadRequestError(f"unknown class '{_printable(pairs.get(b'c', b''))}'")
        dest, time_left_ms = pairs.get(b"dest", b""), pairs.get(b"d", b"")
        if not dest.isdigit() or len(dest) > 9:
            raise BadRequestError("dest: not a number")
        if not time_left_ms.isdigit() or len(time_left_ms) > 9:
            raise BadRequestError("d: not a number of milliseconds")
        if not int(time_left_ms):
            raise BadRequestError("d: no time left")
        key = _parse_token(pairs[b"k"], "k") if b"k" in pairs else ""

        def answer(result: Answer) -> None:
            connection.answer(slot, self._reply(result))

        return Submission(
            msg_id,
            class_index,
            min(int(time_left_ms) / 1000, self._deadlines[class_index]),
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
            if self.registry.sheds_load:
                self.registry.overload.count_served(self.registry.now())
            return b"+OK\r\n"
        if answer.status is Status.DEFERRED:
            again = answer.retry_after_ms
            if again <= 0 and self.registry.sheds_load:  # no capacity, and the core gave no time to retry
                again = self.retry_delay_ms()
            return b"-BUSY %d\r\n" % again if again > 0 else b"-BUSY\r\n"
        return b"-ERR undeliverable\r\n"


def _printable(text: bytes) -> str:
    return "".join(c if c.isprintable() else "?" for c in text[:40].decode("latin-1"))


def _parse_pair(part: bytes) -> tuple[bytes, bytes]:
    name, sign, value = part.partition(b"=")
    if not sign:
        raise BadRequestError(f"not name=value: '{_printable(part)}'")
    return name, value


def _parse_token(raw: bytes, name: str) -> str:
    """An id or key; they are sent in HTTP headers, so only printable ASCII without spaces is allowed."""
    if not raw or len(raw) > 128 or not all(33 <= byte < 127 for byte in raw):
        raise BadRequestError(f"{name}: 1 to 128 printable characters")
    return raw.decode("ascii")
