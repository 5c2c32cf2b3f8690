"""The transport map of an operator's file: looked at again whenever the file changes."""

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

LOOK_S = 0.05  # between looks: a drain must be heeded 250 ms after it was told


_NO_FILE = (0, 0, 0)


class FileMap:
    """The transport map that an operator's file holds; the file is looked at now and then."""

    def __init__(self, owner: MapOwner, operator: OperatorFile, learn: Callable[[Hops], None]) -> None:
        self._owner, self._path, self._learn = owner, operator.path, learn
        self._last = operator.hops
        self._stamp = _NO_FILE  # what was loaded may be an older one
        self._version = operator.config.known.version
        self._timer: asyncio.TimerHandle | None = None
        # What the file says counts from the look at which it could be read.
        self._lease = ListLease(LeaseTerms(LOOK_S, operator.config.rules.drain_grace))
        self._lease_log = LeaseLog()
        self._held_back = False  # calls have been, and are to be let go
        self.on_lease_renewed: Callable[[], None] = lambda: None  # told that calls may go again

    @property
    def counts(self) -> Counter[tuple[str, str]]:
        """What ended the lease on the file."""
        return self._lease_log.counts

    def state(self) -> Mapping[str, Any]:
        """For the state line: whether calls may go by the file, and how old the newest look is."""
        return self._lease_log.state(self._now() - self._lease.evidence_at)

    def lease_ended(self, dest: int) -> LeaseEnd | None:
        """Why calls may not go by what is known of the file: a look that is late is made up for at once."""
        if self._lease.ended(self._now()) is not None:
            self._look()
        ended = self._lease.ended(self._now())
        self._lease_log.record(ended, self._now() - self._lease.evidence_at)
        self._held_back = self._held_back or ended is not None
        return ended

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()

    def watch(self, on: bool) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if on:
            self._again()

    def snapshot(self) -> None:
        looked_at = self._now()
        if self._read():
            self._lease.confirm(looked_at)

    def close(self) -> None:
        self.watch(False)

    def refresh_now(self) -> bool:
        """The file as it is at this moment; it needs no waiting."""
        self._check()
        return True

    def _again(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(LOOK_S, self._again)  # whatever this look brings
        self._check()

    def _check(self) -> None:
        self._look()
        if self._held_back and self._lease.ended(self._now()) is None:
            self._held_back = False
            self.on_lease_renewed()

    def _look(self) -> None:
        """Read the file if it has changed. Only a look that the system lets through is evidence; between two
        versions of the file, or where it has gone, the last list holds.
        """
        looked_at = self._now()
        try:
            found = self._path.stat()
            stamp = (found.st_mtime_ns, found.st_size, found.st_ino)
        except FileNotFoundError:
            stamp = _NO_FILE
        except OSError as error:
            log.warning("file-not-read", extra=kv(error=error, again=True))
            return
        if stamp in (self._stamp, _NO_FILE):
            self._lease.confirm(looked_at)
            return
        self._stamp = stamp
        if self._read():
            self._lease.confirm(looked_at)

    def _read(self) -> bool:
        """Whether the file could be read: one that is half-written or wrong says nothing, and the last list
        holds.
        """
        try:
            hops = load_hops(self._path, self._version + 1)
        except ConfigError as error:
            again = isinstance(error, FileUnreadableError) and error.passing
            log.warning("file-not-read", extra=kv(error=error, again=again))
            if again:
                self._stamp = _NO_FILE  # at the next look
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
