"""The transport map of an operator's file, read again whenever the file changes."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from collections.abc import Callable, Mapping
from typing import Any

from mountgauge.core.config import ConfigError, FileUnreadableError
from mountgauge.core.list_lease import LeaseEnd, LeaseTerms, ListLease
from mountgauge.lease_log import LeaseLog
from mountgauge.log import kv
from mountgauge.operator_file import Hops, OperatorFile, load_hops
from mountgauge.platform.discovery import MapOwner

log = logging.getLogger("mountgauge.file_map")

CHECK_INTERVAL_S = 0.05  # a drain must be applied within 250 ms of its notification


_NO_FILE = (0, 0, 0)


class FileMap:
    """The transport map in an operator's file, which is checked for changes at intervals."""

    def __init__(self, owner: MapOwner, operator: OperatorFile, learn: Callable[[Hops], None]) -> None:
        """`learn` receives the next hops of each new version before `owner` does."""
        self._owner, self._path, self._learn = owner, operator.path, learn
        self._last = operator.hops
        self._stamp = _NO_FILE  # unknown: the file may have changed since `operator` was loaded
        self._version = operator.config.known.version
        self._timer: asyncio.TimerHandle | None = None
        # The file's content counts as notified from the first check at which it could be read.
        self._lease = ListLease(LeaseTerms(CHECK_INTERVAL_S, operator.config.rules.drain_grace))
        self._lease_log = LeaseLog()
        self._calls_held_back = False  # since the lease ended; on its renewal they are released
        self.on_lease_renewed: Callable[[], None] = lambda: None  # called when calls may be sent again

    @property
    def counts(self) -> Counter[tuple[str, str]]:
        """The causes that ended the lease on the file."""
        return self._lease_log.counts

    def state(self) -> Mapping[str, Any]:
        """Return the fields of the state line: whether the list may be used, and the age of its evidence."""
        return self._lease_log.state(self._now() - self._lease.evidence_at)

    def lease_end_reason(self, dest: int) -> LeaseEnd | None:
        """Return why the list may not be used, or None if it may. A check that is late is made first."""
        if self._lease.end_reason(self._now()) is not None:
            self._read_if_changed()
        end_reason = self._lease.end_reason(self._now())
        self._lease_log.record(end_reason, self._now() - self._lease.evidence_at)
        self._calls_held_back = self._calls_held_back or end_reason is not None
        return end_reason

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()

    def watch(self, on: bool) -> None:
        """Start or stop the checks at intervals."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if on:
            self._check_at_intervals()

    def snapshot(self) -> None:
        """Read the file whether or not it has changed."""
        checked_at = self._now()
        if self._read():
            self._lease.confirm(checked_at)

    def close(self) -> None:
        """Stop the checks."""
        self.watch(False)

    def refresh_now(self) -> bool:
        """Check the file; the result is never pending."""
        self._check()
        return True

    def _check_at_intervals(self) -> None:
        # Scheduled first, so that an error in this check does not end the series.
        self._timer = asyncio.get_running_loop().call_later(CHECK_INTERVAL_S, self._check_at_intervals)
        self._check()

    def _check(self) -> None:
        self._read_if_changed()
        if self._calls_held_back and self._lease.end_reason(self._now()) is None:
            self._calls_held_back = False
            self.on_lease_renewed()

    def _read_if_changed(self) -> None:
        """Read the file if it has changed. Only a check without an error of the system is evidence. While the
        file is replaced, or after it was removed, the last list remains in effect.
        """
        checked_at = self._now()
        try:
            status = self._path.stat()
            stamp = (status.st_mtime_ns, status.st_size, status.st_ino)
        except FileNotFoundError:
            stamp = _NO_FILE
        except OSError as error:
            log.warning("file-not-read", extra=kv(error=error, again=True))
            return
        if stamp in (self._stamp, _NO_FILE):
            self._lease.confirm(checked_at)
            return
        self._stamp = stamp
        if self._read():
            self._lease.confirm(checked_at)

    def _read(self) -> bool:
        """Read the file and apply its list; return False if it could not be read for now. A file that is
        partly written or invalid changes nothing: the last list remains in effect.
        """
        try:
            hops = load_hops(self._path, self._version + 1)
        except ConfigError as error:
            again = isinstance(error, FileUnreadableError) and error.temporary
            log.warning("file-not-read", extra=kv(error=error, again=again))
            if again:
                self._stamp = _NO_FILE  # read it again at the next check
            return not again
        if (hops.update.hops, hops.protocols, hops.accounts) == (
            self._last.update.hops,
            self._last.protocols,
            self._last.accounts,
        ):
            return True
        self._version += 1
        self._last = hops
        self._learn(hops)
        log.info("map", extra=kv(version=self._version, hops=len(hops.update.hops)))
        self._owner.list_changed(hops.update)
        return True
