"""Self-contained HTML page of a scale run: costs by size, propagation times, bounds that are not met.

matplotlib draws the charts as SVG, Jinja2 renders the page; both are optional (`requirements-lab.txt`).
"""

from __future__ import annotations

import io
from collections.abc import Callable, Sequence
from importlib.util import find_spec
from pathlib import Path
from typing import Any, NamedTuple

from mountgauge.core.config import ConfigError
from mountgauge.lab.scale.propagation import Histogram
from mountgauge.lab.scale.results import (
    COSTS,
    FULL_SIZE,
    ScaleResult,
    SizeResult,
    proportional,
)
from mountgauge.lab.scale.settings import ScaleSettings

_PAGE = """<!doctype html>
<html lang="en"><head><meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>Scale run {{ result.name }}</title>
<style>
body { font: 15px/1.45 system-ui, sans-serif; margin: 0 auto;
  max-width: 72rem; padding: 1rem; color: #1c1c1c }
h1 { font-size: 1.5rem; margin: .2rem 0 } h2 { font-size: 1.1rem; margin: 1.6rem 0 .4rem }
.answer { font-size: 1.15rem; padding: .6rem .8rem; border-left: .35rem solid; background: #f6f6f4 }
.good { border-color: #41ab5d } .bad { border-color: #cb181d }
svg { width: 100%; height: auto }
table { border-collapse: collapse; width: 100%; font-size: .9rem }
td, th { text-align: right; padding: .2rem .5rem; border-bottom: 1px solid #ddd }
td:first-child, th:first-child { text-align: left }
.scroll { overflow-x: auto } small { color: #555 }
</style></head><body>
<h1>Scale run {{ result.name }}</h1>
<small>seed {{ result.seed }}; {{ settings.total_s | round }} s of virtual time a size;
{{ settings.fleet.zones }} zones in {{ settings.fleet.regions }} regions</small>
<p class="answer {{ 'bad' if result.broken else 'good' }}">
{% if result.broken %}Not held: {{ result.broken | join("; ") }}.{% else %}All bounds are held.{% endif %}
{% if result.not_run %}Not run: {{ result.not_run | join(", ") }}.{% endif %}</p>
<div class="scroll"><table>{% for name, value in summary.items() %}
<tr><td>{{ name }}<td>{{ value }}</tr>{% endfor %}</table></div>
{% for one in charts %}<h2>{{ one.title }}</h2>{{ one.svg | safe }}{% endfor %}
<h2>At {{ full.senders }} senders and {{ full.destinations }} destinations</h2>
<div class="scroll"><table><tr><th>cost<th>exponent<th>residual<th>figure<th>interval</tr>
{% for one in result.slopes %}<tr><td>{{ one.cost }}<td>{{ "%.3f" | format(one.exponent) }}
<td>{{ "%.3f" | format(one.residual) }}
<td>{{ "unknown" if one.at_size is none else "%.4g" | format(one.at_size) }}
<td>{{ "%.3g" | format(one.low) }} to {{ "%.3g" | format(one.high) }}</tr>{% endfor %}</table></div>
<h2>Sizes</h2><div class="scroll"><table>
<tr>{% for name in sizes[0] %}<th>{{ name }}{% endfor %}</tr>
{% for one in sizes %}<tr>{% for value in one.values() %}<td>{{ value }}{% endfor %}</tr>{% endfor %}
</table></div></body></html>
"""
_SHARES = (0.01, *(percent / 100 for percent in range(5, 100, 5)), 0.99, 0.995, 0.999, 0.9999, 1.0)


class Chart(NamedTuple):
    """A chart of the page."""

    title: str
    svg: str


def _svg(figure: Any) -> str:
    out = io.StringIO()
    figure.savefig(out, format="svg", bbox_inches="tight")
    text = out.getvalue()
    return text[text.index("<svg") :]


def _pyplot() -> Any:
    import matplotlib  # type: ignore[import-not-found,unused-ignore]

    matplotlib.use("svg")
    from matplotlib import pyplot as plot

    plot.rcParams.update({"svg.fonttype": "none", "font.size": 10, "axes.spines.top": False})
    return plot


def _costs_by_size(plot: Any, result: ScaleResult, costs: Sequence[str], unit: str) -> str:
    """Chart measured costs by number of senders, with the estimates for the full size."""
    figure, axes = plot.subplots(figsize=(11, 3.4))
    for cost in costs:
        cost_of: Callable[[SizeResult], float] = COSTS[cost]
        fitted_sizes = [one for one in result.sizes if proportional(one.size)]
        other_sizes = [one for one in result.sizes if not proportional(one.size)]
        (line,) = axes.plot(
            [one.size.senders for one in fitted_sizes],
            [cost_of(one) for one in fitted_sizes],
            "o-",
            label=cost,
        )
        axes.plot(
            [one.size.senders for one in other_sizes],
            [cost_of(one) for one in other_sizes],
            "x",
            color=line.get_color(),
        )
        slope = result.slope(cost)
        if slope is not None and slope.at_size is not None:
            error = [[slope.at_size - slope.low], [slope.high - slope.at_size]]
            axes.errorbar([FULL_SIZE.senders], [slope.at_size], error, fmt="s", color=line.get_color())
    axes.set(xscale="log", yscale="log", xlabel="senders", ylabel=unit)
    axes.legend(loc="best", frameon=False)
    text = _svg(figure)
    plot.close(figure)
    return text


def _propagation_times(plot: Any, result: ScaleResult) -> str:
    """Chart, for each size, the distribution of the times from a change to its being in force."""
    figure, axes = plot.subplots(figsize=(11, 3.4))
    for one in result.sizes:
        histogram = Histogram()
        histogram.add_encoded(one.propagation.histogram)
        points = histogram.points(_SHARES)
        label = f"{one.size.senders} senders, {one.size.destinations} destinations"
        axes.plot([seconds for _, seconds in points], [share for share, _ in points], label=label)
    axes.set(xscale="log", xlabel="s from the change to its being in force", ylabel="share")
    axes.legend(loc="best", frameon=False, fontsize=8)
    text = _svg(figure)
    plot.close(figure)
    return text


def _size_row(one: SizeResult) -> dict[str, Any]:
    times = one.propagation
    return {
        "senders": one.size.senders,
        "destinations": one.size.destinations,
        "shards": one.size.shards,
        **{cost: f"{cost_of(one):.4g}" for cost, cost_of in COSTS.items()},
        "p50, s": f"{times.p50_s:.3f}",
        "p99, s": f"{times.p99_s:.3f}",
        "worst, s": f"{times.worst_s:.3f}",
        "after a cut, s": f"{times.after_heal_worst_s:.3f}",
        "starts, worst s": f"{times.start_worst_s:.3f}",
        "relay's peak": f"{one.relay_load_peak:.2f}",
        "stale": times.stale,
        "wrong": one.wrong,
        "moved share": f"{one.moved_share:.3f}",
    }


def page_text(settings: ScaleSettings, result: ScaleResult, charts: Sequence[Chart]) -> str:
    """Render the page of a run with these charts."""
    from jinja2 import Environment

    page = Environment(autoescape=True).from_string(_PAGE)
    sizes = [_size_row(one) for one in result.sizes]
    return page.render(
        result=result, settings=settings, charts=charts, sizes=sizes, full=FULL_SIZE, summary=result.summary()
    )


def draw_charts(result: ScaleResult) -> list[Chart]:
    """Draw all charts of a run."""
    plot = _pyplot()
    return [
        Chart("Times of changes", _propagation_times(plot, result)),
        Chart("A sender's processor time", _costs_by_size(plot, result, ["cpu_share"], "share of a core")),
        Chart("A sender's bytes", _costs_by_size(plot, result, ["kb_s"], "kB/s")),
        Chart("A sender's memory", _costs_by_size(plot, result, ["mb"], "MB")),
        Chart(
            "Relays' processor time",
            _costs_by_size(
                plot, result, ["zone_relay_cpu_share", "upper_relay_cpu_share"], "share of a core"
            ),
        ),
        Chart("Relays' memory", _costs_by_size(plot, result, ["zone_relay_mb", "upper_relay_mb"], "MB")),
    ]


def check_libraries() -> None:
    """Raise ConfigError if a library that the page needs is not installed."""
    for name in ("jinja2", "matplotlib"):
        if find_spec(name) is None:
            raise ConfigError(f"lab: {name} is missing: see requirements-lab.txt, or use --no-page")


def write_page(path: Path, settings: ScaleSettings, result: ScaleResult) -> None:
    """Write the page of a run."""
    path.write_text(page_text(settings, result, draw_charts(result)))
