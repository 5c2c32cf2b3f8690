"""Memory use of an object with everything that it refers to, of processes, and of the machine, in bytes."""

from __future__ import annotations

import gc
import os
import sys
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from pathlib import Path
from types import BuiltinFunctionType, CodeType, FrameType, FunctionType, MethodType, ModuleType
from typing import Any

_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_SHARED_TYPES = (
    type, ModuleType, FunctionType, BuiltinFunctionType, MethodType, CodeType, FrameType, Enum,
)  # fmt: skip


def deep_size(roots: Iterable[object], shared: Iterable[object] = ()) -> int:
    """The size of these objects and all that they refer to, except code, types and all `shared` reaches."""
    seen = _reachable(shared)
    return sum(sys.getsizeof(one) for one in _walk(roots, seen))


def _reachable(roots: Iterable[object]) -> set[int]:
    seen: set[int] = set()
    for _ in _walk(roots, seen):
        pass
    return seen


def _walk(roots: Iterable[object], seen: set[int]) -> Iterable[Any]:
    stack: list[object] = list(roots)
    while stack:
        one = stack.pop()
        if id(one) in seen or isinstance(one, _SHARED_TYPES):
            continue
        seen.add(id(one))
        yield one
        stack.extend(gc.get_referents(one))


def resident_bytes(pid: int) -> int:
    """Resident memory of a process; 0 if it has ended."""
    try:
        return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * _PAGE_BYTES
    except (OSError, IndexError):
        return 0


@dataclass(frozen=True, slots=True)
class MachineMemory:
    """Memory of the machine."""

    total: int
    available: int  # to processes, without swapping

    @property
    def used_share(self) -> float:
        """The share of the memory that is in use, by any process."""
        return 1 - self.available / self.total


def machine_memory(text: str | None = None) -> MachineMemory:
    """The machine's memory from `/proc/meminfo`, or from a text of the same format."""
    lines = (Path("/proc/meminfo").read_text() if text is None else text).splitlines()
    kilobytes = {name: int(value.split()[0]) for name, _, value in (line.partition(":") for line in lines)}
    return MachineMemory(kilobytes["MemTotal"] * 1024, kilobytes["MemAvailable"] * 1024)
