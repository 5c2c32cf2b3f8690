"""Runs a sender in this process until it is asked to stop: signals, state lines, checks of the folder."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import gc
import logging
import signal
from collections import Counter
from collections.abc import Callable
from typing import Any

from mountgauge.core.config import FileUnreadableError
from mountgauge.core.journal import JournalUnavailableError
from mountgauge.log import kv
from mountgauge.run import SIGNALS, block_signals
from mountgauge.run.base import Runtime
from mountgauge.run.handover import FOLDER_CHECK_INTERVAL_S

log = logging.getLogger("mountgauge.run")

_STATE_INTERVAL_S = 5.0
_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
_START_RETRY_S = 0.25  # between two attempts to start while the folder or the file cannot be read
_TRANSIENT_ERRNOS = {
    errno.EIO,
    errno.ENOSPC,
    errno.EDQUOT,
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOMEM,
    errno.EAGAIN,
}


async def _log_state(runtime: Runtime) -> None:
    """Log a line of the sender's state at an interval, to compare with what its peers observe."""
    before = Counter[tuple[str, str]]()
    while True:
        await asyncio.sleep(_STATE_INTERVAL_S)
        now = runtime.snapshot()
        new: dict[str, Any] = {
            f"{kind}.{what}" if what else kind: n for (kind, what), n in sorted((now.counts - before).items())
        }
        before = now.counts
        new |= {f"violation.{rule}": count for rule, count in now.violations.items() if count}
        new |= runtime.state()
        violations = sum(now.violations.values())
        log.info("state", extra=kv(held=now.pending, slots_used=now.slots_used, violations=violations, **new))


async def _check_periodically(check: Callable[[], None]) -> None:
    """Run the check at an interval; a check that fails does not end the loop."""
    while True:
        await asyncio.sleep(FOLDER_CHECK_INTERVAL_S)
        try:
            check()
        except OSError as error:  # may be transient: the next check tries again
            log.warning("folder-not-read", extra=kv(error=error))
        except Exception:
            log.exception("look-failed")


def _check_while_stopping(runtime: Runtime) -> None:
    """Apply another process's waits and excluded endpoints while this one stops. Journals are no longer
    adopted.
    """
    if runtime.journal.unadopted:
        runtime.handover.apply_shared_waits()
    if runtime.service is not None:
        runtime.service.reload_detached()


async def make_with_retries(make: Callable[[], Runtime], stop_requested: asyncio.Event) -> Runtime | None:
    """Create the sender, and retry while its folder or file fails with a transient error: until then its
    stored messages and its settings are unknown. None if a stop is requested meanwhile.
    """
    logged = False
    while not stop_requested.is_set():
        try:
            return make()
        except (JournalUnavailableError, FileUnreadableError) as error:
            transient = (
                error.temporary
                if isinstance(error, FileUnreadableError)
                else error.errno in _TRANSIENT_ERRNOS
            )
            if not transient:
                raise
            if not logged:
                log.error("start-waits", extra=kv(error=error))
            logged = True
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_START_RETRY_S):
                await stop_requested.wait()
    return None


async def serve(make: Callable[[], Runtime]) -> None:
    """Run the sender that `make` creates in the running loop.

    Signals that arrived before are handled from here on: the process stops as usual, or reads its file again
    once it serves.
    """
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    for number in _STOP_SIGNALS:
        loop.add_signal_handler(number, stop_requested.set)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, _STOP_SIGNALS)  # a start that waits can be stopped
    if (runtime := await make_with_retries(make, stop_requested)) is None:
        block_signals()
        return
    await runtime.start(stop_requested)
    loop.add_signal_handler(signal.SIGHUP, runtime.reload)  # only now is there anything to reload
    signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)
    # Objects that live as long as the process are not scanned again, which keeps later collections short.
    gc.collect()
    gc.freeze()
    gc.set_threshold(20_000, 20, 50)
    config = runtime.config
    listens = ",".join(f"{address.host}:{address.port}" for _, address in runtime.listeners)
    rules, limits = config.rules, config.limits
    ready = kv(name=config.name, listen=listens, hops=len(runtime.sender.hops), slots=rules.workers,
               max_open=rules.max_open, sockets=limits.sockets, memory=limits.memory_bytes)  # fmt: skip
    log.info("ready", extra=ready)
    runtime.warn()
    state_task = loop.create_task(_log_state(runtime))
    check_task = (
        loop.create_task(_check_periodically(runtime.check_folder)) if runtime.needs_polling else None
    )
    await stop_requested.wait()
    state_task.cancel()
    if check_task is not None:
        check_task.cancel()
        check_task = loop.create_task(_check_periodically(lambda: _check_while_stopping(runtime)))
    log.info("stopping", extra=kv(held=len(runtime.sender.pending), out=runtime.next_hops.in_flight))
    await runtime.stop()
    if check_task is not None:
        check_task.cancel()
    block_signals()
    log.info("stopped", extra=kv(left=len(runtime.journal.live), opened=runtime.next_hops.opened))
