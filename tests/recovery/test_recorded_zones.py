"""An attempt's zone is known by its name over the end of its process, wherever the next settings list it."""

from __future__ import annotations

import struct
import zlib
from collections.abc import Callable
from pathlib import Path

import pytest

from mountgauge.core.config import SettingNames
from mountgauge.core.journal import Journal, StoredMessage
from mountgauge.core.setting_numbers import NumberedSettings, keep_numbers
from tests.settings import message_class
from tests.test_sender import Bench
from tests.test_setting_numbers import numbered

DISK = 300_000


def journal(folder: Path, *zones: str) -> Journal:
    return Journal(folder, DISK, zones=zones)


def with_attempts(folder: Path) -> Journal:
    """A journal of a process with the zones a and b, and an attempt in each."""
    first = journal(folder, "a", "b")
    for number, msg_id in enumerate(("in-a", "in-b")):
        first.accept(StoredMessage(msg_id, "note", first.time.now() + 99, 7, "k", "platform", b"x"))
        first.attempt([msg_id], first.time.now(), number)
    return first


def zones_of(found: Journal) -> dict[str, list[str]]:
    return {i: [found.zones.names[zone] for _, zone in one.maybe_ran] for i, one in found.live.items()}


def killed(first: Journal, *zones: str) -> Journal:
    first.close()
    return journal(first.folder, *zones)


def replaced(first: Journal, *zones: str) -> Journal:
    new = journal(first.folder, *zones)
    first.close()
    new.adopt()
    return new


def compacted(first: Journal, *zones: str) -> Journal:
    first._rewrite(first._content())
    return killed(first, *zones)


def killed_twice(first: Journal, *zones: str) -> Journal:
    return killed(killed(first, "z", "b", "a"), *zones)


@pytest.mark.parametrize("next_process", [killed, replaced, compacted, killed_twice])
@pytest.mark.parametrize(
    "zones", [("a", "b"), ("c", "a", "b"), ("b", "a"), ("b",), ("c",), ("c", "d", "e", "a")]
)
def test_a_zone_is_the_one_of_the_attempt(
    tmp_path: Path, next_process: Callable[..., Journal], zones: tuple[str, ...]
) -> None:
    """Guards against a repeat in another zone: its number was the place in the list of the earlier file."""
    new = next_process(with_attempts(tmp_path), *zones)
    assert zones_of(new) == {"in-a": ["a"], "in-b": ["b"]}
    assert tuple(new.zones.names[: len(zones)]) == zones, "numbers that endpoints have"
    new.attempt(["in-a"], new.time.now(), 0)
    last = killed(new, "q", "r")
    assert zones_of(last) == {"in-a": ["a", zones[0]], "in-b": ["b"]}
    last.close()


def test_a_zone_that_a_reload_adds_is_named_before_its_first_attempt(tmp_path: Path) -> None:
    first = with_attempts(tmp_path)
    first.zones.names = ["a", "b", "new"]
    first.attempt(["in-a"], first.time.now(), 2)
    last = killed(first, "new", "b", "a")
    assert zones_of(last) == {"in-a": ["a", "new"], "in-b": ["b"]}
    last.close()


def test_an_earlier_builds_attempts_have_the_numbers_that_they_had(tmp_path: Path) -> None:
    """It ignores the names, and writes none; its records begin behind its own stamp."""
    with_attempts(tmp_path).close()
    earlier = Journal(tmp_path, DISK)  # a process without names of zones
    earlier.zones.names.clear()
    now = earlier.time.now()
    earlier.accept(StoredMessage("old", "note", now + 99, 7, "k", "platform", b"x"))
    earlier.attempt(["old"], now, 1)
    earlier.close()
    new = journal(tmp_path, "c", "a", "b")
    assert zones_of(new) == {"in-a": ["a"], "in-b": ["b"], "old": ["a"]}
    new.close()


def test_an_earlier_build_can_read_the_zones_record(tmp_path: Path) -> None:
    """An unknown kind whose first value is the id of no message is ignored by it."""
    with_attempts(tmp_path).close()
    content, at, heads = (tmp_path / "journal").read_bytes(), 0, list[bytes]()
    while at < len(content):
        size, check = struct.unpack_from("<II", content, at)
        payload = content[at + 8 : at + 8 + size]
        assert zlib.crc32(payload) == check
        heads.append(payload)
        at += 8 + size
    assert [one for one in heads if one[:1] == b"Z"] == [b'Z["",["a","b"]]']


def test_a_reload_gives_a_journals_zone_number_to_no_other_zone(tmp_path: Path) -> None:
    """Also if the settings lack the zone, and get it later, or another one."""
    with_attempts(tmp_path).close()
    grades = [message_class(name=name) for name in ("safe", "keyed", "once")]
    bench = Bench(tmp_path, grades=grades)
    bench.sender.names = SettingNames(("safe", "keyed", "once"), ("c",), ("one", "many"))
    bench.journal.zones.names = ["c", "a", "b"]
    bench.sender.restore([])
    in_force = NumberedSettings(bench.sender.rules, bench.sender.names)
    found = keep_numbers(in_force, numbered(grades, ("d", "b", "c")))
    bench.sender.apply_settings(found.rules, found.names)
    assert bench.sender.names.zones == ("c", "a", "b", "d")
    assert bench.journal.zones.names == ["c", "a", "b", "d"]
    bench.journal.close()
