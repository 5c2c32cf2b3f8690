"""Rule `drain` in virtual time: no first byte is sent later than a change counts as notified plus the grace.

Hypothesis draws the schedules, the same ones in each run; `reference` computes when each change counts.
"""

from __future__ import annotations

from hypothesis import HealthCheck, given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from mountgauge.platform.watch_bounds import PROBE_S
from tests.platform.reference import (
    Change,
    CorruptAnswer,
    Event,
    Loss,
    Move,
    Outage,
    OutageKind,
    Pause,
    Reference,
    Reload,
    Schedule,
    State,
)
from tests.platform.simulation import HOPS, Run, play

ASK_WITHIN_S = (0.5, 1.0, 2.0, 4.0, 10.0, 60.0)
EXAMPLES = 400
FIRST_ANSWER_S = 0.05  # of a new process, unless a fault delays it
RECOVERED_S = 8.0  # after a fault, or for each call that a fault has lost


def late_bytes(schedule: Schedule, run: Run) -> list[str]:
    """Return a line for each endpoint that got a first byte after the grace, with its delay."""
    found = []
    for hop, due, active_again_at in Reference(schedule, run.record).drains():
        late = [at for at in run.sent.at.get(hop, ()) if due < at < active_again_at]
        if late:
            found.append(f"{hop}: until {max(late) - due:.3f} s after {due:.3f}, the end of the grace")
    return found


def held_back_in_good_times(schedule: Schedule, run: Run) -> list[float]:
    """When calls to `STAYS` were held back although there had been no fault for `RECOVERED_S`."""
    disturbed = [(0.0, FIRST_ANSWER_S)]
    for event in schedule.events:
        if isinstance(event, Outage):
            disturbed.append((event.at, event.until + event.delay_s + RECOVERED_S))
        elif isinstance(event, Pause):
            disturbed.append((event.at, event.until + RECOVERED_S))
        elif isinstance(event, Loss):
            disturbed.append((event.at, event.at + (2 * event.calls + 1) * RECOVERED_S))
        elif not isinstance(event, Change):
            disturbed.append((event.at, event.at + RECOVERED_S))
    return [at for at in run.sent.refused if not any(begin <= at < end for begin, end in disturbed)]


def least_ask_within_s(schedule: Schedule) -> float:
    """The smallest `askWithin` of the schedule."""
    reloads = [event.ask_within_s for event in schedule.events if isinstance(event, Reload)]
    return min([schedule.ask_within_s, *reloads])


def known_s(schedule: Schedule) -> float:
    """The time within which a change must be known after discovery can be reached."""
    return min(6.0, 4 * least_ask_within_s(schedule))


def most_calls(schedule: Schedule, run: Run) -> float:
    """The number of calls to discovery that a sender may make: see docs/drains.md."""
    ask = least_ask_within_s(schedule)
    wait_s = 2.0 if schedule.pushed else min(60.0, ask, 2 / 3 * known_s(schedule))
    watches = schedule.end / wait_s + 2 * len(schedule.events)
    faults_drawn = 1 + len([e for e in schedule.events if not isinstance(e, Change)])
    unanswered = 6 * schedule.end / known_s(schedule) + 5 * faults_drawn
    pause_s = 0.08 if schedule.pushed else 0.3
    immediate = sum(o.until - o.at for o in schedule.outages if o.kind is OutageKind.IMMEDIATE) * 2 / pause_s
    moves = len(schedule.moves) * 4.0 / 0.1
    return 1 + watches + unanswered + immediate + moves


@st.composite
def faults(draw: st.DrawFn, at: float, slowest_s: float) -> list[Event]:
    """A fault at this time, or none."""
    kind = draw(
        st.sampled_from(
            ["none", *OutageKind, "loss", "losses", "spoil", "move", "moved", "reload", "pause", "paused"]
        )
    )
    if isinstance(kind, OutageKind):
        lasts = draw(st.sampled_from((0.3, 1.0, 2.5, 8.0, 20.0)))
        slow = slowest_s * draw(st.sampled_from((0.3, 1.0, 2.2, 15.0))) if kind is OutageKind.SLOW else 0.0
        return [Outage(at, at + lasts, kind, slow)]
    match kind:
        case "loss":
            return [Loss(at)]
        case "losses":
            return [Loss(at, draw(st.sampled_from((2, 4, 8))))]
        case "spoil":
            return [CorruptAnswer(at)]
        case "move":
            return [Move(at)]
        case "moved":
            outage = draw(st.sampled_from([OutageKind.REFUSING, OutageKind.SILENT, OutageKind.SLOW]))
            lasts = draw(st.sampled_from((0.5, 2.0, 3.4)))
            slow = slowest_s if outage is OutageKind.SLOW else 0.0
            return [Move(at), Outage(at + 0.001, at + lasts, outage, slow)]
        case "pause":
            return [Pause(at, draw(st.sampled_from((0.2, 0.5, 1.2))))]
        case "paused":  # and the call after it is lost
            return [Pause(at, 0.6), Loss(at + 0.3)]
        case "reload":
            return [Reload(at, draw(st.sampled_from(ASK_WITHIN_S)))]
    return []


@st.composite
def schedules(draw: st.DrawFn) -> Schedule:
    """A sender, its settings, and up to seven faults with changes between them."""
    ask_within_s = draw(st.sampled_from(ASK_WITHIN_S))
    at, events = draw(st.sampled_from((0.0, 0.5))), list[Event]()
    gaps = st.sampled_from((0.01, 0.05, 0.3, 0.7, 1.3, 3.0, 6.0))
    for _ in range(draw(st.integers(1, 7))):
        at += draw(gaps)
        drawn = draw(faults(at, 0.45))
        events += drawn
        at = max([at, *(e.until for e in drawn if isinstance(e, Outage))])
        at_change = draw(st.floats(0.0, 1.0))
        begin = drawn[0].at if drawn else at
        hop, state = draw(st.sampled_from(HOPS)), draw(st.sampled_from(State))
        events.append(Change(begin + 0.002 + at_change * (at - begin + 0.5), hop, state))
    events.sort(key=lambda event: event.at)
    return Schedule(
        balancers=draw(st.sampled_from((1, 3, 6, 12, 30, 40))),
        ask_within_s=ask_within_s,
        pushed=draw(st.booleans()),
        hold_up_s=draw(st.sampled_from((0.0, 0.15))),
        connect_s=draw(st.sampled_from((0.0, 0.4))),
        seed=draw(st.integers(0, 99)),
        events=tuple(events),
    )


@hypothesis_settings(
    max_examples=EXAMPLES,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
)
@given(schedules())
def test_no_first_byte_leaves_after_the_grace(schedule: Schedule) -> None:
    run = play(schedule)
    assert not late_bytes(schedule, run)
    assert not held_back_in_good_times(schedule, run), "calls wait for evidence though nothing keeps it away"
    asked = [call for call in run.record.calls if call.connects]
    assert len(asked) <= most_calls(schedule, run)
    probes = len(run.record.calls) - len(asked)
    assert probes <= schedule.end / min(PROBE_S, known_s(schedule) / 5) + len(schedule.events)
