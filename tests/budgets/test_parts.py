"""The gate, the file with its witness, datagrams, settings and the table of budgets."""

from __future__ import annotations

import errno
import math
import os
import tempfile
from collections.abc import Callable
from pathlib import Path
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mountgauge.budgets import wire
from mountgauge.budgets.files import GrantFile
from mountgauge.budgets.gate import Gate
from mountgauge.budgets.grants import GrantRecord, Holder
from mountgauge.budgets.member import Share
from mountgauge.budgets.messages import Answer, AnswerLine, Ask, AskLine
from mountgauge.budgets.service import Budgets
from mountgauge.budgets.shares import Budget, Kind, Scope
from mountgauge.budgets.table import rows, sound
from mountgauge.cli import main
from mountgauge.core.config import ConfigError
from mountgauge.operator_file import load
from mountgauge.tenants.wire import MAX_DATAGRAM_BYTES, RefusedDatagramError, Seal
from tests.helper import run
from tests.visits import count_all_iterations

INF = math.inf
RATE = Budget("a-rate", Kind.RATE, 20, burst=6)
OUT = Budget("b-out", Kind.CONCURRENT, 8, scope=Scope(dest=7), ends_within_s=3.0)
DAY = Budget("c-day", Kind.ALLOWANCE, 5, scope=Scope(endpoint="x"), period_s=100.0)


def gate(shares: dict[str, Share], *budgets: Budget) -> Gate:
    return Gate(budgets, lambda name, now: (shares[name], 20.0, 2), 0.0)


@settings(derandomize=True, deadline=None, max_examples=150)
@given(
    st.lists(
        st.tuples(st.floats(0, 0.6), st.sampled_from(["call", "grow", "shrink", "lapse"]), st.floats(0, 12)),
        max_size=60,
    )
)
def test_a_rate_admits_no_more_calls_than_its_shares_and_burst(
    moves: list[tuple[float, str, float]],
) -> None:
    """Shares grow, shrink and lapse; the calls that were let through must not exceed what these allowed."""
    shares = {"a-rate": Share(1.0, 5.0, INF)}
    one, now, level = gate(shares, RATE), 0.0, 0.0
    for gap, what, amount in moves:
        had = shares["a-rate"]
        lasts = max(0.0, min(gap, had.until - now))
        level += had.total * lasts + had.reserve * (gap - lasts)
        now += gap
        if now >= had.until:
            shares["a-rate"] = had = Share(had.reserve, 0.0, INF)
        level = min(level, 1 + 4 * had.total / 20)
        if what == "call":
            if one.start(7, "x", now) == 0 and one.acquire(7, "x", now):
                level -= 1
                assert level >= -1e-6
            continue
        one.refresh(now)
        shares["a-rate"] = {
            "grow": Share(1.0, max(had.leased, amount), had.until),
            "shrink": Share(1.0, min(had.leased, amount), INF),
            "lapse": Share(1.0, had.leased, now + 0.3),
        }[what]  # fmt: skip
        one.refresh(now)
        level = min(level, 1 + 4 * shares["a-rate"].total / 20)


def binds(of: Scope, dest: int, endpoint: str) -> bool:
    same_dest = of.dest is None or of.dest == dest
    return same_dest and of.tenant is None and (of.endpoint is None or of.endpoint == endpoint)


@pytest.mark.parametrize("seed", range(10))
def test_the_index_finds_the_same_budgets_as_a_scan_of_all(seed: int) -> None:
    rng = Random(seed)

    def drawn() -> list[Budget]:
        found = []
        for n in rng.sample(range(60), 40):
            dest, endpoint = rng.choice([None, 1, 2, 3]), rng.choice([None, "x", "y"])
            of = Scope(tenant=rng.choice("ab")) if rng.random() < 0.2 else Scope(dest, endpoint)
            found.append(Budget(f"b{n}", Kind.RATE, 20, burst=6, scope=of))
        return found

    shares = {f"b{n}": Share(20, 0, INF) for n in range(60)}
    one = gate(shares, *drawn())
    for _ in range(3):
        waiting = {(dest, hop): rng.randint(0, 9) for dest in range(5) for hop in ("x", "y", "z", "")}
        uses = one.usage(waiting, 0.0)
        for name, account in one.accounts.items():
            of = account.budget.scope
            assert account.waiting == sum(n for at, n in waiting.items() if binds(of, *at))
            assert uses[name].demand == pytest.approx(account.waiting / 2.0)
        for dest, hop in waiting:
            plain = sorted(
                name for name, account in one.accounts.items() if binds(account.budget.scope, dest, hop)
            )
            assert [account.budget.name for account in one.binding(dest, hop)] == plain
        one.reload(drawn(), 0.0)


def test_a_call_visits_no_budgets_of_other_destinations() -> None:
    shares = {f"b{n}": Share(20, 0, INF) for n in range(2_000)}
    one = gate(
        shares, *(Budget(name, Kind.RATE, 20, burst=6, scope=Scope(n)) for n, name in enumerate(shares))
    )
    one.refresh(0.0)
    visits: list[object] = []
    count_all_iterations(one, visits)
    one.record_demand(7, "x", 1.0)
    assert one.start(7, "x", 1.0) == 0 and one.acquire(7, "x", 1.0) and not visits
    one.finish(7, "x", 2.0, True)
    assert one.admit("nobody", 2.0) == 0 and not visits
    one.refresh(2.0)
    assert len(visits) == 2_000, "all are visited where shares may have changed"


def test_all_budgets_of_a_call_bind_and_none_is_charged_when_one_refuses() -> None:
    shares = {"a-rate": Share(20, 0, INF), "b-out": Share(2, 0, INF), "c-day": Share(3, 0, INF)}
    one = gate(shares, RATE, OUT, DAY)
    assert one.start(7, "x", 0.0) > 0, "a new process has no tokens"
    assert one.start(7, "x", 1.0) == 0 and one.start(7, "x", 1.0) == 0
    assert one.start(7, "x", 1.0) > 0, "both slots for calls in flight are pending"
    level = one.accounts["a-rate"].tokens
    assert one.acquire(7, "x", 1.0) and one.acquire(7, "x", 1.0) and not one.acquire(7, "x", 1.0)
    assert one.accounts["a-rate"].tokens == pytest.approx(level - 2) and one.accounts["c-day"].used(1.0) == 2
    one.finish(7, "x", 1.1, answered=False)
    assert one.start(7, "x", 4.0) > 0, "it may still run at the partner"
    one.finish(7, "x", 4.0, answered=True)
    assert one.start(7, "x", 4.0) == 0 and one.acquire(7, "x", 4.0)
    one.finish(7, "x", 4.05, answered=True)
    assert one.start(7, "x", 4.2) > 0 and one.start(7, "y", 4.2) == 0, (
        "three of three in the period, for `x` alone"
    )
    assert one.start(7, "x", 101.5) == 0, "the first has left the period"
    shares["b-out"] = Share(0, 0, INF)
    one.refresh(101.5)
    assert not one.acquire(7, "x", 101.5), "the share was lost between `start` and `acquire`"


def test_usage_reports_the_demand_and_only_unused_slots_as_spare() -> None:
    shares = {"b-out": Share(1, 4, INF)}
    one = gate(shares, OUT)
    for _ in range(3):
        assert one.start(7, "x", 0.0) == 0 and one.acquire(7, "x", 0.0)
    use = one.usage({(7, "x"): 4, (7, ""): 2, (8, ""): 9}, 0.0)["b-out"]
    assert use.demand == 9 and use.spare == 2


def test_a_tenant_budget_binds_accepted_messages_and_is_returned_for_others() -> None:
    mine = Budget("t", Kind.RATE, 20, burst=6, scope=Scope(tenant="rossi"))
    one = gate({"t": Share(2, 0, INF)}, mine)
    assert one.admit("verdi", 0.0) == 0 and one.start(7, "x", 0.0) == 0, (
        "another tenant and calls are not bound"
    )
    assert one.admit("rossi", 0.0) == 0.5 and one.admit("rossi", 0.5) == 0
    assert one.admit("rossi", 0.5) > 0
    one.refund("rossi")
    assert one.admit("rossi", 0.5) == 0 and one.usage({}, 0.5)["t"].demand > 1


GRANTS = [
    ("calls", GrantRecord(Holder("m1", 5), 0b1011, 4.0)),
    ("out", GrantRecord(Holder("m2", 6), 1 << 90, 6.0)),
]


def _old(grant_file: GrantFile) -> None:
    content = grant_file.path.read_bytes()
    grant_file.grant(GRANTS[:1])
    grant_file.path.write_bytes(content)


def _foreign(grant_file: GrantFile) -> None:
    other = GrantFile(grant_file.path.parent.parent / "other", "m9", grant_file.witness.parent)
    other.begin(1)
    grant_file.path.write_bytes(other.path.read_bytes())


def _flip(grant_file: GrantFile) -> None:
    content = bytearray(grant_file.path.read_bytes())
    content[-40] ^= 1
    grant_file.path.write_bytes(content + b"00000000 []\n")


def _rebooted(grant_file: GrantFile) -> None:
    _, rest = grant_file.witness.read_text().split(" ", 1)
    grant_file.witness.write_text("another-boot " + rest)


@pytest.mark.parametrize(
    ("damage", "why"),
    [
        (lambda file: None, ""),
        (lambda file: file.path.write_bytes(file.path.read_bytes() + b"12345678 [\"p\""), ""),
        (lambda file: file.path.unlink(), "no grants file"),
        (lambda file: file.witness.unlink(), "no witness"),
        (_old, "an old copy"), (_foreign, "another member's folder"), (_flip, "the file is damaged"),
        (_rebooted, "the system was rebooted"),
    ],
)  # fmt: skip
def test_a_folder_is_relied_on_only_where_it_is_certainly_the_newest(
    tmp_path: Path, damage: Callable[[GrantFile], None], why: str
) -> None:
    grant_file = GrantFile(tmp_path / "state", "m1", tmp_path / "witnesses")
    grant_file.begin(0)
    grant_file.grant(GRANTS)
    grant_file.adopted(3)
    damage(grant_file)
    grant_file.close()
    again = GrantFile(tmp_path / "state", "m1", tmp_path / "witnesses")
    assert again.kept == (not why) and why in again.why
    if not why:
        assert again.written == {"calls": [GRANTS[0][1]], "out": [GRANTS[1][1]]} and again.epoch == 3
        again.begin(3)
        again.grant(GRANTS[:1])
        third = GrantFile(tmp_path / "state", "m1", tmp_path / "witnesses")
        assert third.kept and len(third.written["calls"]) == 2


def test_a_folder_can_be_declared_new_only_once(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr(tempfile, "tempdir", str(tmp_path))
    file = tmp_path / "m1.toml"
    file.write_text(FILE)
    assert main(["budgets", "--new", str(file)]) == 0
    assert GrantFile(tmp_path / "state", "m1").kept
    assert main(["budgets", "--new", str(file)]) == 1
    assert "grants were recorded here before" in capsys.readouterr().err


def test_a_file_with_an_older_epoch_than_its_folder_is_refused(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(tempfile, "tempdir", str(tmp_path))
    grant_file = GrantFile(tmp_path / "state", "m1")
    grant_file.begin(3)
    grant_file.close()
    file = tmp_path / "m1.toml"
    file.write_text(FILE)
    settings = load(file).budgets
    assert settings is not None

    async def start() -> None:
        with pytest.raises(ConfigError, match="1 is behind 3"):
            Budgets(settings, "m1", tmp_path / "state", lambda: Seal("f", ["a key of sixteen characters"]))

    run(start())


def test_a_grant_that_cannot_be_written_raises_and_the_file_stays_readable(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    grant_file = GrantFile(tmp_path / "state", "m1", tmp_path / "witnesses")
    grant_file.begin(1)
    write = os.write
    monkeypatch.setattr(os, "write", lambda fd, data: write(fd, data[:20]))
    with pytest.raises(OSError, match="no space left for the record"):
        grant_file.grant(GRANTS)
    monkeypatch.undo()
    grant_file.grant(GRANTS[1:])
    again = GrantFile(tmp_path / "state", "m1", tmp_path / "witnesses")
    assert again.kept and set(again.written) == {"out"}


def _fail_writes(monkeypatch: pytest.MonkeyPatch) -> None:
    def fail(fd: int, data: bytes) -> int:
        raise OSError(errno.ENOSPC, "no space left on device")

    monkeypatch.setattr(os, "write", fail)


def test_an_epoch_that_could_not_be_written_can_be_written_later(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It counted as written, and the next process voted in the epoch before."""
    grant_file = GrantFile(tmp_path / "state", "m1", tmp_path / "witnesses")
    grant_file.begin(1)
    _fail_writes(monkeypatch)
    with pytest.raises(OSError, match="no space left"):
        grant_file.adopted(3)
    monkeypatch.undo()
    grant_file.adopted(3)
    again = GrantFile(tmp_path / "state", "m1", tmp_path / "witnesses")
    assert again.kept and again.epoch == 3


def test_a_voter_writes_its_epoch_before_it_grants_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The write was not repeated after it had failed once, and grants went on."""
    monkeypatch.setattr(tempfile, "tempdir", str(tmp_path))
    file = tmp_path / "m1.toml"
    file.write_text(FILE)
    settings = load(file).budgets
    assert settings is not None

    async def adopt_and_grant() -> None:
        budgets = Budgets(
            settings, "m1", tmp_path / "state", lambda: Seal("f", ["a key of sixteen characters"])
        )
        with monkeypatch.context() as failing:
            failing.setattr(Budgets, "_tick", lambda self: None)
            budgets.begin()
        budgets.member.membership.adopted = 1
        with monkeypatch.context() as failing:
            _fail_writes(failing)
            ask = Ask("m2", 7, 1, 1, 0, ())
            assert budgets._apply(ask, ("127.0.0.1", 9)) == [], "the epoch is not on disk"
        budgets._apply(ask, ("127.0.0.1", 9))
        budgets.close()

    run(adopt_and_grant())
    assert GrantFile(tmp_path / "state", "m1").epoch == 1


def test_messages_are_sealed_in_datagrams_of_bounded_size() -> None:
    seal = Seal("fleet", ["a key of sixteen characters"])
    every = (1 << 128) - 1
    lines = tuple(AskLine(f"{n:032d}", n, every, 4.0, 100.0, 128.0, 1.0) for n in range(25))
    ask = Ask("m" * 32, (1 << 62) + 1, 2, 3, 1 << 31, lines, ("x",), True)
    datagrams = list(wire.close(seal, ask))
    assert len(datagrams) == 3 and max(map(len, datagrams)) <= MAX_DATAGRAM_BYTES
    read = [wire.open_(seal, one) for one in datagrams]
    assert tuple(line for one in read for line in one.lines) == lines
    assert all(isinstance(one, Ask) and one.ended == ("x",) and one.run == ask.run for one in read)
    answer_lines = tuple(AnswerLine(f"{n:032d}", n, every, every, 100.0, 64, (1, 2), 0.5) for n in range(10))
    answer = Answer("m2", "m1", 7, 3, 9, answer_lines, (), "behind")
    (data,) = wire.close(seal, answer)
    assert len(data) <= MAX_DATAGRAM_BYTES and wire.open_(seal, data) == answer
    with pytest.raises(RefusedDatagramError, match="forged"):
        wire.open_(seal, data[:-1] + bytes([data[-1] ^ 1]))
    with pytest.raises(RefusedDatagramError, match="malformed"):
        wire.open_(seal, seal.sign(b"\x93\x01", wire.HEAD))


FILE = """
name = "m1"
state = "state"
[resp]
listen = "127.0.0.1:0"
[fleet]
name = "f"
listen = "127.0.0.1:7701"
keys = ["a key of sixteen characters"]
[[class]]
name = "note"
semantics = "idempotent"
deadline = 8
[[next_hop]]
id = "x"
addr = "127.0.0.1:9"
dest = 7
[[member]]
name = "m1"
at = "127.0.0.1:7701"
[[member]]
name = "m2"
at = "127.0.0.1:7702"
[[budget]]
name = "calls"
kind = "rate"
whole = 100
burst = 30
of = { dest = 7 }
"""


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ("dest = 7 }", "dest = 9 }", "budget[0].of.dest: no next hop has 9"),
        ("dest = 7 }", 'endpoint = "z" }', "budget[0].of.endpoint: no next hop is 'z'"),
        ("burst = 30", "burst = 1", "budget[0].burst: 1 is less than one call for each of 2 members"),
        ("burst = 30", "least = 60", "budget[0].least: 60 for each of 2 members is more than 100"),
        ("burst = 30", "period = 9", "budget[0].period: only for kind 'allowance'"),
        ("dest = 7 }", 'tenant = "t" }', "budget[0].of.tenant: no tenant is 't'"),
        ("[[class]]", '[[tenant]]\nname = "t"\nstrict = true\n[[class]]', "tenant[0].strict: needs a rate"),
        ("[[class]]", '[[tenant]]\nname = "t"\nstrict = true\nrate = 1\n[[class]]',
         "tenant 't'.burst: 1 is less than one call for each of 2 members"),
        ('kind = "rate"', 'kind = "sum"', "budget[0].kind: not one of rate, concurrent, allowance"),
        ("whole = 100", "whole = -1", "budget[0].whole: 0 or more"),
        ('name = "m2"', 'name = "m1"', "member: 'm1' is listed twice"),
        ('name = "m1"\nat', 'name = "m3"\nat', "member: 'm1', this file's name, is not among them"),
        ("[[member]]\nname = \"m2\"", "[[member]]\nvoter = 1\nname = \"m2\"", "member[1].voter: wrong type"),
        ("[fleet]", "[fleet]\ndrift = 0.5", "fleet.drift: 0 to 0.2"),
        ("[fleet]", "[fleet]\nepoch = 2\nsettled = 3", "member: settled: 1 to the epoch"),
    ],
)  # fmt: skip
def test_an_invalid_file_is_refused_with_one_line(tmp_path: Path, old: str, new: str, message: str) -> None:
    file = tmp_path / "m1.toml"
    file.write_text(FILE)
    found = load(file)
    assert found.budgets is not None and found.budgets.budgets[0].scope == Scope(dest=7)
    assert old in FILE
    file.write_text(FILE.replace(old, new, 1))
    with pytest.raises(ConfigError) as error:
        load(file)
    assert str(error.value) == f"{file}: {message}"


def test_the_table_sums_each_budget_and_marks_conflicts() -> None:
    def answer(name: str, share: float, total: float = 100.0, refused: str = "") -> dict[str, object]:
        one = {"kind": "rate", "whole": total, "part": share, "reserve": 5.0, "leased": share - 5,
               "lasts_s": 2.0, "demand": 9.0}  # fmt: skip
        by = {"m9": refused} if refused else {}
        return {"name": name, "epoch": 1, "file_epoch": 2, "refused_by": by, "budgets": {"calls": one}}

    good = {"a": answer("m1", 60), "b": answer("m2", 40)}
    assert sound(good) and [row[4] for row in rows(good)] == ["60", "40", "100"]
    assert rows({**good, "c": answer("m3", 0, 90.0)})[-1][3] == "90!", "files that disagree"
    assert not sound({**good, "c": None}) and not sound({"a": answer("m1", 60, refused="behind")})
    assert not sound({"a": answer("m1", 60), "b": answer("m2", 41)})
