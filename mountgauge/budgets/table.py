"""What `mountgauge budgets` shows: the parts that many members hold, from what each one says."""

from __future__ import annotations

from mountgauge.status_table import Answers, StatusTable, align_columns

_COLUMNS = (
    "BUDGET", "MEMBER", "KIND", "WHOLE", "PART", "RESERVE", "LEASED", "LASTS S", "WANTS", "WAITING",
    "REFUSED", "EPOCH",
)  # fmt: skip


def rows(answers: Answers) -> list[list[str]]:
    """A line for each budget and member, and one with the sum for each budget."""
    found: list[list[str]] = []
    names = sorted({name for said in answers.values() if said is not None for name in said["budgets"]})
    for name in names:
        parts: list[float] = []
        wholes: set[float] = set()
        for address, said in sorted(answers.items()):
            one = None if said is None else said["budgets"].get(name)
            if said is None or one is None:
                found.append([name, address, "-", *["-"] * 9])
                continue
            parts.append(one["part"])
            wholes.add(one["whole"])
            lasts = "-" if one["lasts_s"] is None else f"{one['lasts_s']:.1f}"
            numbers = [f"{one[key]:g}" for key in ("whole", "part", "reserve", "leased")]
            found.append([
                name, said["name"], one["kind"], *numbers, lasts, f"{one['demand']:g}",
                str(one.get("waiting", 0)), str(one.get("refused", 0)),
                f"{said['epoch']}/{said['file_epoch']}",
            ])  # fmt: skip
        whole = f"{min(wholes):g}" + ("!" if len(wholes) > 1 else "") if wholes else "-"
        found.append([name, "all that answer", "", whole, f"{sum(parts):g}", *[""] * 7])
    return found


def lines(answers: Answers) -> list[str]:
    """The table as text."""
    return align_columns(_COLUMNS, rows(answers))


def sound(answers: Answers) -> bool:
    """Whether all answer, nobody is refused, and the parts of no budget sum to more than its whole."""
    for said in answers.values():
        if said is None or said["refused_by"]:
            return False
    names = {name for said in answers.values() if said is not None for name in said["budgets"]}
    for name in names:
        said_of = [said["budgets"].get(name) for said in answers.values() if said is not None]
        ones = [one for one in said_of if one is not None]
        if sum(one["part"] for one in ones) > max(one["whole"] for one in ones) + 1e-3:
            return False
    return True


# The answers are of moments that differ by the way there: parts that move meanwhile may be counted twice by
# a reader, though never by the members.
BUDGETS = StatusTable("/budgets", "sound", "members", sound, lines)
