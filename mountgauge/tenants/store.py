"""The state that a member keeps across process runs, in one SQLite file in the state folder.

Own counts are written before any peer can receive them, so that an incarnation continues from where the peers
hold it. Counts of incarnations that ended or are gone, and the past, are written when they change: when all
members restart, no other copy may exist. No fsync is needed, because the file has to survive only the end of
the process, not of the machine (`docs/design.md`, The journal). With SQLite's write-ahead log a transaction
is complete or absent, whenever the process is killed.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from pathlib import Path

from mountgauge.tenants.counts import Counts, Entry, Incarnation, Mark

_VERSION = 1
_PAGE_BYTES = 4096
_WAL_PAGES = 64
_BASE_BYTES = 512 * 1024
_BYTES_PER_TENANT = 400  # its own counts, those of the past, and those of some incarnations that are gone

_SCHEMA = """
create table me (name text, life integer, boot integer);
create table counted (life integer, key integer, count integer, version integer, demand integer,
                      primary key (life, key)) without rowid;
create table lives (life integer primary key, name text, version integer);
create table pending (key integer primary key, count integer);
create table past (key integer primary key, count integer);
create table folded (place integer primary key, life integer, version integer, mark text);
create table past_name (id integer, lives integer);
"""


class StoreError(OSError):
    """The file cannot be used; the text is one line."""


@dataclass(slots=True)
class Saved:
    """What a previous process run saved; `incarnation` is None if nothing is readable under this name."""

    incarnation: int | None = None
    boot: int = 0
    incarnations: list[tuple[int, str, int, list[Entry]]] = field(default_factory=list)
    pending: dict[int, int] = field(default_factory=dict)
    past: dict[int, int] = field(default_factory=dict)
    folded: list[tuple[int, Mark]] = field(default_factory=list)
    past_name: tuple[int, int] = (0, 0)


def max_file_bytes(tenants: int) -> int:
    """The maximum size of the file and its log; SQLite rejects writes that would exceed it."""
    return _BASE_BYTES + _BYTES_PER_TENANT * tenants + (_WAL_PAGES + 8) * _PAGE_BYTES


class Store:
    """The file. OSError if it cannot be opened; later failures of a write are counted in `failed`."""

    def __init__(self, folder: Path, tenants: int) -> None:
        self.path = folder / "tenants.db"
        self.failed = 0
        self.error = ""
        try:
            self._db = self._connect()
            self._prepare()
            version = self._db.execute("pragma user_version").fetchone()[0]
            self._db.execute("select count(*) from sqlite_master").fetchone()
        except sqlite3.OperationalError as error:  # locked, or no disk space: the file itself may be sound
            self._db.close()
            raise StoreError(f"{self.path}: {error}") from None
        except sqlite3.DatabaseError as error:  # not a database, or damaged: a new incarnation starts
            self.error = str(error)
            self._db.close()
            self.path.replace(self.path.with_suffix(".damaged"))
            for name in ("-wal", "-shm"):
                self.path.with_name(self.path.name + name).unlink(missing_ok=True)
            self._db, version = self._connect(), 0
            self._prepare()
        if version > _VERSION:
            self._db.close()
            raise StoreError(f"{self.path}: written by a newer version ({version})")
        pages = (max_file_bytes(tenants) - (_WAL_PAGES + 8) * _PAGE_BYTES) // _PAGE_BYTES
        self._db.execute(f"pragma max_page_count={pages}")
        if not version:
            with self._db:
                self._db.executescript("begin;" + _SCHEMA + f"pragma user_version={_VERSION}; commit;")

    def _connect(self) -> sqlite3.Connection:
        try:
            return sqlite3.connect(self.path, isolation_level=None, timeout=0)
        except sqlite3.Error as error:
            raise StoreError(f"{self.path}: {error}") from None

    def _prepare(self) -> None:
        for pragma in (
            "journal_mode=wal", "synchronous=off", f"wal_autocheckpoint={_WAL_PAGES}",
            f"journal_size_limit={_WAL_PAGES * _PAGE_BYTES}", "cache_size=-256",
        ):  # fmt: skip
            self._db.execute(f"pragma {pragma}")

    def load(self, name: str) -> Saved:
        """What was saved. Own counts under another name are loaded as an incarnation that ended."""
        saved = Saved()
        try:
            me = self._db.execute("select name, life, boot from me").fetchone()
            if me is not None and me[0] == name:
                saved.incarnation, saved.boot = me[1], me[2]
            counted: dict[int, list[Entry]] = {}
            for incarnation, *line in self._db.execute(
                "select life, key, count, version, demand from counted order by life, version"
            ):
                counted.setdefault(incarnation, []).append(Entry(*line))
            for incarnation, member, version in self._db.execute("select life, name, version from lives"):
                saved.incarnations.append((incarnation, member, version, counted.get(incarnation, [])))
            saved.pending = dict(self._db.execute("select key, count from pending"))
            saved.past = dict(self._db.execute("select key, count from past"))
            saved.folded = [
                (incarnation, Mark(version, int(check)))
                for incarnation, version, check in self._db.execute(
                    "select life, version, mark from folded order by place"
                )
            ]
            saved.past_name = self._db.execute("select id, lives from past_name").fetchone() or (0, 0)
        except sqlite3.DatabaseError as error:
            self.error = str(error)
            return Saved()
        return saved

    def save(
        self, own: Incarnation, entries: Iterable[Entry], pending: Mapping[int, int] | None = None
    ) -> bool:
        """Write own counts that changed, and pending ones that no incarnation contains yet."""

        def write() -> None:
            self._db.executemany(
                "insert or replace into counted values (?, ?, ?, ?, ?)", [(own.id, *e) for e in entries]
            )
            self._db.execute("insert or replace into lives values (?, ?, ?)", (own.id, own.name, own.version))
            if pending is not None:
                self._db.execute("delete from pending")
                self._db.executemany("insert into pending values (?, ?)", pending.items())

        return self._write(write)

    def save_identity(self, name: str, incarnation: int, boot: int) -> bool:
        """Write which incarnation this member counts under, and how often it was started."""

        def write() -> None:
            self._db.execute("delete from me")
            self._db.execute("insert into me values (?, ?, ?)", (name, incarnation, boot))

        return self._write(write)

    def save_replicas(self, counts: Counts, incarnations: Iterable[Incarnation]) -> bool:
        """Write the past and these incarnations of other members, in place of those written before."""

        def write() -> None:
            self._db.execute("delete from counted where life != ?", (counts.own.id,))
            self._db.execute("delete from lives where life != ?", (counts.own.id,))
            for incarnation in incarnations:
                self._db.execute(
                    "insert or replace into lives values (?, ?, ?)",
                    (incarnation.id, incarnation.name, incarnation.version),
                )
                self._db.executemany(
                    "insert or replace into counted values (?, ?, ?, ?, ?)",
                    [(incarnation.id, *e) for e in counts.all_changes(incarnation)],
                )
            for table in ("past", "folded", "past_name"):
                self._db.execute(f"delete from {table}")
            self._db.executemany(
                "insert into past values (?, ?)",
                [(key, count) for key, count in zip(counts.keys, counts.past, strict=True) if count],
            )
            self._db.executemany(
                "insert into folded (life, version, mark) values (?, ?, ?)",
                [(one, mark.version, str(mark.check)) for one, mark in counts.folded.items()],
            )
            self._db.execute("insert into past_name values (?, ?)", (counts.past_id, counts.folded_count))

        return self._write(write)

    def _write(self, write: Callable[[], None]) -> bool:
        """Run `write` in a transaction. Returns whether it succeeded; a failure is counted."""
        try:
            self._db.execute("begin immediate")
            try:
                write()
            except BaseException:
                if self._db.in_transaction:
                    self._db.execute("rollback")
                raise
            self._db.execute("commit")
        except sqlite3.Error as error:
            self.failed += 1
            self.error = str(error)
            return False
        return True

    def close(self) -> None:
        self._db.close()
