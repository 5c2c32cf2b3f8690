"""Real shortages of descriptors in the process of the tests, in which rigs run in a background thread."""

from __future__ import annotations

import contextlib
import os
import resource
import threading
from collections.abc import Iterator

# Held while all descriptors are used up, and by background threads while they open any.
DESCRIPTOR_LOCK = threading.RLock()


@contextlib.contextmanager
def no_descriptors_left() -> Iterator[None]:
    """Lower the process's limit to the descriptors in use, and use up the gaps between them."""
    with DESCRIPTOR_LOCK:
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        fill: list[int] = []
        top = max(int(fd) for fd in os.listdir("/proc/self/fd"))
        resource.setrlimit(resource.RLIMIT_NOFILE, (top + 1, hard))
        try:
            with contextlib.suppress(OSError):
                while True:
                    fill.append(os.open(os.devnull, os.O_RDONLY))
            yield
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
            for fd in fill:
                os.close(fd)
