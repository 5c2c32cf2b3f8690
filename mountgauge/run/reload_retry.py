"""Retries a reload whose file could not be read because of a transient error of the system.

The settings in the file are due from the signal on, so a transient error must not cancel the reload.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from mountgauge.core.config import ConfigError, FileUnreadableError
from mountgauge.log import kv

RETRY_INTERVAL_S = 0.1


class ReloadRetry:
    """Schedules the retries of one process's reload."""

    def __init__(self, reload: Callable[[], None], kept: str, log: logging.Logger) -> None:
        """`kept`: what stays in effect meanwhile, for the log."""
        self._reload, self._kept, self._log = reload, kept, log
        self._timer: asyncio.TimerHandle | None = None

    def failed(self, error: ConfigError) -> None:
        """Handle a failed reload: schedule a retry if the error may be transient, else only log it."""
        again = isinstance(error, FileUnreadableError) and error.temporary
        if again and self._timer is not None:
            return  # logged, and a retry is scheduled
        self._log.error("reload-failed", extra=kv(error=error, kept=self._kept, again=again))
        if again:
            self._timer = asyncio.get_running_loop().call_later(RETRY_INTERVAL_S, self._retry)

    def _retry(self) -> None:
        self._timer = None
        self._reload()

    def cancel(self) -> None:
        """Cancel a scheduled retry."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
