"""`[clients]` of an operator's file, and what holds without it. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, replace

from mountgauge.connections.timer_wheel import FAR
from mountgauge.core.config import ConfigError
from mountgauge.settings_table import Table

LEAST_BUFFERS = 200_000  # bytes: a few of the longest commands


@dataclass(frozen=True, slots=True)
class Times:
    """Limits in s on what a connection may leave undone; FAR: none."""

    handshake: float = 2.0  # until the first whole command (RESP2), until the opening is done (AMQP)
    half: float = 2.0  # for a whole command or message, from its first byte on
    idle: float = 5.0  # with nothing asked
    unread: float = FAR  # with answers that it does not read
    keepalive: int = 0  # silence after which TCP asks whether the peer is there; 0: never
    user_timeout: int = 0  # for bytes that were sent and not acknowledged; 0: the kernel's own


@dataclass(frozen=True, slots=True)
class ClientSettings:
    """What both fronts are held to; `most` counts connections."""

    most: int
    most_resp: int
    most_amqp: int
    most_per_user: int
    displace: bool
    resp: Times
    amqp: Times
    buffers: float  # bytes of all half commands, and as many of all unread answers
    patience: float  # s for which more may wait to be heard than can be, before some are turned away


def platform_settings(most: int) -> ClientSettings:
    """One front, one bound: the platform's times."""
    return ClientSettings(most, most, most, 0, True, Times(), Times(), FAR, FAR)


_AMQP = Times(handshake=2.5, half=2.5, idle=FAR)
_OPEN = Times(handshake=5.0, half=5.0, idle=300.0, unread=10.0, keepalive=60, user_timeout=30)


def default_settings(share: int, publishers: int) -> ClientSettings:
    """An operator's file without `[clients]`."""
    few = min(share, publishers)
    return ClientSettings(2 * share, share, few, 0, True, Times(), _AMQP, FAR, FAR)


def read_clients(table: Table, room: int, memory: int) -> ClientSettings:
    """Checked; `room` is how many descriptors are left for clients, `memory` the bound in bytes."""

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

    most = count("most", max(1, room))
    if most > room:
        raise ConfigError(
            f"clients.most: {most} connections, but limits.sockets leaves {max(0, room)}: "
            f"raise it by {most - room} or hold fewer"
        )
    idle_raw = table.get("idle", int, float, str, default=_OPEN.idle)
    if isinstance(idle_raw, str) and idle_raw != "forever":
        raise ConfigError('clients.idle: seconds, or "forever"')
    idle = FAR if isinstance(idle_raw, str) else seconds("idle", _OPEN.idle)
    whole = {}
    for key, default in (("keepalive", _OPEN.keepalive), ("user_timeout", _OPEN.user_timeout)):
        whole[key] = int(table.get(key, int, default=default))
        if not 0 <= whole[key] <= 32767:
            raise ConfigError(f"clients.{key}: between 0 (off) and 32767 s")
    when_full = table.get("when_full", str, default="displace")
    if when_full not in ("displace", "refuse"):
        raise ConfigError("clients.when_full: displace or refuse")
    resp = Times(
        seconds("handshake", _OPEN.handshake),
        seconds("half", _OPEN.half),
        idle,
        seconds("unread", _OPEN.unread),
        whole["keepalive"],
        whole["user_timeout"],
    )
    # AMQP has heartbeats: an idle publisher stays unless the file says how long.
    amqp = replace(resp, idle=idle if "idle" in table.raw else FAR)
    buffers = table.positive("buffers_mb", memory / 8e6) * 1e6
    if not LEAST_BUFFERS <= buffers <= memory / 2:
        raise ConfigError(f"clients.buffers_mb: between {LEAST_BUFFERS / 1e6} and half of limits.memory_mb")
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
