"""The interface of an optional subsystem of a sender.

Tenants, console, status, OTLP and others are one object each, which a section of the file enables. A disabled
subsystem is neither imported nor created.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

from mountgauge.snapshot import Metric


class Subsystem:
    """The default of each hook does nothing; a subsystem overrides those that it needs."""

    name = ""  # of its section in the file and in `status`

    async def start(self) -> None:
        """Called before the first client is accepted."""

    async def serve(self) -> None:
        """Called once clients are accepted."""

    def reload(self, file: Any) -> list[str]:
        """SIGHUP: apply what a new file may change; returns the names of settings that need a restart."""
        return []

    async def drain(self) -> None:
        """SIGTERM: called when clients are closed and calls finished, to notify other members."""

    def stop(self) -> None:
        """Release all resources."""

    def report(self) -> Mapping[str, Any]:
        """Its section in `status`; an empty one is left out."""
        return {}

    def state(self) -> Mapping[str, Any]:
        """The fields that it adds to the state line."""
        return {}

    def metrics(self) -> Sequence[Metric]:
        """The metrics that it adds to an export."""
        return ()
