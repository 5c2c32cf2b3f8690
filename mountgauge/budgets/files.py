"""What a voter has granted, on disk before it is answered; and a witness outside the folder.

`budgets` in the state folder is only appended to: lines of `CRC-32 in hex, space, JSON`, the first one an id
and a serial number, each further one a grant or an epoch with the next serial. The witness lies elsewhere
(the system's folder for temporary files) under the state folder's path, and has the id, the newest serial and
the system's boot id.

A start may count on the file (`kept`) where its lines are whole up to a torn last one, and the witness of
this boot has its id and no later serial. An old copy that was put back, another member's folder, an emptied
one, and one that lost its end with the power do not: the file's newest serial is below the witness's, or the
witness has another id, or none. Argument: the line is written before the witness, and the witness before the
answer; so whatever was answered stands in the file that the witness names, up to its serial.
"""

from __future__ import annotations

import hashlib
import os
import secrets
import tempfile
import zlib
from collections.abc import Iterable, Sequence
from pathlib import Path

import orjson

from mountgauge.budgets.grants import GrantRecord, Holder

REWRITE_ABOVE_BYTES = 256 * 1024  # past it the file is written anew with what still binds
ROOM_BYTES = 2 * REWRITE_ABOVE_BYTES
_BOOT = Path("/proc/sys/kernel/random/boot_id")


def _line(content: object) -> bytes:
    text = orjson.dumps(content)
    return b"%08x %b\n" % (zlib.crc32(text), text)


def _read(content: bytes) -> tuple[list[list[object]], bool]:
    """The lines that can be read, and whether all are whole but a torn last one."""
    found: list[list[object]] = []
    lines = content.split(b"\n")
    for place, line in enumerate(lines[:-1]):
        check, _, text = line.partition(b" ")
        try:
            if len(check) != 8 or int(check, 16) != zlib.crc32(text):
                raise ValueError
            one = orjson.loads(text)
            if not isinstance(one, list) or len(one) < 2:
                raise ValueError
            found.append(one)
        except ValueError:
            return found, place == len(lines) - 2 and not lines[-1]
    return found, True


def declare_new(folder: Path, name: str) -> None:
    """An operator's word that nothing was ever granted here: the first start need not be silent. OSError
    where something was, or where the folder cannot be written.
    """
    votes = GrantFile(folder, name)
    if votes.path.exists():
        raise OSError(f"{votes.path}: something was promised here before")
    votes.begin(0)
    votes.close()


def _boot_id() -> str:
    try:
        return _BOOT.read_text().strip()
    except OSError:
        return "unknown"


class GrantFile:
    """OSError where the file cannot be written; nothing may be answered then."""

    def __init__(self, folder: Path, name: str, witnesses: Path | None = None) -> None:
        self.path, self.name = folder / "budgets", name
        place = hashlib.blake2b(str(folder.resolve()).encode(), digest_size=12).hexdigest()
        root = witnesses or Path(tempfile.gettempdir()) / f"mountgauge-{os.getuid()}"
        self.witness = root / place
        self.id, self.serial, self.epoch = secrets.token_hex(8), 0, 0
        self.kept = False
        self.why = "nothing was there"
        self.written: dict[str, list[GrantRecord]] = {}
        self._file: int | None = None
        self._size = 0
        self._load()

    def _load(self) -> None:
        try:
            content = self.path.read_bytes()[: 4 * REWRITE_ABOVE_BYTES]
        except FileNotFoundError:
            return
        lines, whole = _read(content)
        if not lines or lines[0][0] != "id" or len(lines[0]) != 4:
            self.why = "the file is damaged"
            return
        _, file_id, name, serial = lines[0]
        for one in lines[1:]:
            try:
                self._take(one)
                serial = one[1]
            except (ValueError, TypeError, IndexError):
                whole = False
        if not isinstance(serial, int) or not isinstance(file_id, str):
            whole = False
        self.why = self._judge(str(file_id), name, serial if isinstance(serial, int) else -1, whole)
        self.kept = not self.why
        if self.kept:
            self.id, self.serial = str(file_id), int(str(serial))
        else:  # what it says may be more or less than what was granted
            self.epoch = 0

    def _take(self, one: list[object]) -> None:
        match one:
            case ["e", int(), int(epoch)]:
                self.epoch = max(self.epoch, epoch)
            case ["p", int(), str(budget), str(name), int(run), str(mask), float() | int() as hold]:
                found = GrantRecord(Holder(name, run), int(mask, 16), float(hold))
                self.written.setdefault(budget, []).append(found)
            case _:
                raise ValueError(one)

    def _judge(self, file_id: str, name: object, serial: int, whole: bool) -> str:
        if not whole:
            return "the file is damaged"
        if name != self.name:
            return "another member's folder"
        try:
            boot, seen_id, seen = self.witness.read_text().split()
            known = int(seen)
        except (OSError, ValueError):
            return "no witness: the first start here, or files for temporary use were cleaned"
        if boot != _boot_id():
            return "the system was started anew"
        if seen_id != file_id or known > serial:
            return "an old copy"
        return ""

    # Writing

    def begin(self, epoch: int) -> None:
        """From now on this process's grants are written; what bound before is written anew first."""
        self.epoch = max(self.epoch, epoch)
        if not self.kept:
            self.serial = 0
        self.rewrite((b, one) for b, ones in self.written.items() for one in ones)

    def rewrite(self, binding: Iterable[tuple[str, GrantRecord]]) -> None:
        """The file with this alone, in one piece."""
        self.serial += 1
        lines = [_line(["id", self.id, self.name, self.serial])]
        if self.epoch:
            lines.append(_line(["e", self.serial, self.epoch]))
        lines += [_line(self._record(budget, one)) for budget, one in binding]
        content = b"".join(lines)
        self.path.parent.mkdir(parents=True, exist_ok=True)
        spare = self.path.with_name(self.path.name + ".new")
        spare.write_bytes(content)
        os.replace(spare, self.path)
        self.close()
        self._file = os.open(self.path, os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC)
        self._size = len(content)
        self._say()

    def _record(self, budget: str, one: GrantRecord) -> list[object]:
        return ["p", self.serial, budget, one.holder.name, one.holder.run, f"{one.mask:x}", one.hold]

    def grant(self, written: Sequence[tuple[str, GrantRecord]]) -> None:
        """On disk once this returns."""
        if written:
            self.serial += 1
            self._append(b"".join(_line(self._record(budget, one)) for budget, one in written))

    def adopted(self, epoch: int) -> None:
        if epoch > self.epoch:
            self.epoch = epoch
            self.serial += 1
            self._append(_line(["e", self.serial, epoch]))

    def _append(self, content: bytes) -> None:
        if self._file is None:
            raise OSError("the file is not open")
        wrote = os.write(self._file, content)
        self._size += wrote
        if wrote < len(content):  # a torn line: nothing after it could be read
            os.ftruncate(self._file, self._size - wrote)
            self._size -= wrote
            raise OSError("no room")
        self._say()

    def _say(self) -> None:
        """The witness: written after the file and before the answer."""
        content = f"{_boot_id()} {self.id} {self.serial}\n"
        self.witness.parent.mkdir(mode=0o700, parents=True, exist_ok=True)
        if self.witness.parent.stat().st_uid != os.getuid():
            raise OSError(f"{self.witness.parent}: another user's")
        with self.witness.open("r+" if self.witness.exists() else "w") as file:
            file.write(content)
            file.truncate()

    @property
    def full(self) -> bool:
        return self._size > REWRITE_ABOVE_BYTES

    def close(self) -> None:
        if self._file is not None:
            os.close(self._file)
            self._file = None
