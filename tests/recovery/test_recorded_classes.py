"""A message keeps the class that it was accepted with over the end of its process."""

from __future__ import annotations

import struct
import zlib
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import orjson
import pytest

from mountgauge.core.journal import Journal, StoredMessage
from mountgauge.core.ports import AttemptResult, MessageOutcome, Status
from mountgauge.core.setting_numbers import NumberedSettings, keep_numbers
from rillspindle.interface import MessageClass, Outcome, Readiness
from tests.settings import message_class
from tests.test_sender import Bench
from tests.test_setting_numbers import numbered

SAFE, ONCE = message_class(), message_class("at_most_once")
KEYED = message_class("deduplicated", repeatWindow=11.0)
UNDELIVERABLE = MessageOutcome(Status.UNDELIVERABLE)


def sender(folder: Path, time: float, definition: dict[str, Any]) -> Bench:
    """A process in whose settings the class `safe` has this definition."""
    bench = Bench(folder, time=time, grades=[definition, KEYED, ONCE])
    bench.sender.start(bench.hops(Readiness.READY, Readiness.READY))
    bench.pass_time(0.01)
    return bench


def send(bench: Bench, msg_id: str) -> None:
    """Accept a message of the class `safe`, and make its first attempt."""
    bench.submit(msg_id)
    bench.pass_time(0.02)
    call = next(call for call in bench.calls if call.items[0].id == msg_id)
    assert bench.sender.admit(call, call.items)


def redefine(bench: Bench, definition: dict[str, Any]) -> None:
    """A reload in which the class has this definition."""
    in_force = NumberedSettings(bench.sender.rules, bench.sender.names)
    grades = [dict(definition, name="safe"), dict(KEYED, name="keyed"), dict(ONCE, name="once")]
    found = keep_numbers(in_force, numbered(grades))
    bench.sender.apply_settings(found.rules, found.names)


def killed(bench: Bench, definition: dict[str, Any]) -> Bench:
    """The next process, after a SIGKILL."""
    bench.journal.close()
    return sender(bench.journal.folder, bench.time, definition)


def replaced(bench: Bench, definition: dict[str, Any]) -> Bench:
    """The next process, which was started before this one ended."""
    new = sender(bench.journal.folder, bench.time, definition)
    bench.journal.close()
    new.sender.restore(new.journal.adopt())
    return new


def compacted(bench: Bench, definition: dict[str, Any]) -> Bench:
    bench.journal._rewrite(bench.journal._content())
    return killed(bench, definition)


def killed_twice(bench: Bench, definition: dict[str, Any]) -> Bench:
    return killed(killed(bench, definition), definition)


def reloaded_and_killed(bench: Bench, definition: dict[str, Any]) -> Bench:
    redefine(bench, definition)
    return killed(bench, definition)


NEXT: list[Callable[[Bench, dict[str, Any]], Bench]] = [
    killed,
    replaced,
    compacted,
    killed_twice,
    reloaded_and_killed,
]
LAXER = [SAFE, KEYED, message_class(deadline=30.0)]


def repeats(bench: Bench, msg_id: str) -> int:
    """How often the message is sent in the time it has left; each time it may run without an answer."""
    sent = 0
    for _ in range(40):
        for call in [call for call in bench.calls if not call.sent]:
            admitted = bench.sender.admit(call, call.items)
            sent += sum(item.id == msg_id for item in admitted)
            bench.sender.finished(call, {item.number: AttemptResult(Outcome.TIMEOUT) for item in admitted})
        bench.calls.clear()
        bench.pass_time(0.3)
    return sent


@pytest.mark.parametrize("next_process", NEXT)
@pytest.mark.parametrize("definition", LAXER)
def test_a_message_that_allows_no_repeat_runs_once_under_a_laxer_definition(
    tmp_path: Path, next_process: Callable[[Bench, dict[str, Any]], Bench], definition: dict[str, Any]
) -> None:
    """Guards against a repeat of an at_most_once message: its record had the class's name alone."""
    first = sender(tmp_path, 100.0, ONCE)
    send(first, "a")
    new = next_process(first, definition)
    assert repeats(new, "a") == 0 and new.outcomes["a"] == UNDELIVERABLE
    new.submit("b")
    new.pass_time(0.02)
    in_force = MessageClass.from_mapping(definition, "safe")
    assert new.journal.live["b"].message_class == in_force, "new messages have the new definition"


@pytest.mark.parametrize("next_process", NEXT)
def test_a_message_that_may_be_repeated_is_repeated_under_a_stricter_definition(
    tmp_path: Path, next_process: Callable[[Bench, dict[str, Any]], Bench]
) -> None:
    first = sender(tmp_path, 100.0, SAFE)
    send(first, "a")
    new = next_process(first, ONCE)
    assert repeats(new, "a") > 0


@pytest.mark.parametrize("next_process", NEXT)
def test_the_repeat_window_is_the_one_of_the_acceptance(
    tmp_path: Path, next_process: Callable[[Bench, dict[str, Any]], Bench]
) -> None:
    """Endpoints forget a key after the window that was in force; a longer one would repeat after that."""
    first = sender(tmp_path, 100.0, message_class("deduplicated", repeatWindow=1.0))
    send(first, "a")
    first.pass_time(0.8)
    new = next_process(first, message_class("deduplicated", repeatWindow=9.0))
    new.pass_time(0.3)
    assert repeats(new, "a") == 0


def test_messages_of_one_name_keep_their_definitions_side_by_side(tmp_path: Path) -> None:
    first = sender(tmp_path, 100.0, ONCE)
    definitions = {}
    for number in range(6):
        definition = (ONCE, SAFE, KEYED)[number % 3]
        redefine(first, definition)
        first.submit(f"m{number}", first.sender.names.class_numbers()["safe"])
        first.pass_time(0.02)
        definitions[f"m{number}"] = MessageClass.from_mapping(definition, "safe")
    for next_process in (killed, replaced, compacted):
        first = next_process(first, SAFE)
        live = first.journal.live
        assert {msg_id: live[msg_id].message_class for msg_id in definitions} == definitions


def test_a_class_that_the_settings_lack_is_delivered_by_its_recorded_definition(tmp_path: Path) -> None:
    """It was given up at a restart, though messages under way keep their class."""
    first = sender(tmp_path, 100.0, SAFE)
    first.submit("a")
    first.pass_time(0.02)
    first.journal.live["a"].class_name = "gone"
    first.journal._rewrite(first.journal._content())
    new = killed(first, SAFE)
    assert [item.id for call in new.calls for item in call.items] == ["a"]


# Other builds

_HEADER = struct.Struct("<II")


def payloads(path: Path) -> Iterator[bytes]:
    content, at = path.read_bytes(), 0
    while at < len(content):
        size, check = _HEADER.unpack_from(content, at)
        payload = content[at + _HEADER.size : at + _HEADER.size + size]
        assert zlib.crc32(payload) == check
        yield payload
        at += _HEADER.size + size


def test_an_earlier_build_can_read_the_records(tmp_path: Path) -> None:
    """It reads nine values of a message, ignores unknown kinds whose first value is no id, and stops at
    anything else.
    """
    first = sender(tmp_path, 100.0, ONCE)
    send(first, "a")
    first.journal.close()
    heads = [(one[:1], orjson.loads(one[1:].partition(b"\n")[0])) for one in payloads(tmp_path / "journal")]
    assert [kind for kind, _ in heads if kind != b"C"] == [b"D", b"T", b"A"]
    for kind, head in heads:
        if kind == b"T":
            assert len(head) == 9 and head[:2] == ["a", "safe"]
        elif kind == b"D":
            assert head[0] == ""


def test_a_message_of_an_earlier_build_has_the_class_of_its_name(tmp_path: Path) -> None:
    """A definition of this build does not hold for what an earlier one appended behind it."""
    first = sender(tmp_path, 100.0, SAFE)
    first.submit("a")
    first.pass_time(0.02)
    first.journal.close()
    earlier = Journal(tmp_path, 1_000_000, clock=first)  # writes a stamp, and no definition
    until = earlier.time.now() + 9
    earlier.accept(StoredMessage("old", "safe", until, 7, "k", "platform", b"x"))
    earlier.attempt(["old"], earlier.time.now(), 0)
    earlier.close()
    content = (tmp_path / "journal").read_bytes()
    undefined = b'D["","safe",null]'
    assert undefined not in content
    new = sender(tmp_path, first.time, ONCE)
    assert new.journal.live["old"].message_class is None
    assert new.journal.live["a"].message_class == MessageClass.from_mapping(SAFE, "safe")
    assert repeats(new, "old") == 0, "it has the definition of its name in these settings"


def test_a_definition_in_a_later_builds_form_is_unknown(tmp_path: Path) -> None:
    first = sender(tmp_path, 100.0, ONCE)
    send(first, "a")
    first.journal.close()
    path = tmp_path / "journal"
    records = []
    for payload in payloads(path):
        changed = payload.replace(b'"semantics"', b'"effect"')
        records.append(_HEADER.pack(len(changed), zlib.crc32(changed)) + changed)
    path.write_bytes(b"".join(records))
    new = Journal(tmp_path, 1_000_000, clock=first)
    assert new.live["a"].message_class is None and new.live["a"].attempts == 1
    new.close()
