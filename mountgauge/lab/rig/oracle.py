"""Judges the recorded traffic by the rules, without looking at the state of the program.

Each verdict names the rule, the time, the member and the message. The rules:

- `final`: an accepted message gets one outcome, a delivery or a notice, at most `OUTCOME_GRACE_S` after its
  deadline. Nothing is overdue at a member from its exit until `RECOVERY_GRACE_S` after it serves again.
- `ends`: two notices of one message do not report different outcomes, unless its member's folder was
  restored from an old copy in between.
- `two-out`: no call with a message arrives while another call with it is in flight on an open connection.
- `repeat`: an `at_most_once` message is not sent again once it may have run, a `deduplicated` one only
  within its repeat window.
- `handed-back`: an `at_most_once` message whose client was notified that a resubmission is harmless (by a
  rejection, or by the notice `deferred`) is never sent in a call that may run it, neither before nor after.
- `attempts`: a message is sent in no more calls than the settings allow.
- `wait`: a member that received a required wait sends nothing to that destination until the wait is over; a
  restart of the member ends the wait.
- `budget`: the calls at a destination stay within the rate and burst of its fleet-wide budget over any span
  of time, and the calls in flight there within its concurrency budget (with a tolerance of `slack_s`).
- `drain`: no call to an endpoint has its first byte later than `DRAIN_GRACE_S` after its draining or removal
  counts as notified to the member: by a list that was written to it, or by any clause of `notified`.

Guarantees do not cover state that a member's folder lost. Messages whose folder was lost are counted
separately (`Judgement.with_folder`), and so are repeats after the loss and repeats by a member that was given
a copy of another member's folder. Messages accepted between the injected fault and the exit of the process
are lost with the folder too. `slack_s` is the time that the links themselves may add.
"""

from __future__ import annotations

import itertools
from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from mountgauge.lab.rig.events import Event
from mountgauge.lab.rig.list_history import history
from mountgauge.lab.rig.notified import Change, Span, forbidden_spans
from mountgauge.lab.rig.schedule import BudgetSpec, Schedule, Tenant

OUTCOME_GRACE_S = 0.35  # after a message's deadline
RECOVERY_GRACE_S = 1.5  # after a member serves again
DRAIN_GRACE_S = 0.3  # after the drain counts as notified
WAIT_SLACK_S = 0.1
CLOSE_SLACK_S = 0.15  # time until the close of a connection is noticed
MAX_ATTEMPTS = 8
_NOT_EXECUTED = (429, 503)  # statuses of calls that did not run
_LOSING_FOLDERS = ("lost", "old", "cut", "foreign", "swapped")


class Violation(NamedTuple):
    """A broken rule, and the message that broke it."""

    rule: str
    at: float
    member: str
    id: str
    why: str

    def __str__(self) -> str:
        return f"{self.rule} at {self.at:.3f} s, {self.member}, message {self.id}: {self.why}"


@dataclass(slots=True)
class Call:
    """A call as the partner saw it."""

    number: int
    at: float  # when its last byte arrived
    began: float  # when its first byte arrived: the moment that counts for a drain
    member: str
    endpoint: str
    id: str
    dest: int
    ended: float | None = None
    status: int | None = None  # None: no answer
    end_unseen: bool = False  # its end could not be observed

    @property
    def may_have_run(self) -> bool:
        return self.status not in _NOT_EXECUTED


@dataclass(slots=True)
class Judgement:
    """The oracle's findings on a run."""

    violations: list[Violation] = field(default_factory=list)
    with_folder: int = 0  # messages whose folder was lost: no outcome is required
    repeats_after_loss: int = 0
    taken: int = 0
    delivered: int = 0
    ends: Counter[str] = field(default_factory=Counter)

    @property
    def rules(self) -> Counter[str]:
        """The number of violations by rule."""
        return Counter(one.rule for one in self.violations)


def slack(schedule: Schedule) -> float:
    """The delay in seconds that the schedule's links may add to what the stand-ins observe."""
    late = [f.conditions.get("delay_s", 0.0) + f.conditions.get("jitter_s", 0.0) for f in schedule.faults]
    return 2 * max(late, default=0.0)


def judge(schedule: Schedule, events: Iterable[Event], slack_s: float = 0.0) -> Judgement:
    """Judge a run. `slack_s`: delay that a busy machine may add to that of the links."""
    return _Judge(schedule, sorted(events, key=lambda one: one.at), slack_s).judge()


class _Judge:
    def __init__(self, schedule: Schedule, events: list[Event], slack_s: float) -> None:
        self.schedule, self.events = schedule, events
        self.message_classes = {one.name: one for one in schedule.message_classes}
        self.slack = slack(schedule) + slack_s
        self.found = Judgement()
        self.calls: dict[int, Call] = {}
        self.by_id: dict[str, list[Call]] = defaultdict(list)
        self.submitted: dict[str, Event] = {}
        self.taken: dict[str, Event] = {}
        self.notices: dict[str, list[Event]] = defaultdict(list)
        self.rejected: dict[str, float] = {}  # when each of these was rejected
        self.unavailable: dict[str, list[tuple[float, float]]] = defaultdict(list)  # exit until it serves
        self.losses: dict[str, list[float]] = defaultdict(list)  # when a member's folder was lost or replaced
        self._losing: set[str] = set()  # hit by a fault that loses the folder, and still running
        self._open_outages: dict[str, float] = {}
        self.end_at = events[-1].at if events else 0.0

    def judge(self) -> Judgement:
        for event in self.events:
            self._read(event)
        for name, began in list(self._open_outages.items()):
            self.unavailable[name].append((began, self.end_at + RECOVERY_GRACE_S))
        for msg_id, taken in self.taken.items():
            self._final(msg_id, taken)
        for msg_id, calls in self.by_id.items():
            self._overlaps(msg_id, calls)
            self._repeats(msg_id, calls)
            self._resubmittable(msg_id, calls)
        self._waits()
        reported_calls = self._drains()
        if self.schedule.fleet.front == "platform":
            self._unwritten_drains(reported_calls)
        for budget in self.schedule.budgets:
            self._budget(budget)
        for tenant in self.schedule.tenants:
            if tenant.strict:
                self._strict(tenant)
        self.found.violations.sort(key=lambda one: one.at)
        return self.found

    def _read(self, event: Event) -> None:
        f = event.fields
        match event.kind:
            case "handed":
                self.submitted[f["id"]] = event
            case "taken":
                self.taken[f["id"]] = event
            case "refused":
                self.rejected[f["id"]] = event.at
            case "call":
                began = f.get("began", event.at)
                call = Call(f["call"], event.at, began, f["member"], f["endpoint"], f["id"], f["dest"])
                self.calls[call.number] = call
                self.by_id[call.id].append(call)
            case "answer" if (call_ := self.calls.get(f["call"])) is not None:
                call_.ended, call_.status = event.at, f["status"]
            case "broken" if (call_ := self.calls.get(f["call"])) is not None:
                call_.ended = event.at
            case "muffled":
                for one in self.calls.values():
                    if one.ended is None and (one.member, one.endpoint) == (f["member"], f["endpoint"]):
                        one.end_unseen, one.ended = True, event.at
            case "notice":
                self.notices[f["id"]].append(event)
            case "fault" if f["do"] in ("kill", "term", "crash-loop"):
                for index, name in enumerate(f["who"]):
                    if f["folder"][index % len(f["folder"])] in _LOSING_FOLDERS:
                        self.losses[name].append(event.at)
                        self._losing.add(name)
            case "fault" if f["do"] == "empty-folder":
                for name in f["who"]:
                    self.losses[name].append(event.at)
            case "paused":
                self.unavailable[f["member"]].append((event.at, event.at + f["for_s"] + RECOVERY_GRACE_S))
            case "gone":
                self._open_outages.setdefault(f["member"], event.at)
                if f["member"] in self._losing:
                    self._losing.discard(f["member"])
                    self.losses[f["member"]].append(event.at)
            case "ready":
                if (began := self._open_outages.pop(f["member"], None)) is not None:
                    self.unavailable[f["member"]].append((began, event.at + RECOVERY_GRACE_S))

    def _excused(self, member: str, at: float) -> float:
        """Until when a message due at `at` is not overdue because the member was unavailable."""
        until = at
        for began, ended in sorted(self.unavailable[member]):
            if began - 0.01 <= until + OUTCOME_GRACE_S and ended > until:
                until = ended
        return until

    def _lost_after(self, member: str, at: float) -> bool:
        return any(when >= at for when in self.losses[member])

    def _copied(self, member: str, msg_id: str, at: float) -> bool:
        """Whether this member has the message from a copy of another member's folder."""
        taken = self.taken.get(msg_id) or self.submitted.get(msg_id)
        others = taken is not None and taken.fields["member"] != member
        return others and any(when <= at for when in self.losses[member])

    def _report(self, rule: str, at: float, member: str, msg_id: str, why: str) -> None:
        self.found.violations.append(Violation(rule, at, member, msg_id, why))

    def _final(self, msg_id: str, taken: Event) -> None:
        """Check that the message got one outcome, in time."""
        member = taken.fields["member"]
        self.found.taken += 1
        submitted = self.submitted.get(msg_id, taken)
        due = submitted.at + taken.fields["left"]
        delivered = [
            call.ended for call in self.by_id[msg_id] if call.status == 200 and call.ended is not None
        ]
        notices = self.notices[msg_id]
        ends = sorted([*delivered, *(one.at for one in notices)])
        statuses = {one.fields["status"] for one in notices}
        if len(statuses) > 1 and not self._lost_after(member, min(one.at for one in notices)):
            self._report(
                "ends", notices[-1].at, member, msg_id, f"reported as {' and as '.join(sorted(statuses))}"
            )
        if delivered:
            self.found.delivered += 1
        for status in statuses:
            self.found.ends[status] += 1
        if ends and ends[0] <= self._excused(member, due) + OUTCOME_GRACE_S + self.slack:
            return
        if self._lost_after(member, taken.at):
            self.found.with_folder += 1
        elif ends:
            self._report(
                "final", ends[0], member, msg_id, f"its end came {ends[0] - due:.3f} s after its time"
            )
        elif self._excused(member, due) + OUTCOME_GRACE_S + self.slack < self.end_at:
            self._report("final", due, member, msg_id, "no end by its time")

    def _overlaps(self, msg_id: str, calls: list[Call]) -> None:
        for first, second in itertools.pairwise(calls):
            ended = first.ended if first.ended is not None else self.end_at
            copied = any(self._copied(one.member, msg_id, one.at) for one in (first, second))
            if ended > second.at + CLOSE_SLACK_S + self.slack and not first.end_unseen and not copied:
                why = f"call {first.number} to {first.endpoint} still out as {second.number} came"
                self._report("two-out", second.at, second.member, msg_id, why)
        if len(calls) > MAX_ATTEMPTS:
            self._report("attempts", calls[-1].at, calls[-1].member, msg_id, f"{len(calls)} calls")

    def _repeats(self, msg_id: str, calls: list[Call]) -> None:
        if (submitted := self.submitted.get(msg_id)) is None:
            call = calls[0]
            self._report("unasked", call.at, call.member, msg_id, "no client submitted it")
            return
        message_class = self.message_classes[submitted.fields["grade"]]
        ran: Call | None = None
        for call in calls:
            if ran is not None:
                late = call.at - ran.at
                bad = message_class.semantics == "at_most_once" or (
                    message_class.semantics == "deduplicated"
                    and late > message_class.repeat_window_s + self.slack
                )
                copied = any(self._copied(one.member, msg_id, one.at) for one in (ran, call))
                if bad and (copied or self._lost_after(call.member, ran.at)):
                    self.found.repeats_after_loss += 1
                elif bad:
                    why = f"{message_class.semantics}, called again {late:.3f} s after call {ran.number}"
                    self._report("repeat", call.at, call.member, msg_id, why)
            if ran is None and call.may_have_run:
                ran = call

    def _resubmittable(self, msg_id: str, calls: list[Call]) -> None:
        submitted = self.submitted.get(msg_id)
        if submitted is None or self.message_classes[submitted.fields["grade"]].semantics != "at_most_once":
            return
        deferred = (one.at for one in self.notices[msg_id] if one.fields["status"] == "deferred")
        reported_at = min(deferred, default=self.rejected.get(msg_id))
        ran = next((call for call in calls if call.may_have_run), None)
        if reported_at is None or ran is None or self._lost_after(ran.member, submitted.at):
            return
        why = f"reported at {reported_at:.3f} as harmless to submit again, but call {ran.number} may have run"
        self._report("handed-back", max(reported_at, ran.at), ran.member, msg_id, why)

    def _starts(self, member: str) -> list[float]:
        return [
            event.at for event in self.events if event.kind == "start" and event.fields["member"] == member
        ]

    def _waits(self) -> None:
        waits: dict[tuple[str, int], list[tuple[float, float]]] = defaultdict(list)
        for event in self.events:
            if event.kind == "answer" and event.fields.get("wait", 0) > 0:
                began = event.at + WAIT_SLACK_S + self.slack
                waits[event.fields["member"], event.fields["dest"]].append(
                    (began, event.at + event.fields["wait"])
                )
        starts = {member: self._starts(member) for member, _ in waits}
        for call in self.calls.values():
            for began, ended in waits.get((call.member, call.dest), ()):
                if began < call.at < ended - 0.005 and not any(
                    began - WAIT_SLACK_S < at <= call.at for at in starts[call.member]
                ):
                    why = f"required to wait until {ended:.3f}"
                    self._report("wait", call.at, call.member, call.id, why)
                    break

    def _budget(self, budget: BudgetSpec) -> None:
        """Check the calls as the partner saw them; links and queues shift each by `slack` at most."""
        calls = [one for one in self.calls.values() if one.dest == budget.dest]  # in order of arrival
        if budget.kind == "rate":
            self._rate(budget.name, budget.whole, budget.burst or budget.whole,
                       [(call.at, call.member, call.id) for call in calls])  # fmt: skip
        elif budget.kind == "concurrent":
            in_flight: list[float] = []
            for call in calls:
                in_flight = [end for end in in_flight if end > call.at]
                ended = call.ended if call.ended is not None else self.end_at
                in_flight.append(ended - self.slack)
                if len(in_flight) > budget.whole:
                    why = f"{budget.name}: {len(in_flight)} calls out, {budget.whole:g} may be"
                    self._report("budget", call.at, call.member, call.id, why)

    def _rate(self, name: str, rate: float, burst: float, times: list[tuple[float, str, str]]) -> None:
        """Check that no span of time that ends at a call exceeds the rate by more than the burst."""
        level, before = 0.0, times[0][0] if times else 0.0
        for at, member, msg_id in times:
            level, before = max(0.0, level - rate * (at - before)) + 1.0, at
            if (over := level - burst - rate * self.slack) > 1e-6:
                why = f"{name}: {over:.1f} above {rate:g}/s and its burst"
                self._report("budget", at, member, msg_id, why)

    def _strict(self, tenant: Tenant) -> None:
        """Check the messages that all members together accepted for the tenant."""
        loads = {(one.dest, one.grade) for one in self.schedule.loads if one.tenant == tenant.name}
        taken = [
            (one.at, one.fields["member"], msg_id) for msg_id, one in self.taken.items()
            if (one.fields["dest"], one.fields["grade"]) in loads
        ]  # fmt: skip
        self._rate(tenant.name, tenant.rate, tenant.burst, sorted(taken))

    def _drains(self) -> set[int]:
        """Check calls against the lists written to each member; return the calls that broke the rule."""
        found: set[int] = set()
        inactive_since: dict[
            tuple[str, str], float
        ] = {}  # since when the list has an endpoint as leaving or removed
        listed: dict[str, set[str]] = defaultdict(set)
        for event in self.events:
            f = event.fields
            if event.kind == "told":
                states = f["states"]
                listed[f["member"]] |= set(states)
                for name in listed[f["member"]]:
                    state = states.get(name, "left" if f["full"] else "")
                    if state in ("leaving", "left"):
                        inactive_since.setdefault((f["member"], name), event.at)
                    elif state == "active":
                        inactive_since.pop((f["member"], name), None)
            elif event.kind == "call":
                since, began = inactive_since.get((f["member"], f["endpoint"])), f.get("began", event.at)
                if since is not None and began > since + DRAIN_GRACE_S + self.slack:
                    why = f"{f['endpoint']} was listed as draining or removed {began - since:.3f} s before"
                    self._report("drain", event.at, f["member"], f["id"], why)
                    found.add(f["call"])
        return found

    def _unwritten_drains(self, reported_calls: set[int]) -> None:
        """Check calls against all changes that count as notified, without the calls in `reported_calls`."""
        fleet = self.schedule.fleet
        lists = history(self.events, fleet.ask_within_s, fleet.pushed)
        changes = lists.changes()
        spans: dict[tuple[str, str], list[tuple[Change, Span]]] = {}
        for call in self.calls.values():
            link = (call.member, call.endpoint)
            if call.endpoint not in changes or call.number in reported_calls:
                continue
            if link not in spans:
                spans[link] = [
                    (change, span)
                    for change in changes[call.endpoint]
                    for run in lists.process_runs(call.member)
                    for span in forbidden_spans(change, run)
                ]
            for change, span in spans[link]:
                if span.begin + DRAIN_GRACE_S + self.slack < call.began < span.end:
                    why = (
                        f"{call.endpoint} left at {change.at:.3f} (version {change.version}), "
                        f"which counted as notified {call.began - span.begin:.3f} s before"
                    )
                    self._report("drain", call.at, call.member, call.id, why)
                    break
