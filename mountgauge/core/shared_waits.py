"""The file format in which two processes of one sender share required waits through the state folder.

While an old and a new process serve side by side they are one sender: a wait that an endpoint required of one
applies to the other. No I/O and no clock.

A file is a JSON object: `clock`, the writer's clock readings, and `waits`, until when each wait lasts in the
writer's time base. A file of an older version holds the waits alone, in wall time.
"""

from __future__ import annotations

import orjson

from mountgauge.core.durable_time import Stamp, rebase


def encode(waits: dict[object, float], now: Stamp) -> bytes:
    """Encode waits by the key of the limit (a destination number, or an endpoint id); their values are times
    of the monotonic clock.
    """
    shared = {
        (f"d{limit}" if isinstance(limit, int) else f"e{limit}"): now.base + until - now.monotonic
        for limit, until in waits.items()
        if until > now.monotonic
    }
    return orjson.dumps({"clock": list(now), "waits": shared})


def decode(content: bytes, now: Stamp) -> dict[object, float]:
    """Decode the waits that have not elapsed, as times of the monotonic clock; ValueError if the content has
    another form.
    """
    raw = orjson.loads(content)
    if not isinstance(raw, dict):
        raise ValueError("not an object")
    shift = 0.0
    if "clock" in raw:
        try:
            boot, wall, monotonic, base = raw["clock"]
            saved = Stamp(str(boot), float(wall), float(monotonic), float(base))
            raw = dict(raw["waits"])
        except (TypeError, KeyError) as error:
            raise ValueError(f"not a clock and waits: {error}") from None
        shift, _ = rebase(saved, saved.base, now)
    waits: dict[object, float] = {}
    for name, until in raw.items():
        if not isinstance(until, int | float) or len(name) < 2 or name[0] not in "de":
            raise ValueError(f"not a wait: {name!r}")
        left = until + shift - now.base
        if left > 0:
            waits[int(name[1:]) if name[0] == "d" else name[1:]] = now.monotonic + left
    return waits


def merge(into: dict[object, float], received: dict[object, float]) -> bool:
    """Keep the longer of two waits for the same limit; returns whether anything changed."""
    changed = False
    for limit, until in received.items():
        if until > into.get(limit, 0.0):
            into[limit], changed = until, True
    return changed
