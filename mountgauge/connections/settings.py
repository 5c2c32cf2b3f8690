"""The section `[clients]` of an operator's file, and the defaults without it. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, replace

from mountgauge.connections.timer_wheel import INFINITE
from mountgauge.core.config import ConfigError
from mountgauge.settings_table import Table

MIN_BUFFER_BYTES = 200_000  # enough for a few commands of maximum length


@dataclass(frozen=True, slots=True)
class Times:
    """Time limits of a connection in s; INFINITE: no limit."""

    handshake: float = 2.0  # to the first complete command (RESP2) or the end of the opening (AMQP)
    half: float = 2.0  # for a command or message to be complete, from its first byte
    idle: float = 5.0  # without an open request
    unread: float = INFINITE  # with answers that the client does not read
    keepalive: int = 0  # silence after which TCP probes the peer; 0: no probes
    user_timeout: int = 0  # for sent bytes to be acknowledged; 0: the kernel's default


@dataclass(frozen=True, slots=True)
class ClientSettings:
    """The limits of both fronts; `most`, `most_resp` and so on are numbers of connections."""

    most: int
    most_resp: int
    most_amqp: int
    most_per_user: int
    displace: bool
    resp: Times
    amqp: Times
    buffers: float  # bytes of all incomplete commands, and again of all unread answers
    patience: float  # s of overload before requests are rejected


def platform_settings(most: int) -> ClientSettings:
    """The platform's times and one limit, for its only front."""
    return ClientSettings(most, most, most, 0, True, Times(), Times(), INFINITE, INFINITE)


_AMQP = Times(handshake=2.5, half=2.5, idle=INFINITE)
_OPEN = Times(handshake=5.0, half=5.0, idle=300.0, unread=10.0, keepalive=60, user_timeout=30)


def default_buffers(memory: int) -> float:
    """The bytes of all incomplete commands, and again of unread answers, for a limit on the memory."""
    return memory / 8


def default_settings(share: int, publishers: int, buffers: float = INFINITE) -> ClientSettings:
    """The settings for an operator's file without `[clients]`."""
    few = min(share, publishers)
    return ClientSettings(2 * share, share, few, 0, True, Times(), _AMQP, buffers, INFINITE)


def read_clients(table: Table, available: int, memory: int) -> ClientSettings:
    """Read and validate; `available` descriptors are left for clients, `memory` is the limit in bytes."""

    def count(key: str, default: int) -> int:
        found = int(table.get(key, int, default=default))
        if found < 1:
            raise ConfigError(f"clients.{key}: must be 1 at least")
        return found

    def seconds(key: str, default: float) -> float:
        found = table.get(key, int, float, default=default)
        if not 0.25 <= found <= 86400:
            raise ConfigError(f"clients.{key}: between 0.25 and 86400 s")
        return float(found)

    most = count("most", max(1, available))
    if most > available:
        raise ConfigError(
            f"clients.most: {most} connections, but limits.sockets leaves {max(0, available)}: "
            f"raise it by {most - available} or hold fewer"
        )
    idle_raw = table.get("idle", int, float, str, default=_OPEN.idle)
    if isinstance(idle_raw, str) and idle_raw != "forever":
        raise ConfigError('clients.idle: seconds, or "forever"')
    idle = INFINITE if isinstance(idle_raw, str) else seconds("idle", _OPEN.idle)
    seconds_by_key = {}
    for key, default in (("keepalive", _OPEN.keepalive), ("user_timeout", _OPEN.user_timeout)):
        seconds_by_key[key] = int(table.get(key, int, default=default))
        if not 0 <= seconds_by_key[key] <= 32767:
            raise ConfigError(f"clients.{key}: between 0 (off) and 32767 s")
    when_full = table.get("when_full", str, default="displace")
    if when_full not in ("displace", "refuse"):
        raise ConfigError("clients.when_full: displace or refuse")
    resp = Times(
        seconds("handshake", _OPEN.handshake),
        seconds("half", _OPEN.half),
        idle,
        seconds("unread", _OPEN.unread),
        seconds_by_key["keepalive"],
        seconds_by_key["user_timeout"],
    )
    # AMQP has heartbeats, so an idle publisher is closed only if the file sets a limit.
    amqp = replace(resp, idle=idle if "idle" in table.raw else INFINITE)
    buffers = table.positive("buffers_mb", default_buffers(memory) / 1e6) * 1e6
    if not MIN_BUFFER_BYTES <= buffers <= memory / 2:
        raise ConfigError(
            f"clients.buffers_mb: between {MIN_BUFFER_BYTES / 1e6} and half of limits.memory_mb"
        )
    per_user = int(table.get("most_per_user", int, default=0))
    if per_user < 0:
        raise ConfigError("clients.most_per_user: 0 (no bound) or above")
    found = ClientSettings(
        most, min(most, count("most_resp", most)), min(most, count("most_amqp", most)), per_user,
        when_full == "displace", resp, amqp, buffers, seconds("patience", 0.25) if "patience" in table.raw
        else 0.1,
    )  # fmt: skip
    table.reject_unknown()
    return found
