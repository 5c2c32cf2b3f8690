"""Commands in RESP2, read from bytes as they arrive. No socket, no clock."""

from __future__ import annotations

_MOST_ARGS = 16
_MOST_BULK = 64 * 1024
_MOST_HEADER = 32  # bytes of a line such as `$212`
_MOST_COMMAND = _MOST_BULK + 2048  # bytes of all its arguments


class RespError(ValueError):
    """Bytes that RESP2 does not allow: the connection cannot be read any further."""


class RespParser:
    """Commands as arrays of bulk strings, bounded, fed as they arrive."""

    __slots__ = ("_args", "_buffer", "_count", "_room", "_size")

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._args: list[bytes] = []
        self._count = 0  # arguments of the command under way
        self._room = 0  # bytes that they may still take
        self._size = -1  # of the bulk string under way

    @property
    def partial(self) -> bool:
        """A command has begun and is not whole."""
        return bool(self._buffer or self._count)

    @property
    def held(self) -> int:
        """Bytes that it keeps."""
        return len(self._buffer) + sum(map(len, self._args))

    def feed(self, data: bytes | memoryview) -> None:
        self._buffer += data

    def next(self) -> list[bytes] | None:
        """The next whole command, None until it has come."""
        buffer, at = self._buffer, 0  # what is read is cut off once, at the end
        try:
            while True:
                if not self._count:
                    count, at = self._header(b"*", _MOST_ARGS, at)
                    if count < 0:
                        return None
                    self._count, self._room = count, _MOST_COMMAND
                    if not count:
                        continue
                if self._size < 0:
                    size, at = self._header(b"$", _MOST_BULK, at)
                    if size < 0:
                        return None
                    self._size = size
                    self._room -= size
                    if self._room < 0:
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

    def count_rest(self) -> int:
        """Read on to the end of what has come; how many whole commands that were."""
        count = 0
        try:
            while self.next() is not None:
                count += 1
        except RespError:
            pass  # what follows cannot be told apart
        return count

    def _header(self, sign: bytes, most: int, at: int) -> tuple[int, int]:
        """The number on the line at `at`, -1 until it has come, and where the next one begins."""
        buffer = self._buffer
        if at == len(buffer):
            return -1, at
        if not buffer.startswith(sign, at):
            raise RespError(f"expected '{sign.decode()}'")
        end = buffer.find(b"\r\n", at, at + _MOST_HEADER)
        if end < 0:
            if len(buffer) - at >= _MOST_HEADER:
                raise RespError("a length is too long")
            return -1, at
        digits = buffer[at + 1 : end]
        if not digits.isdigit():
            raise RespError("invalid length")
        number = int(digits)
        if number > most:
            raise RespError("too long")
        return number, end + 2


def count_whole(data: bytes | memoryview) -> int:
    """How many whole commands bytes begin with that nothing came before."""
    parser = RespParser()
    parser.feed(data)
    return parser.count_rest()
