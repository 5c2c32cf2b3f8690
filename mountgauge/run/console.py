"""The operators' console as a subsystem of a sender."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from mountgauge.clients import Clients
from mountgauge.connections.registry import Registry
from mountgauge.console.listener import Console
from mountgauge.console.service import Service
from mountgauge.core.config import Config
from mountgauge.core.sender import Sender
from mountgauge.run.subsystem import Subsystem


class ConsoleSubsystem(Subsystem):
    """Starts and stops the operators' console."""

    name = "console"

    def __init__(
        self,
        sender: Sender,
        front: Clients | None,
        registry: Registry,
        config: Config,
        accepting: Callable[[], bool],
    ) -> None:
        assert config.console is not None
        self.address = config.console
        self.service = Service(sender, front, registry, config.state, accepting)
        self.console = Console(self.service.execute)

    async def start(self) -> None:
        """Exclude the endpoints that operators took out, before the core sends a previous run's messages."""
        self.service.reload_detached()

    async def serve(self) -> None:
        await self.console.listen(self.address)

    def reload(self, file: Any) -> list[str]:
        return []  # the runtime compares the console's address itself

    def stop(self) -> None:
        self.console.close()
