"""Logging: one line an event, key=value."""

from __future__ import annotations

import logging
import sys
from collections.abc import Callable


def _value(value: object) -> str:
    text = str(value)
    if not text or any(c in ' "=\n\r' for c in text):
        return '"' + text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n") + '"'
    return text


class KeyValue(logging.Formatter):
    """`log.info("taken", extra={"kv": {...}})` becomes `ts=… level=info event=taken k=v`."""

    def format(self, record: logging.LogRecord) -> str:
        pairs: dict[str, object] = {
            "ts": f"{record.created:.3f}",
            "level": record.levelname.lower(),
            "at": record.name.removeprefix("mountgauge."),
            "event": record.getMessage(),
            **getattr(record, "kv", {}),
        }
        if record.exc_info:
            pairs["error"] = self.formatException(record.exc_info)
        return " ".join(f"{key}={_value(value)}" for key, value in pairs.items())


def kv(**pairs: object) -> dict[str, dict[str, object]]:
    """What a log record's `extra` has to be for these pairs to be in its line."""
    return {"kv": pairs}


class LogRateLimiter:
    """Bounds how many lines of a kind are written, so that a bad time does not fill the log."""

    def __init__(self, now: Callable[[], float], per_s: float = 20.0, burst: float = 100.0) -> None:
        self._now, self._per_s, self._burst = now, per_s, burst
        self._left, self._at = burst, now()

    def allow(self) -> bool:
        """Whether one more line may be written."""
        now = self._now()
        self._left = min(self._burst, self._left + self._per_s * (now - self._at))
        self._at = now
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True


def set_up_logging(level: str = "INFO") -> None:
    """Log to stderr, a line for each event."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValue())
    logging.basicConfig(level=level, handlers=[handler], force=True)
