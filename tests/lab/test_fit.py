"""Growth laws: known data yields its law, noisy data yields no figure, too little data is an error."""

from __future__ import annotations

import random

import pytest

from mountgauge.lab.scale.fit import (
    Estimate,
    Fit,
    FitError,
    Measurement,
    Model,
    Unknown,
    fit,
    fit_power,
)

SIZES = (100, 300, 1000, 3000, 10_000, 30_000)


def _measured(law: dict[int, float], noise: float = 0.0, seed: int = 1) -> list[Measurement]:
    rng = random.Random(seed)
    return [Measurement(size, cost * (1 + rng.uniform(-noise, noise))) for size, cost in law.items()]


def test_a_known_power_law_is_found_exactly() -> None:
    found = fit(_measured({size: 2e-6 * size**1.5 for size in SIZES}))
    assert found.model is Model.POWER
    assert found.exponent == pytest.approx(1.5, abs=1e-9)
    assert found.coefficient == pytest.approx(2e-6, rel=1e-9)
    assert found.residual < 1e-9
    predicted = found.at(1_000_000)
    assert isinstance(predicted, Estimate)
    assert predicted.value == pytest.approx(2e-6 * 1e9, rel=1e-6)


def test_interval_covers_the_truth_and_widens_with_distance() -> None:
    covered = 0
    for seed in range(200):
        found = fit_power(_measured({size: 3e-6 * size for size in SIZES}, noise=0.03, seed=seed))
        near, far = found.at(30_000), found.at(1_700_000)
        assert isinstance(near, Estimate) and isinstance(far, Estimate)
        assert far.high / far.low > near.high / near.low
        covered += far.low <= 3e-6 * 1_700_000 <= far.high
    assert covered >= 180  # 95 % of 200, less a margin for chance


def test_noisy_costs_give_no_figure() -> None:
    found = fit(_measured({size: 1e-6 * size for size in SIZES}, noise=0.7))
    predicted = found.at(1_700_000)
    assert isinstance(predicted, Unknown)
    assert predicted.high / predicted.low > 2
    assert "interval" in predicted.why


def test_three_sizes_with_little_noise_predict_nothing_far_away() -> None:
    found = fit(_measured({100: 1.0, 200: 2.1, 400: 3.9}))
    assert isinstance(found.at(1_700_000), Unknown)


def test_a_constant_term_is_found_where_a_plain_law_would_mislead() -> None:
    law = {size: 0.01 + 1e-6 * size for size in (*SIZES, 100_000, 300_000)}
    plain, found = fit_power(_measured(law, 0.01)), fit(_measured(law, 0.01))
    assert found.model is Model.OFFSET_POWER
    assert found.exponent == pytest.approx(1.0, abs=0.05)
    assert found.constant == pytest.approx(0.01, rel=0.05)
    assert plain.exponent < 0.6
    predicted = found.at(1_700_000)
    assert isinstance(predicted, Estimate)
    assert predicted.low < 1.71 < predicted.high


def test_a_plain_law_is_chosen_under_noise() -> None:
    chosen = [
        fit(_measured({size: 1e-6 * size**1.2 for size in SIZES}, 0.05, seed)).model for seed in range(100)
    ]
    assert chosen.count(Model.POWER) >= 85


@pytest.mark.parametrize(
    ("measured", "message"),
    [
        ([], "0 different sizes"),
        ([Measurement(10, 1.0), Measurement(20, 2.0)], "2 different sizes"),
        ([Measurement(10, 1.0)] * 5, "1 different sizes"),
        ([Measurement(1, 1.0), Measurement(2, 0.0), Measurement(3, 1.0)], "above 0"),
        ([Measurement(1, 1.0), Measurement(-2, 1.0), Measurement(3, 1.0)], "above 0"),
        ([Measurement(1, 1.0), Measurement(2, float("nan")), Measurement(3, 1.0)], "above 0"),
    ],
)
def test_unusable_measurements_are_an_error(measured: list[Measurement], message: str) -> None:
    with pytest.raises(FitError, match=message):
        fit(measured)


def test_constant_costs_are_flat() -> None:
    found: Fit = fit(_measured(dict.fromkeys(SIZES, 1e-4), noise=0.02))
    assert found.flat


def test_one_outlier_yields_no_steep_law() -> None:
    law = {**dict.fromkeys(SIZES, 1e-4), 30_000: 1.1e-4}
    found = fit(_measured(law))
    assert found.model is Model.POWER and found.exponent < 0.1
