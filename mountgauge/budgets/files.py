"""The grants of a voter, on disk before they are answered, and a witness file outside the state folder.

`budgets` in the state folder is appended to: lines of `CRC-32 in hex, space, JSON`. The first line has an id
and a serial number, each further one a grant or an epoch with the next serial. The witness lies elsewhere (in
the system's folder for temporary files), under a name derived from the state folder's path. It has the id,
the newest serial and the system's boot id.

A start may rely on the file (`kept`) where all its lines but a torn last one are valid, and the witness of
this boot has its id and no later serial. It does not rely on an old copy that was restored, on another
member's folder, on an emptied one, or on one that lost its end in a power failure: there the file's newest
serial is below the witness's, or the witness has another id, or there is none. Proof: the line is written
before the witness, and the witness before the answer is sent; so whatever was answered is in the file that
the witness names, up to its serial.
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

REWRITE_ABOVE_BYTES = 256 * 1024  # above it the file is rewritten with the grants that still bind
CAPACITY_BYTES = 2 * REWRITE_ABOVE_BYTES  # of disk: the file, and its copy during a rewrite
_BOOT_ID_PATH = Path("/proc/sys/kernel/random/boot_id")


def _line(content: object) -> bytes:
    text = orjson.dumps(content)
    return b"%08x %b\n" % (zlib.crc32(text), text)


def _read(content: bytes) -> tuple[list[list[object]], bool]:
    """The records up to the first invalid line, and whether all lines but a torn last one are valid."""
    records: list[list[object]] = []
    lines = content.split(b"\n")
    for index, line in enumerate(lines[:-1]):
        check, _, text = line.partition(b" ")
        try:
            if len(check) != 8 or int(check, 16) != zlib.crc32(text):
                raise ValueError
            record = orjson.loads(text)
            if not isinstance(record, list) or len(record) < 2:
                raise ValueError
            records.append(record)
        except ValueError:
            return records, index == len(lines) - 2 and not lines[-1]
    return records, True


def declare_new(folder: Path, name: str) -> None:
    """Record that nothing was ever granted from this folder, as the operator states, so that the first start
    need not be silent. OSError where there are grants, or where the folder cannot be written.
    """
    grant_file = GrantFile(folder, name)
    if grant_file.path.exists():
        raise OSError(f"{grant_file.path}: grants were recorded here before")
    grant_file.begin(0)
    grant_file.close()


def _boot_id() -> str:
    try:
        return _BOOT_ID_PATH.read_text().strip()
    except OSError:
        return "unknown"


class GrantFile:
    """The file of a voter's grants, with its witness. OSError where it cannot be written: the voter must not
    answer then.
    """

    def __init__(self, folder: Path, name: str, witnesses: Path | None = None) -> None:
        self.path, self.name = folder / "budgets", name
        folder_hash = hashlib.blake2b(str(folder.resolve()).encode(), digest_size=12).hexdigest()
        root = witnesses or Path(tempfile.gettempdir()) / f"mountgauge-{os.getuid()}"
        self.witness = root / folder_hash
        self.id, self.serial, self.epoch = secrets.token_hex(8), 0, 0
        self.kept = False
        self.why = "no grants file"
        self.written: dict[str, list[GrantRecord]] = {}
        self._file: int | None = None
        self._size = 0
        self._load()

    def _load(self) -> None:
        try:
            content = self.path.read_bytes()[: 4 * REWRITE_ABOVE_BYTES]
        except FileNotFoundError:
            return
        records, valid = _read(content)
        if not records or records[0][0] != "id" or len(records[0]) != 4:
            self.why = "the file is damaged"
            return
        _, file_id, name, serial = records[0]
        for record in records[1:]:
            try:
                self._apply(record)
                serial = record[1]
            except (ValueError, TypeError, IndexError):
                valid = False
        if not isinstance(serial, int) or not isinstance(file_id, str):
            valid = False
        self.why = self._reason_not_kept(str(file_id), name, serial if isinstance(serial, int) else -1, valid)
        self.kept = not self.why
        if self.kept:
            self.id, self.serial = str(file_id), int(str(serial))
        else:  # its grants may be more or fewer than those that were answered
            self.epoch = 0

    def _apply(self, record: list[object]) -> None:
        match record:
            case ["e", int(), int(epoch)]:
                self.epoch = max(self.epoch, epoch)
            case ["p", int(), str(budget), str(name), int(run), str(mask), float() | int() as hold]:
                grant = GrantRecord(Holder(name, run), int(mask, 16), float(hold))
                self.written.setdefault(budget, []).append(grant)
            case _:
                raise ValueError(record)

    def _reason_not_kept(self, file_id: str, name: object, serial: int, valid: bool) -> str:
        """Why a start may not rely on the file; empty where it may."""
        if not valid:
            return "the file is damaged"
        if name != self.name:
            return "another member's folder"
        try:
            boot, witness_id, serial_text = self.witness.read_text().split()
            witness_serial = int(serial_text)
        except (OSError, ValueError):
            return "no witness: the first start here, or temporary files were removed"
        if boot != _boot_id():
            return "the system was rebooted"
        if witness_id != file_id or witness_serial > serial:
            return "an old copy"
        return ""

    # Writing

    def begin(self, epoch: int) -> None:
        """Open the file for this process's grants, after a rewrite with those of earlier runs that bind."""
        self.epoch = max(self.epoch, epoch)
        if not self.kept:
            self.serial = 0
        self.rewrite((budget, grant) for budget, grants in self.written.items() for grant in grants)

    def rewrite(self, binding: Iterable[tuple[str, GrantRecord]]) -> None:
        """Replace the file atomically by one with these grants alone."""
        self.serial += 1
        lines = [_line(["id", self.id, self.name, self.serial])]
        if self.epoch:
            lines.append(_line(["e", self.serial, self.epoch]))
        lines += [_line(self._record(budget, grant)) for budget, grant in binding]
        content = b"".join(lines)
        self.path.parent.mkdir(parents=True, exist_ok=True)
        temporary = self.path.with_name(self.path.name + ".new")
        temporary.write_bytes(content)
        os.replace(temporary, self.path)
        self.close()
        self._file = os.open(self.path, os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC)
        self._size = len(content)
        self._write_witness()

    def _record(self, budget: str, grant: GrantRecord) -> list[object]:
        return ["p", self.serial, budget, grant.holder.name, grant.holder.run, f"{grant.mask:x}", grant.hold]

    def grant(self, written: Sequence[tuple[str, GrantRecord]]) -> None:
        """Append these grants; they are on disk once this returns."""
        if written:
            self.serial += 1
            self._append(b"".join(_line(self._record(budget, grant)) for budget, grant in written))

    def adopted(self, epoch: int) -> None:
        """Append the epoch that this member has adopted; it is on disk once this returns."""
        if epoch > self.epoch:
            self.serial += 1
            self._append(_line(["e", self.serial, epoch]))
            self.epoch = epoch

    def _append(self, content: bytes) -> None:
        if self._file is None:
            raise OSError("the file is not open")
        wrote = os.write(self._file, content)
        self._size += wrote
        if wrote < len(content):  # a torn line would make all later ones unreadable
            os.ftruncate(self._file, self._size - wrote)
            self._size -= wrote
            raise OSError("no space left for the record")
        self._write_witness()

    def _write_witness(self) -> None:
        """Written after the file and before the answer is sent."""
        content = f"{_boot_id()} {self.id} {self.serial}\n"
        self.witness.parent.mkdir(mode=0o700, parents=True, exist_ok=True)
        if self.witness.parent.stat().st_uid != os.getuid():
            raise OSError(f"{self.witness.parent}: belongs to another user")
        with self.witness.open("r+" if self.witness.exists() else "w") as file:
            file.write(content)
            file.truncate()

    @property
    def full(self) -> bool:
        """Whether the file is due for a rewrite."""
        return self._size > REWRITE_ABOVE_BYTES

    def close(self) -> None:
        if self._file is not None:
            os.close(self._file)
            self._file = None
