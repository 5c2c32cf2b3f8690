"""The capacity page: it matches the results, missing results are unknown, and the arithmetic is right."""

from __future__ import annotations

from pathlib import Path

import orjson
import pytest

from benchmarks.capacity import PAGE, RESULTS, ROOT
from mountgauge.core.config import ConfigError
from mountgauge.lab.scale import capacity_page
from mountgauge.lab.scale.capacity import compute_capacity
from mountgauge.lab.scale.capacity_tables import number, short
from mountgauge.lab.scale.figures import Figure, Term, Unit, summed
from mountgauge.lab.scale.fit import Estimate, Measurement, Unknown, fit
from mountgauge.lab.scale.kept_results import KeptResults, KeptResultsError, Slope, Slopes, load_kept_results
from mountgauge.lab.scale.limits import Limit, break_point
from mountgauge.lab.scale.outage import Outage, cold_budget, simulate
from mountgauge.lab.scale.size import FleetSize, load_size

SIZE_FILE = ROOT / capacity_page.SIZE_FILE
SIZES = (100.0, 300.0, 1000.0, 3000.0, 10_000.0)


@pytest.fixture
def size() -> FleetSize:
    return load_size(SIZE_FILE)


def slope(
    name: str, coefficient: float, exponent: float, axis: str = "destinations", unit: str = "s"
) -> Slope:
    measured = tuple(Measurement(one, coefficient * one**exponent) for one in SIZES)
    return Slope(name, axis, unit, "test", "test", 1.0, measured, fit(measured))


def slopes(*each: Slope) -> Slopes:
    return Slopes("test", "3.11", {one.name: one for one in each})


def test_page_and_kept_results_agree() -> None:
    """If this fails, render the page again with `python -m benchmarks.capacity`."""
    assert PAGE.read_text() == capacity_page.render(RESULTS)


def kept_slopes(folder: Path, cost: float) -> None:
    """A results file of `benchmarks.slopes` with one probe."""
    probe = {
        "name": "policy-memory", "axis": "destinations", "unit": "bytes", "method": "test", "source": "test",
        "load_average": 1.0, "sizes": SIZES, "costs": [cost * one for one in SIZES],
    }  # fmt: skip
    raw = {"processor": "test", "python": "3.11", "probes": [probe]}
    (folder / "slopes.json").write_bytes(orjson.dumps(raw))


def test_a_different_result_yields_a_different_page(tmp_path: Path) -> None:
    pages = []
    for cost in (1000.0, 1010.0):
        kept_slopes(tmp_path, cost)
        pages.append(capacity_page.render(tmp_path, SIZE_FILE))
    assert pages[0] != pages[1] and "1.7 GB" in pages[0] and "1.72 GB" in pages[1]


def test_without_results_all_measured_figures_are_unknown(tmp_path: Path, size: FleetSize) -> None:
    text = capacity_page.render(tmp_path, SIZE_FILE)
    assert "The scale run is not among the results" in text and "Nothing measured." in text
    found = compute_capacity(load_kept_results(tmp_path), size)
    figures = [row.figure for role in found.roles for row in role.rows]
    assert all(
        isinstance(one.value, Unknown) for one in figures if "slopes" in one.origin or "scale" in one.origin
    )
    assert all(one.factor is None and not one.has_laws for one in found.limits)


def test_a_scale_run_fills_the_rows_of_the_relays(tmp_path: Path) -> None:
    cost = {"exponent": 1.0, "residual": 0.01, "low": 0.4, "high": 0.6, "why_unknown": "not near"}
    raw = {
        "slopes": [
            {"cost": "zone_relay_cpu_share", "at_size": 0.5, **cost},
            {"cost": "cpu_share", "at_size": None, **cost},
        ],
        "summary": {
            "senders": 3000, "destinations": 283_333, "config_p99_s": 2.5, "stale": 0, "hollow_used": False,
            "hollow_error": "not run", "at_size": {"control_machines": 26}, "broken": ["config_p99_s 2.5"],
        },
    }  # fmt: skip
    (tmp_path / "scale.json").write_bytes(orjson.dumps(raw))
    text = capacity_page.render(tmp_path, SIZE_FILE)
    assert "| processor, one a zone | 50 % of a core (40 % of a core to 60 % of a core) |" in text
    assert "| control in all: processor | **unknown** (40 % of a core to 60 % of a core) |" in text
    assert "| a change in force, p99 | 2.5 s | 9 s | 27.8 % |" in text
    assert "- Sender, control in all: processor: not near" in text
    assert "of hollow ones alone" in text and "Bounds that it missed: config_p99_s 2.5." in text


@pytest.mark.parametrize("name", ["slopes.json", "outage.json", "scale.json"])
@pytest.mark.parametrize("content", [b"{", b"[]", b'{"probes": [{}]}', b"3"])
def test_a_damaged_result_is_reported_in_one_line(tmp_path: Path, name: str, content: bytes) -> None:
    (tmp_path / name).write_bytes(content)
    with pytest.raises(KeptResultsError, match=name) as raised:
        load_kept_results(tmp_path)
    assert "\n" not in str(raised.value)


def test_terms_are_added_and_a_missing_one_makes_the_sum_unknown() -> None:
    known = slopes(slope("one", 1e-6, 1.0), slope("two", 2e-6, 1.0))
    found = summed(known, (Term("one", 2), Term("two")), 1000.0, Unit.SECONDS, bound=8e-3)
    assert isinstance(found.value, Estimate) and found.value.value == pytest.approx(4e-3)
    assert found.share == pytest.approx(0.5)
    assert isinstance(summed(known, (Term("one"), Term("three")), 1000.0, Unit.SECONDS).value, Unknown)


def test_a_limit_is_reached_where_its_cost_equals_the_bound() -> None:
    limit = Limit("x", "destinations", (Term("one"),), 0.25, Unit.CORE, 1e6, 100.0, "here")
    after, before = slopes(slope("one", 1e-6, 1.0)), slopes(slope("one", 1e-6, 2.0))
    found = break_point(KeptResults(after, before, (), None), limit)
    assert found.size == pytest.approx(250_000) and not found.measured
    assert found.factor == pytest.approx(4.0) and found.before == pytest.approx(2000.0)
    assert found.with_shards == pytest.approx(100 / 250_000)


def test_a_constant_cost_never_reaches_its_limit() -> None:
    limit = Limit("x", "destinations", (Term("one"),), 0.25, Unit.CORE, 1e6, None, "here")
    found = break_point(KeptResults(slopes(slope("one", 1e-6, 0.0)), None, (), None), limit)
    assert found.size is None and found.factor is None and found.has_laws


def test_the_derived_figures_of_the_size(size: FleetSize) -> None:
    assert size.events_per_sender_s == pytest.approx(833.3, abs=0.1)
    assert size.backlog_per_sender == pytest.approx(3_333_333, abs=1)
    assert size.destinations_down == pytest.approx(30_600)
    assert size.changes_per_s == pytest.approx(0.648, abs=0.001)
    assert size.destinations_per_sender == pytest.approx(283.3, abs=0.1)


@pytest.mark.parametrize(
    ("change", "message"),
    [
        (("senders = 18_000", "senders = 0"), "fleet.senders: must be above 0"),
        (("senders = 18_000", "senders = 1.5"), "fleet.senders: not a whole number"),
        (("down_share = 0.018", "down_share = 18"), "destinations.down_share: a share"),
        (("zones = 23", "zones = 3"), "fleet.zones: fewer than regions"),
        (("[control]", "[control]\nother = 1"), "control.other: unknown setting"),
        (("places = 3", ""), "sharding.places: missing"),
        (("[sharding]", "[shards]"), "sharding: missing"),
    ],
)
def test_an_invalid_size_is_reported_in_one_line(
    tmp_path: Path, change: tuple[str, str], message: str
) -> None:
    path = tmp_path / "size.toml"
    path.write_text(SIZE_FILE.read_text().replace(*change, 1))
    with pytest.raises(ConfigError, match=message) as raised:
        load_size(path)
    assert "\n" not in str(raised.value) and str(raised.value).startswith(str(path))


def test_numbers_have_a_suitable_unit() -> None:
    assert [short(one) for one in (0, 0.0123456, 1.0, 23.44, 1234.5, 1.7e6)] == [
        "0", "0.0123", "1", "23.4", "1,230", "1,700,000",
    ]  # fmt: skip
    assert number(2.5e9, Unit.BYTES) == "2.5 GB" and number(19e3, Unit.BYTES_PER_S) == "19 KB/s"
    assert number(0.0023, Unit.SECONDS) == "2.3 ms" and number(0.023, Unit.CORE) == "2.3 % of a core"
    assert Figure(Unknown("not measured"), Unit.CORE, "", 1.0).share is None


def test_an_outage_causes_trials_and_its_end_a_limited_number_of_calls() -> None:
    """The real module: only trials during the outage, then at most the capacity of a cold destination."""
    found = simulate(Outage(3, 9.0, 30.0, 60.0, 20.0, 600.0, 18.0, 3), 1)
    assert found.learned == 3
    assert 0 < found.trials_per_s < 9.0
    assert 0 < found.calls_after <= cold_budget(18.0) + 2 * cold_budget(18.0) ** 0.5 + 2
    assert simulate(Outage(3, 9.0, 30.0, 60.0, 20.0, 600.0, 18.0, 3), 1) == found, (
        "a seed always yields the same outage"
    )
