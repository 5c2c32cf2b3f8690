"""Fleet-wide budgets as a subsystem of a sender. They use the socket and the keys of `[fleet]`."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import TYPE_CHECKING, Any

from mountgauge.budgets import wire
from mountgauge.budgets.service import Budgets
from mountgauge.budgets.settings import BudgetFile
from mountgauge.run.subsystem import Subsystem
from mountgauge.snapshot import Metric

if TYPE_CHECKING:
    from mountgauge.core.sender import Sender
    from mountgauge.tenants.service import Tenants


class BudgetsSubsystem(Subsystem):
    """Starts and stops the budgets, and reports them."""

    name = "budgets"

    def __init__(self, file: BudgetFile, sender: Sender, tenants: Tenants, name: str, folder: Any) -> None:
        assert tenants.fleet is not None
        fleet = tenants.fleet
        self.tenants = tenants
        self.budgets = Budgets(file, name, folder, lambda: fleet.seal)
        self.budgets.waiting = lambda: sender.waiting
        self.budgets.release = sender.release
        self.budgets.on_shares_changed = sender.set_budget_shares
        sender.call_gate = self.budgets
        tenants.prefix_handlers[wire.HEAD] = self.budgets.received

    async def start(self) -> None:
        assert self.tenants.udp is not None
        self.budgets.send = self.tenants.udp.send
        self.budgets.begin()

    def reload(self, file: Any) -> list[str]:
        if file.budgets is None:
            return ["budget"]
        self.budgets.reload(file.budgets)
        return []

    async def drain(self) -> None:
        await self.budgets.leave()

    def stop(self) -> None:
        self.budgets.close()

    def report(self) -> Mapping[str, Any]:
        found = self.budgets.report()
        keys = ("kind", "whole", "part", "demand", "waiting", "refused")
        parts = {name: {key: one[key] for key in keys} for name, one in found["budgets"].items()}
        return {"epoch": found["epoch"], "refused_by": found["refused_by"], "parts": parts}

    def state(self) -> Mapping[str, Any]:
        found = list(self.budgets.report()["budgets"].items())[:8]
        return {f"budget.{name}": f"{one['part']:g}/{one['whole']:g}" for name, one in found}

    def metrics(self) -> Sequence[Metric]:
        found = self.budgets.report()["budgets"]
        return [
            (f"mountgauge.budget.{key}", "1", key == "refused",
             [({"mountgauge.budget": name}, one[key]) for name, one in found.items()])
            for key in ("part", "whole", "demand", "waiting", "refused")
        ]  # fmt: skip
