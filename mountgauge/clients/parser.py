"""An incremental parser of RESP2 commands. No socket, no clock."""

from __future__ import annotations

_MAX_ARGS = 16
_MAX_BULK_BYTES = 64 * 1024
_MAX_HEADER_BYTES = 32  # of a line such as `$212`
_MAX_COMMAND_BYTES = _MAX_BULK_BYTES + 2048  # of all arguments together


class RespError(ValueError):
    """Bytes that are not valid RESP2: no further command can be read from the connection."""


class RespParser:
    """Parses commands, arrays of bulk strings of limited size, from bytes as they arrive."""

    __slots__ = ("_args", "_buffer", "_bytes_left", "_count", "_size")

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._args: list[bytes] = []
        self._count = 0  # arguments of the current command
        self._bytes_left = 0  # that its arguments may still take
        self._size = -1  # of the current bulk string, -1: not known yet

    @property
    def partial(self) -> bool:
        """Whether an incomplete command is buffered."""
        return bool(self._buffer or self._count)

    @property
    def buffered_bytes(self) -> int:
        """Bytes of the incomplete command and of commands not read yet."""
        return len(self._buffer) + sum(map(len, self._args))

    def feed(self, data: bytes | memoryview) -> None:
        """Append received bytes."""
        self._buffer += data

    def next(self) -> list[bytes] | None:
        """The next complete command, None if there is none yet."""
        buffer, at = self._buffer, 0  # parsed bytes are removed once, at the end
        try:
            while True:
                if not self._count:
                    count, at = self._header(b"*", _MAX_ARGS, at)
                    if count < 0:
                        return None
                    self._count, self._bytes_left = count, _MAX_COMMAND_BYTES
                    if not count:
                        continue
                if self._size < 0:
                    size, at = self._header(b"$", _MAX_BULK_BYTES, at)
                    if size < 0:
                        return None
                    self._size = size
                    self._bytes_left -= size
                    if self._bytes_left < 0:
                        raise RespError("too long")
                end = at + self._size
                if len(buffer) < end + 2:
                    return None
                if buffer[end : end + 2] != b"\r\n":
                    raise RespError("bulk string without its end")
                self._args.append(bytes(buffer[at:end]))
                at, self._size = end + 2, -1
                if len(self._args) == self._count:
                    args, self._args, self._count = self._args, [], 0
                    return args
        finally:
            if at:
                del buffer[:at]

    def count_remaining(self) -> int:
        """Parse all buffered bytes; returns how many complete commands they contained."""
        count = 0
        try:
            while self.next() is not None:
                count += 1
        except RespError:
            pass  # further commands can't be delimited
        return count

    def _header(self, prefix: bytes, limit: int, at: int) -> tuple[int, int]:
        """The number on the line at `at` (-1 if the line is incomplete) and where the next line begins."""
        buffer = self._buffer
        if at == len(buffer):
            return -1, at
        if not buffer.startswith(prefix, at):
            raise RespError(f"expected '{prefix.decode()}'")
        end = buffer.find(b"\r\n", at, at + _MAX_HEADER_BYTES)
        if end < 0:
            if len(buffer) - at >= _MAX_HEADER_BYTES:
                raise RespError("a length is too long")
            return -1, at
        digits = buffer[at + 1 : end]
        if not digits.isdigit():
            raise RespError("invalid length")
        number = int(digits)
        if number > limit:
            raise RespError("too long")
        return number, end + 2


def count_commands(data: bytes | memoryview) -> int:
    """How many complete commands these first bytes of a connection contain."""
    parser = RespParser()
    parser.feed(data)
    return parser.count_remaining()
