"""The slope measurement: every probe measures something, the loop terminates, results are kept."""

from __future__ import annotations

import json
from dataclasses import replace
from pathlib import Path

import pytest

from benchmarks.slopes.__main__ import PROBES
from benchmarks.slopes.journal import BODY_BYTES
from benchmarks.slopes.probe import Method, Probe, ProbeResult, Unit, measure
from benchmarks.slopes.report import format_line, save
from mountgauge.lab.scale.fit import Measurement
from mountgauge.lab.scale.limits import limits
from mountgauge.lab.scale.size import load_size
from tests.lab.test_capacity import SIZE_FILE

SMALLEST = 4
PAGED = 1000  # messages that fill many pages: the resident size grows by pages


@pytest.mark.parametrize("probe", PROBES, ids=lambda probe: probe.name)
def test_each_probe_measures_something(probe: Probe) -> None:
    paged = probe.method is Method.FRESH_PROCESS
    size, least = (PAGED, PAGED * BODY_BYTES) if paged else (SMALLEST * 2, 0)
    assert probe.prepare(size)() > least


def test_each_limit_uses_existing_probes() -> None:
    known = {probe.name: probe for probe in PROBES}
    assert len(known) == len(PROBES), "a name occurs twice"
    for limit in limits(load_size(SIZE_FILE)):
        for term in limit.terms:
            assert limit.axis.startswith(known[term.probe].axis.value), limit.label


def _counted(name: str, costs: list[int]) -> Probe:
    """A probe whose cost is its size, and which records the requested sizes."""

    def prepare(size: int) -> object:
        costs.append(size)
        return lambda: float(size)

    return Probe(name, prepare, "here", unit=Unit.BYTES, method=Method.COUNTED, repeats=1)  # type: ignore[arg-type]


def test_no_larger_size_is_measured_after_the_time_limit() -> None:
    requested: list[int] = []
    found = measure(replace(_counted("x", requested), sizes=(1, 2, 3, 4, 5), limit_s=0.0), quick=False)
    assert requested == [1, 2, 3], "three sizes are always measured"
    assert [one.cost for one in found.measurements] == [1.0, 2.0, 3.0]


def test_results_of_other_probes_stay_in_the_file(tmp_path: Path) -> None:
    path = tmp_path / "results" / "slopes.json"
    first, second = _counted("first", []), _counted("second", [])

    def measured(probe: Probe, cost: float) -> ProbeResult:
        return ProbeResult(probe, tuple(Measurement(size, cost * size) for size in (1, 2, 4)), 0.5, 0.1)

    save(path, [measured(second, 1.0)], (first, second))
    save(path, [measured(first, 1.0)], (first, second))
    save(path, [measured(second, 3.0)], (first, second))
    kept = json.loads(path.read_text())["probes"]
    assert [(one["name"], one["costs"]) for one in kept] == [("first", [1, 2, 4]), ("second", [3, 6, 12])]
    assert kept[0]["load_average"] == 0.5 and kept[0]["fit"]["exponent"] == pytest.approx(1.0)


def test_a_line_has_the_exponent_figure_and_source() -> None:
    found = ProbeResult(_counted("x", []), tuple(Measurement(n, 2.0 * n) for n in (10, 100, 1000)), 0.5, 0.1)
    text = format_line(found, {found.probe.axis: 1e6})
    assert "1.00" in text and "2e+06 bytes (2e+06 to 2e+06) at 1000000" in text and text.endswith("; here")
