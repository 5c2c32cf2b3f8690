"""Runs a sender in this process until it is asked to end: signals, state lines, looks at the folder."""

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
from mountgauge.run import SIGNALS, hear_no_more_signals
from mountgauge.run.base import Runtime
from mountgauge.run.handover import LOOK_EVERY

log = logging.getLogger("mountgauge.run")

_STATE_EVERY = 5.0  # s
_START_AGAIN = 0.25  # s from a start that the folder did not let through to the next
_PASSING = {errno.EIO, errno.ENOSPC, errno.EDQUOT, errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.EAGAIN}


async def _state_lines(runtime: Runtime) -> None:
    """Now and then one line of what the sender believes, to be held against what its peers see."""
    before = Counter[tuple[str, str]]()
    while True:
        await asyncio.sleep(_STATE_EVERY)
        now = runtime.snapshot()
        new: dict[str, Any] = {
            f"{kind}.{what}" if what else kind: n for (kind, what), n in sorted((now.counts - before).items())
        }
        before = now.counts
        new |= {f"violation.{rule}": count for rule, count in now.violations.items() if count}
        new |= runtime.state()
        violations = sum(now.violations.values())
        log.info("state", extra=kv(held=now.held, slots_used=now.slots_used, violations=violations, **new))


async def _looking(look: Callable[[], None]) -> None:
    """Look again and again; one look that fails is not the last."""
    while True:
        await asyncio.sleep(LOOK_EVERY)
        try:
            look()
        except OSError as error:  # at the next look, perhaps
            log.warning("folder-not-read", extra=kv(error=error))
        except Exception:
            log.exception("look-failed")


def _heed(runtime: Runtime) -> None:
    """What another process of this sender tells while this one ends: waits, and endpoints taken out. Journals
    are left to the others by now.
    """
    if runtime.journal.others:
        runtime.handover.hear()
    if runtime.service is not None:
        runtime.service.reload_detached()


async def made(make: Callable[[], Runtime], asked: asyncio.Event) -> Runtime | None:
    """The sender, put together. While its folder or its file fails, so that what it owes or is told is not
    known, it waits; None where it is asked to end meanwhile.
    """
    said = False
    while not asked.is_set():
        try:
            return make()
        except (JournalUnavailableError, FileUnreadableError) as error:
            passing = error.passing if isinstance(error, FileUnreadableError) else error.errno in _PASSING
            if not passing:
                raise
            if not said:
                log.error("start-waits", extra=kv(error=error))
            said = True
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_START_AGAIN):
                await asked.wait()
    return None


async def serve(make: Callable[[], Runtime]) -> None:
    """`make` puts the sender together, in the running loop. Signals that came before are heard now: the
    process is let go of as ever, or reads its file again, once it has begun to serve.
    """
    loop = asyncio.get_running_loop()
    asked = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, asked.set)
    if (runtime := await made(make, asked)) is None:
        hear_no_more_signals()
        return
    await runtime.start()
    loop.add_signal_handler(signal.SIGHUP, runtime.reload)  # not before there is anything to move
    signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)
    # What lives as long as the process is not walked again; the rest is small enough for short pauses.
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
    stating = loop.create_task(_state_lines(runtime))
    looking = loop.create_task(_looking(runtime.look)) if runtime.polls else None
    await asked.wait()
    stating.cancel()
    if looking is not None:
        looking.cancel()
        looking = loop.create_task(_looking(lambda: _heed(runtime)))
    log.info("stopping", extra=kv(held=len(runtime.sender.held), out=runtime.next_hops.out))
    await runtime.stop()
    if looking is not None:
        looking.cancel()
    hear_no_more_signals()
    log.info("stopped", extra=kv(left=len(runtime.journal.live), opened=runtime.next_hops.opened))
