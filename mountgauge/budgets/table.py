"""The table of `mountgauge budgets`: the shares of several members, from the status report of each."""

from __future__ import annotations

from mountgauge.status_table import Answers, StatusTable, align_columns

_COLUMNS = (
    "BUDGET", "MEMBER", "KIND", "WHOLE", "PART", "RESERVE", "LEASED", "LASTS S", "WANTS", "WAITING",
    "REFUSED", "EPOCH",
)  # fmt: skip


def rows(answers: Answers) -> list[list[str]]:
    """A row for each budget and member, and one with the sum for each budget."""
    table: list[list[str]] = []
    names = sorted({name for answer in answers.values() if answer is not None for name in answer["budgets"]})
    for name in names:
        shares: list[float] = []
        totals: set[float] = set()
        for address, answer in sorted(answers.items()):
            budget = None if answer is None else answer["budgets"].get(name)
            if answer is None or budget is None:
                table.append([name, address, "-", *["-"] * 9])
                continue
            shares.append(budget["part"])
            totals.add(budget["whole"])
            lasts = "-" if budget["lasts_s"] is None else f"{budget['lasts_s']:.1f}"
            numbers = [f"{budget[key]:g}" for key in ("whole", "part", "reserve", "leased")]
            table.append([
                name, answer["name"], budget["kind"], *numbers, lasts, f"{budget['demand']:g}",
                str(budget.get("waiting", 0)), str(budget.get("refused", 0)),
                f"{answer['epoch']}/{answer['file_epoch']}",
            ])  # fmt: skip
        total = f"{min(totals):g}" + ("!" if len(totals) > 1 else "") if totals else "-"
        table.append([name, "all that answer", "", total, f"{sum(shares):g}", *[""] * 7])
    return table


def lines(answers: Answers) -> list[str]:
    """The table as text."""
    return align_columns(_COLUMNS, rows(answers))


def sound(answers: Answers) -> bool:
    """Whether all members answer, none is refused, and the shares of no budget sum to more than its total."""
    for answer in answers.values():
        if answer is None or answer["refused_by"]:
            return False
    names = {name for answer in answers.values() if answer is not None for name in answer["budgets"]}
    for name in names:
        reports = [answer["budgets"].get(name) for answer in answers.values() if answer is not None]
        present = [one for one in reports if one is not None]
        if sum(one["part"] for one in present) > max(one["whole"] for one in present) + 1e-3:
            return False
    return True


# The members answer at slightly different times, so a reader may count a share that moves meanwhile twice;
# the members never do.
BUDGETS = StatusTable("/budgets", "sound", "members", sound, lines)
