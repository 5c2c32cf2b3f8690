"""Logging in key=value form, one line per event."""

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
    """Formats a record and its `kv` pairs as one line: `ts=… level=info at=… event=… key=value`."""

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
    """Return the `extra` of a log call that adds these pairs to its line."""
    return {"kv": pairs}


class LogRateLimiter:
    """Limits the rate of log lines with a token bucket, so that a lasting fault does not fill the log."""

    def __init__(self, now: Callable[[], float], per_s: float = 20.0, burst: float = 100.0) -> None:
        self._now, self._per_s, self._burst = now, per_s, burst
        self._tokens, self._updated_at = burst, now()

    def allow(self) -> bool:
        """Whether one more line may be written; if so, it is counted."""
        now = self._now()
        self._tokens = min(self._burst, self._tokens + self._per_s * (now - self._updated_at))
        self._updated_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def set_up_logging(level: str = "INFO") -> None:
    """Configure the root logger to write one line per event to stderr."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValue())
    logging.basicConfig(level=level, handlers=[handler], force=True)
