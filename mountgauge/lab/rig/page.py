"""Renders a run as one self-contained HTML page: calls against capacity, service, phases, broken rules.

The charts are SVG by matplotlib, the page is a Jinja2 template; both are optional (`requirements-lab.txt`).
"""

from __future__ import annotations

import io
from collections.abc import Mapping, Sequence
from itertools import pairwise
from pathlib import Path
from typing import Any

from mountgauge.lab.rig.events import Event
from mountgauge.lab.rig.metrics import RunMetrics, phases
from mountgauge.lab.rig.oracle import Judgement
from mountgauge.lab.rig.schedule import Schedule

_COLOURS = {
    "starting": "#9a9a9a",
    "restoring": "#8c6bb1",
    "learning": "#41b6c4",
    "ramping": "#fe9929",
    "full": "#41ab5d",
    "gone": "#ffffff",
}
_PAGE = """<!doctype html>
<html lang="en"><head><meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>{{ schedule.name }}</title>
<style>
body { font: 15px/1.45 system-ui, sans-serif; margin: 0 auto;
  max-width: 72rem; padding: 1rem; color: #1c1c1c }
h1 { font-size: 1.5rem; margin: .2rem 0 }
h2 { font-size: 1.1rem; margin: 1.6rem 0 .4rem }
.answer { font-size: 1.15rem; padding: .6rem .8rem; border-left: .35rem solid; background: #f6f6f4 }
.good { border-color: #41ab5d } .bad { border-color: #cb181d }
.figures { display: grid; grid-template-columns: repeat(auto-fit, minmax(11rem, 1fr)); gap: .5rem;
  margin: .8rem 0 }
.figures div { background: #f6f6f4; padding: .5rem .7rem } .figures b { display: block; font-size: 1.3rem }
svg { width: 100%; height: auto }
table { border-collapse: collapse; width: 100%; font-size: .9rem }
td, th { text-align: left; padding: .2rem .5rem; border-bottom: 1px solid #ddd; vertical-align: top }
.scroll { overflow-x: auto } small { color: #555 }
</style></head><body>
<h1>{{ schedule.name }}</h1>
<small>{{ schedule.fleet.members }} senders, seed {{ schedule.seed }}, {{ schedule.seconds }} s,
{{ "with" if schedule.fleet.comeback else "without" }} comeback</small>
<p class="answer {{ 'good' if not judged.violations and not figures.endless else 'bad' }}">{{ answer }}</p>
<div class="figures">{% for name, value, unit in shown %}
<div><b>{{ value }}</b>{{ name }} <small>{{ unit }}</small></div>{% endfor %}</div>
{% for title, chart in charts %}<h2>{{ title }}</h2>{{ chart | safe }}{% endfor %}
<h2>Faults</h2><div class="scroll"><table><tr><th>at, s<th>what<th>whom</tr>
{% for one in faults %}<tr><td>{{ "%.2f" | format(one.at) }}<td>{{ one.fields.do }}
<td>{{ whom(one) }}</tr>{% endfor %}</table></div>
{% if judged.violations %}<h2>Broken rules ({{ judged.violations | length }})</h2><div class="scroll"><table>
<tr><th>at, s<th>rule<th>sender<th>message<th>why</tr>
{% for one in judged.violations[:200] %}<tr><td>{{ "%.3f" | format(one.at) }}<td>{{ one.rule }}
<td>{{ one.member }}<td>{{ one.id }}<td>{{ one.why }}</tr>{% endfor %}</table></div>{% endif %}
<h2>By second</h2><div class="scroll"><table>
<tr>{% for name in seconds[0] %}<th>{{ name }}{% endfor %}</tr>
{% for one in seconds %}<tr>{% for value in one.values() %}<td>{{ value }}{% endfor %}</tr>{% endfor %}
</table></div></body></html>
"""


def answer(figures: Mapping[str, Any], judged: Judgement) -> str:
    """A summary of the run in one or two sentences."""
    if figures["endless"]:
        text = "Service never came back in this run."
    else:
        text = (
            f"Full service {figures['full_service_s']} s after the last fault, "
            f"{figures['full_service_over_limit']} times the best that the partner allowed."
        )
    if judged.violations:
        rules = ", ".join(f"{rule} {count}" for rule, count in judged.rules.most_common())
        return f"{text} {len(judged.violations)} broken rules: {rules}."
    return f"{text} No rule was broken."


def _svg(figure: Any) -> str:
    out = io.StringIO()
    figure.savefig(out, format="svg", bbox_inches="tight")
    text = out.getvalue()
    return text[text.index("<svg") :]


def _charts(schedule: Schedule, events: Sequence[Event], dests: Sequence[int]) -> list[tuple[str, str]]:
    import matplotlib  # type: ignore[import-not-found,unused-ignore]

    matplotlib.use("svg")
    from matplotlib import pyplot as plot

    plot.rcParams.update({"svg.fonttype": "none", "font.size": 10, "axes.spines.top": False})
    charts = []
    faults = [one for one in events if one.kind == "fault"]
    for dest in dests:
        found = RunMetrics(events, dest)
        step, begin = 0.25, -schedule.settle_s
        times = [
            begin + index * step for index in range(round((schedule.seconds + schedule.settle_s) / step))
        ]
        figure, axes = plot.subplots(figsize=(11, 3.2))
        rate = {
            name: [found.count(of, at, at + step) / step for at in times]
            for name, of in (("served", found.served_times), ("refused", found.refused_times))
        }
        axes.stackplot(times, rate["served"], rate["refused"], labels=["served", "refused"],
                       colors=["#74c476", "#fb6a4a"], step="post")  # fmt: skip
        axes.plot(
            times,
            [found.capacity_between(at, at + step) / step for at in times],
            color="#1c1c1c",
            label="borne",
        )
        offered = [found.count(found.offer_times, at, at + 1) for at in times]
        axes.plot(times, offered, color="#2171b5", lw=0.8, ls=":", label="offered")
        for one in faults:
            axes.axvline(one.at, color="#999", lw=0.7, ls="--")
        axes.set(xlabel="s", ylabel="calls/s", xlim=(begin, schedule.seconds))
        axes.legend(loc="upper right", frameon=False, ncols=4)
        charts.append((f"Partner {dest}: calls against what it bore", _svg(figure)))
        plot.close(figure)
    charts.append(("Phases of each sender", _phases(plot, schedule, events)))
    return charts


def _phases(plot: Any, schedule: Schedule, events: Sequence[Event]) -> str:
    by_member = phases(events)
    figure, axes = plot.subplots(figsize=(11, 0.5 + 0.25 * schedule.fleet.members))
    for row, name in enumerate(reversed(schedule.names)):
        spans = [*by_member.get(name, []), (schedule.seconds, "end")]
        for (begin, phase), (end, _) in pairwise(spans):
            colour = _COLOURS.get(phase, "#c7c7c7")
            axes.barh(row, max(0.0, end - begin), left=begin, color=colour, height=0.8)
    axes.set_yticks(range(schedule.fleet.members), list(reversed(schedule.names)))
    axes.set(xlabel="s", xlim=(-schedule.settle_s, schedule.seconds))
    handles = [plot.Rectangle((0, 0), 1, 1, color=_COLOURS[name]) for name in list(_COLOURS)[:-1]]
    axes.legend(handles, list(_COLOURS)[:-1], loc="upper center", ncols=5, frameon=False,
                bbox_to_anchor=(0.5, 1.0 + 0.3 / (0.5 + 0.25 * schedule.fleet.members)))  # fmt: skip
    text = _svg(figure)
    plot.close(figure)
    return text


def _whom(event: Event) -> str:
    f = event.fields
    if "who" in f:
        back = f", back after {f['back_s']:g} s" if f.get("back_s", -1) >= 0 else ""
        return f"{', '.join(f['who'])}{back}, folders {', '.join(f['folder'])}"
    if f["do"] == "link":
        return " to ".join(f["between"])
    return f"partner {f['dest']}" if f["dest"] else ""


def write_page(
    path: Path, schedule: Schedule, events: Sequence[Event], judged: Judgement, figures: Mapping[str, Any]
) -> None:
    """Write the page of a run; `figures` are those of `metrics.summary`."""
    from jinja2 import Environment

    shown = [
        ("served in 5 s", f"{figures['served_share_5s']:.0%}", "of its capacity"),
        ("refused in 5 s", f"{figures['refused_share']:.0%}", "of the calls"),
        ("worst 100 ms", figures["peak_over_bearing_100ms"], "times the capacity"),
        ("delivered", f"{figures['delivered']} of {figures['taken']}", "accepted"),
        ("latency p50 / p99", f"{figures['latency_s']['p50']:.2f} / {figures['latency_s']['p99']:.2f}", "s"),
        ("lost, doubled, stale", f"{figures['lost']}, {figures['doubled']}, {figures['stale_sends']}", ""),
    ]
    page = Environment(autoescape=True).from_string(_PAGE)
    dests = [partner.dest for partner in schedule.partners][:6]
    path.write_text(
        page.render(
            schedule=schedule, judged=judged, figures=figures, answer=answer(figures, judged), shown=shown,
            charts=_charts(schedule, events, dests), faults=[one for one in events if one.kind == "fault"],
            seconds=RunMetrics(events).by_second(), whom=_whom,
        )
    )  # fmt: skip
