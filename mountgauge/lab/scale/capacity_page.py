"""Renders docs/CAPACITY.md from kept results: `render(folder)` returns the full page as text (Jinja2)."""

from __future__ import annotations

from pathlib import Path

from mountgauge.lab.scale import capacity_tables as tables
from mountgauge.lab.scale.capacity import compute_capacity
from mountgauge.lab.scale.kept_results import KeptResults, Slopes, load_kept_results
from mountgauge.lab.scale.outage import RETURN_S
from mountgauge.lab.scale.size import FleetSize, load_size

SIZE_FILE = Path("experiments") / "scale" / "two-years.toml"
_TEMPLATE = """# Capacity at the size of two years

Written by `python -m benchmarks.capacity` from `benchmarks/results/`; not to be edited. The size stands in
`{{ size_file }}`: {{ count(size.senders) }} senders, {{ count(size.events_per_s) }} events/s,
{{ count(size.destinations) }} destinations with {{ share(size.down_share) }} of them down, backlogs of
{{ count(size.backlog_events) }} events, {{ size.regions }} regions with {{ size.zones }} zones,
{{ count(size.changes_per_day) }} changes of configuration a day, in force within
{{ short(size.in_force_s) }} s. For control a sender may spend {{ share(size.core_share) }} of a core,
{{ short(size.memory_mb) }} MB and {{ short(size.kb_per_s) }} KB/s, beside {{ size.control_machines }}
machines.

How to read it: a figure stands with its 95 % interval; where that is wider than a factor of two, or nothing
was measured, it is **unknown**, and the last list says what would tell. "Share" is of the bound; above 100 %
the bound is missed. Processor time is of one core: {{ processor }}, Python {{ python }},
{{ loads }}. "The whole list" is what a sender holds today; "its shards" is what it would hold with
{{ count(size.shards) }} shards on {{ size.places }} senders each, worked out from the same slopes.

{% if not scale -%}
**The scale run is not among the results: all that it would tell is unknown below.**
{%- else -%}
The scale run's largest size: {{ count(scale.senders) }} senders, {{ count(scale.destinations) }}
destinations.
{% if not scale.summary.get("hollow_used", true) %}
Its hollow senders were not shown to be near real ones (error: {{ scale.summary.get("hollow_error") }}):
what is said to come from it is of hollow ones alone.
{% endif %}
{% if scale.summary.get("not_run") %}
Not run: {{ scale.summary["not_run"] | join(", ") }}.
{% endif %}
{% if scale.summary.get("broken") %}
Bounds that it missed: {{ scale.summary["broken"] | join("; ") }}.
{% endif %}
{%- endif %}


## What breaks next

By the factor between the size and where the bound is reached: above 1 it is missed. "Measured" means that
the size at which it breaks lies among those that were measured; else it is read off the fitted law. "With
shards" is the factor where a sender holds its shards alone.

{{ limits }}

{% if first_before %}
With the slopes before, the order began: {{ first_before | join("; ") }}.

{% endif %}
{% if not_measured %}
Not measured: {{ not_measured | join("; ") }}.

{% endif %}
## Roles

{% for role in roles %}
### {{ role.name }}

{% if role.note %}
{{ role.note }}

{% endif %}
{{ role_table(role.rows) }}

{% endfor %}
## Failures

Arithmetic on the size; a rack is taken to have {{ size.rack_senders }} senders, and zones and regions their
mean (assumptions: no numbers were given). "Places moved" are those of senders that are taken out for
good; a restart moves none.

{{ failures }}

A zone has one of a shard's {{ size.places }} places at most, so its loss leaves {{ size.places - 1 }}; each
other zone takes {{ share(1 / (size.zones - 1)) }} more. Senders that are starting at one moment, if each
takes the {{ short(size.ready_s) }} s that it may: {{ short(starting) }} on average. How long a start takes is
in "Data"; how long a change takes to be in force meanwhile is the scale run's to tell ("Configuration
relay").

## Data

Of one sender; bodies of {{ size.body_bytes }} bytes.

{{ data }}

## Destinations that are down

{{ count(size.destinations_down) }} of them at any time. The real `rillspindle.Policy` in virtual time
(`python -m benchmarks.outage`), means over seeds; messages for one destination: {{ short(demand) }}/s of the
fleet. "Every sender" is today's way (some senders are played and counted for all), "the shard's owners" the
way with shards. The destination takes twice its demand when it is up. A trial is a call while it is down.

{% if outages -%}
{{ outages }}
{%- else -%}
Unknown: `python -m benchmarks.outage --json benchmarks/results/outage.json` would tell.
{%- endif %}


## Slopes

Exponents by the rule in `mountgauge/lab/scale/fit.py`: power, or with a constant part where that is earned.
"Before" is the program before lists cost what they change. Load is the machine's load average at the run.

{{ slopes }}

## What is unknown, and what would tell

{% for text in unknowns %}
- {{ text }}
{% endfor %}
"""


def render(results: Path, size_file: Path | None = None) -> str:
    """Render the page from the results of a folder (`benchmarks/results`) and the settings file of the size.

    Raises KeptResultsError or ConfigError, with a message of one line, for a file that cannot be read.
    Figures whose results are missing are unknown on the page.
    """
    path = size_file or results.resolve().parents[1] / SIZE_FILE
    return page(load_kept_results(results), load_size(path))


def page(kept: KeptResults, size: FleetSize) -> str:
    """Render the page from kept results."""
    from jinja2 import Environment

    capacity = compute_capacity(kept, size)
    slopes = kept.slopes
    # The output is Markdown from the project's own texts: nothing has to be escaped
    template = Environment(autoescape=False, keep_trailing_newline=True, trim_blocks=True).from_string(
        _TEMPLATE
    )
    return template.render(
        size=size,
        size_file=SIZE_FILE.as_posix(),
        scale=kept.scale,
        processor=slopes.processor if slopes is not None else "unknown",
        python=slopes.python if slopes is not None else "unknown",
        loads=_loads(slopes),
        limits=tables.limits_table(capacity.limits),
        first_before=tables.first_before(capacity.limits),
        not_measured=[one.limit.label for one in capacity.limits if not one.has_laws],
        roles=capacity.roles,
        role_table=tables.role_table,
        failures=tables.failures_table(capacity.failures),
        starting=size.restarts_per_day * size.ready_s / 86_400,
        data=tables.role_table(capacity.data),
        demand=size.events_per_s / size.destinations,
        outages=tables.outages_table(capacity.outages, RETURN_S) if capacity.outages else "",
        slopes=tables.slopes_table(slopes, kept.before, size) if slopes is not None else "Nothing measured.",
        unknowns=tables.unknowns(capacity),
        short=tables.short,
        count=tables.grouped,
        share=tables.per_cent,
    )


def _loads(slopes: Slopes | None) -> str:
    if slopes is None or not slopes.by_name:
        return "nothing measured"
    loads = [one.load_average for one in slopes.by_name.values()]
    return f"measured at load averages of {min(loads):.0f} to {max(loads):.0f}"
