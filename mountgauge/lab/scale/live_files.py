"""Renders the settings files of a live comparison: relays, real senders and the members file."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from mountgauge.sharding.timing import RELAY_TIMING

RESP_PORT, STATUS_PORT, RELAY_PORT = 6379, 9100, 7400


@dataclass(frozen=True, slots=True)
class LiveNode:
    """A sender or a relay, with its zone and its own loopback address."""

    name: str
    zone: str
    host: str


@dataclass(frozen=True, slots=True)
class Sharding:
    """Sharding settings, identical in all files."""

    shards: int
    replicas: int


def members_file(members: Iterable[LiveNode]) -> str:
    """The members file with all members, at epoch 1."""
    lines = ["epoch = 1"]
    for one in members:
        lines += ["[[members]]", f'name = "{one.name}"', f'zone = "{one.zone}"']
    return "\n".join(lines) + "\n"


def relay_file(node: LiveNode, sharding: Sharding, discovery: str, upper: Sequence[LiveNode]) -> str:
    """The settings of a relay that follows discovery, or `upper` relays.

    Only a relay that follows other relays has the members file.
    """
    lines = [
        f'name = "{node.name}"',
        f'zone = "{node.zone}"',
        f'listen = "{node.host}:{RELAY_PORT}"',
        f"wait_s = {RELAY_TIMING.wait_s}",
        f"silence_s = {RELAY_TIMING.silence_s}",
        f"shards = {{ count = {sharding.shards}, replicas = {sharding.replicas} }}",
        f'status = {{ listen = "{node.host}:{STATUS_PORT}" }}',
    ]
    if upper:
        lines += ['members = "members.toml"', f"upstream = {{ relay = [{_relays(upper)}] }}"]
    else:
        lines.append(f'upstream = {{ discovery = "{discovery}" }}')
    return "\n".join(lines) + "\n"


def _relays(relays: Sequence[LiveNode]) -> str:
    return ", ".join(
        f'{{ name = "{one.name}", zone = "{one.zone}", at = "{one.host}:{RELAY_PORT}" }}' for one in relays
    )


def sender_file(
    node: LiveNode, sharding: Sharding, relays: Sequence[LiveNode], senders: int, wait_s: float
) -> str:
    """The settings of a real sender, whose asks relays hold for `wait_s`."""
    lines = [
        f'name = "{node.name}"',
        f'state = "state-{node.name}"',
        f'resp = {{ listen = "{node.host}:{RESP_PORT}" }}',
        f'status = {{ listen = "{node.host}:{STATUS_PORT}" }}',
        f"rules = {{ senders = {senders} }}",
        'class = [{ name = "note", semantics = "idempotent", deadline = 60 }]',
        f'sharding.zone = "{node.zone}"',
        f"sharding.shards = {sharding.shards}",
        f"sharding.replicas = {sharding.replicas}",
        f"sharding.wait_s = {wait_s}",
        'sharding.members = "members.toml"',
        f"sharding.relay = [{_relays(relays)}]",
    ]
    return "\n".join(lines) + "\n"
