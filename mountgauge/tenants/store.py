"""What a member must still know after its process has ended, in one SQLite file in the state folder.

Its own counts are written before any peer can hear of them, so that a life goes on where the peers left it.
Lives that have ended or gone, and the past, are written when they change: nobody else may hold them when
all members start anew. No sync is needed: only the process dies here (`docs/design.md`, The journal). With
SQLite's write-ahead log a transaction counts whole or not at all, whenever the process is killed.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from pathlib import Path

from mountgauge.tenants.counts import Counts, Entry, Incarnation, Mark

_VERSION = 1
_PAGE = 4096
_WAL_PAGES = 64
_FIRST_ROOM = 512 * 1024
_A_TENANT = 400  # bytes of file for each tenant: its own line, the past's, and some lives that have gone

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
    """What an earlier process left. `life` is None where there was none, or where it cannot be read."""

    life: int | None = None
    boot: int = 0
    incarnations: list[tuple[int, str, int, list[Entry]]] = field(default_factory=list)
    pending: dict[int, int] = field(default_factory=dict)
    past: dict[int, int] = field(default_factory=dict)
    folded: list[tuple[int, Mark]] = field(default_factory=list)
    past_name: tuple[int, int] = (0, 0)


def max_file_bytes(tenants: int) -> int:
    """Bytes that the file and its log may take; SQLite turns away what would pass it."""
    return _FIRST_ROOM + _A_TENANT * tenants + (_WAL_PAGES + 8) * _PAGE


class Store:
    """OSError where the file cannot be opened; afterwards a write that fails is counted in `failed`."""

    def __init__(self, folder: Path, tenants: int) -> None:
        self.path = folder / "tenants.db"
        self.failed = 0
        self.error = ""
        try:
            self._db = self._connect()
            self._prepare()
            version = self._db.execute("pragma user_version").fetchone()[0]
            self._db.execute("select count(*) from sqlite_master").fetchone()
        except sqlite3.OperationalError as error:  # locked, or no room: not the file's fault
            self._db.close()
            raise StoreError(f"{self.path}: {error}") from None
        except sqlite3.DatabaseError as error:  # not a database, or damaged: counted on under a new life
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
        pages = (max_file_bytes(tenants) - (_WAL_PAGES + 8) * _PAGE) // _PAGE
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
            f"journal_size_limit={_WAL_PAGES * _PAGE}", "cache_size=-256",
        ):  # fmt: skip
            self._db.execute(f"pragma {pragma}")

    def load(self, name: str) -> Saved:
        """What was saved under this name; another name's own counts are a life that has ended."""
        saved = Saved()
        try:
            me = self._db.execute("select name, life, boot from me").fetchone()
            if me is not None and me[0] == name:
                saved.life, saved.boot = me[1], me[2]
            counted: dict[int, list[Entry]] = {}
            for life, *line in self._db.execute(
                "select life, key, count, version, demand from counted order by life, version"
            ):
                counted.setdefault(life, []).append(Entry(*line))
            for life, named, version in self._db.execute("select life, name, version from lives"):
                saved.incarnations.append((life, named, version, counted.get(life, [])))
            saved.pending = dict(self._db.execute("select key, count from pending"))
            saved.past = dict(self._db.execute("select key, count from past"))
            saved.folded = [
                (life, Mark(version, int(check)))
                for life, version, check in self._db.execute(
                    "select life, version, mark from folded order by place"
                )
            ]
            saved.past_name = self._db.execute("select id, lives from past_name").fetchone() or (0, 0)
        except sqlite3.DatabaseError as error:
            self.error = str(error)
            return Saved()
        return saved

    def save(
        self, life: Incarnation, entries: Iterable[Entry], pending: Mapping[int, int] | None = None
    ) -> bool:
        """Own counts that have changed, and what is counted but belongs to no life yet."""

        def write() -> None:
            self._db.executemany(
                "insert or replace into counted values (?, ?, ?, ?, ?)", [(life.id, *e) for e in entries]
            )
            self._db.execute(
                "insert or replace into lives values (?, ?, ?)", (life.id, life.name, life.version)
            )
            if pending is not None:
                self._db.execute("delete from pending")
                self._db.executemany("insert into pending values (?, ?)", pending.items())

        return self._write(write)

    def save_me(self, name: str, life: int, boot: int) -> bool:
        def write() -> None:
            self._db.execute("delete from me")
            self._db.execute("insert into me values (?, ?, ?)", (name, life, boot))

        return self._write(write)

    def save_rest(self, counts: Counts, lives: Iterable[Incarnation]) -> bool:
        """The past, and lives of others that only replicas hold; others that stood here go."""

        def write() -> None:
            self._db.execute("delete from counted where life != ?", (counts.own.id,))
            self._db.execute("delete from lives where life != ?", (counts.own.id,))
            for life in lives:
                self._db.execute(
                    "insert or replace into lives values (?, ?, ?)", (life.id, life.name, life.version)
                )
                self._db.executemany(
                    "insert or replace into counted values (?, ?, ?, ?, ?)",
                    [(life.id, *e) for e in counts.delta(life, 0, 1 << 40)[1]],
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
            self._db.execute("insert into past_name values (?, ?)", (counts.past_id, counts.past_lives))

        return self._write(write)

    def _write(self, write: Callable[[], None]) -> bool:
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
