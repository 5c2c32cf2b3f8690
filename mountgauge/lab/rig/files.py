"""Renders the configuration of a member: an operator's file, or the platform's configuration."""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping
from typing import Any

from mountgauge.lab.rig.processes import GOSSIP, RESP, STATUS
from mountgauge.lab.rig.proxies import Address
from mountgauge.lab.rig.schedule import Schedule

KEY = "the rig's own gossip key"
_KIND = "member-dispatch"


def operator_file(
    schedule: Schedule,
    name: str,
    host: str,
    hops: Iterable[tuple[str, int, Address, str]],
    peers: Iterable[Address],
    notices: Address,
    members: Iterable[tuple[str, Address]] = (),
) -> str:
    """`hops`: id, destination, address, state; `members`: names and addresses; both as this member needs."""
    fleet = schedule.fleet
    rates = {partner.dest: partner.advertised_rate for partner in schedule.partners}
    text = [
        f'name = "{name}"',
        'state = "state"',
        "[resp]",
        f'listen = "{host}:{RESP}"',
        f'notices = "{notices[0]}:{notices[1]}"',
        "[status]",
        f'listen = "{host}:{STATUS}"',
        "[limits]",
        f"disk_mb = {fleet.disk_mb}",
        "[rules]",
        f"senders = {fleet.sender_count}",
        f"slots = {fleet.slots}",
        f"max_open = {fleet.max_open}",
        f"cold = {fleet.cold_s}",
    ]
    if fleet.gossip:
        listed = ", ".join(f'"{one}:{port}"' for one, port in peers)
        text += [
            "[fleet]",
            'name = "rig"',
            f'listen = "{host}:{GOSSIP}"',
            f"peers = [{listed}]",
            f'keys = ["{KEY}"]',
            f"interval = {fleet.gossip_interval_s}",
        ]
    if schedule.budgets or any(one.strict for one in schedule.tenants):
        for number, (member, (at, port)) in enumerate(members):
            text += ["[[member]]", f'name = "{member}"', f'at = "{at}:{port}"']
            if fleet.voters and number >= fleet.voters:
                text.append("voter = false")
    for budget in schedule.budgets:
        text += [
            "[[budget]]", f'name = "{budget.name}"', f'kind = "{budget.kind}"', f"whole = {budget.whole}",
            f"of = {{ dest = {budget.dest} }}", f"reserve = {budget.reserve}", f"lease = {budget.lease_s}",
        ]  # fmt: skip
        if budget.kind == "rate":
            text.append(f"burst = {budget.burst or budget.whole}")
        elif budget.kind == "concurrent":
            text.append(f"ends_within = {budget.ends_within_s}")
    for tenant in schedule.tenants:
        text += [
            "[[tenant]]",
            f'name = "{tenant.name}"',
            f"rate = {tenant.rate}",
            f"burst = {tenant.burst}",
            f"strict = {str(tenant.strict).lower()}",
            f'users = {{ {tenant.name} = "{tenant.name}" }}',
        ]
    for message_class in schedule.message_classes:
        text += [
            "[[class]]",
            f'name = "{message_class.name}"',
            f'semantics = "{message_class.semantics}"',
            f"deadline = {message_class.deadline_s}",
            f"aim = {min(message_class.aim_s, message_class.deadline_s)}",
            f"repeat_window = {message_class.repeat_window_s}",
            f"worth = {message_class.worth}",
        ]
    for hop, dest, (at, port), state in hops:
        text += [
            "[[next_hop]]",
            f'id = "{hop}"',
            f'addr = "{at}:{port}"',
            f"dest = {dest}",
            f"rate = {rates[dest]}",
            f'state = "{state}"',
        ]
    if not fleet.comeback:
        text += ["[comeback]", "enabled = false"]
    if fleet.extra:
        text.append(fleet.extra)
    return "\n".join(text) + "\n"


def platform_file(
    schedule: Schedule, name: str, host: str, discovery: Address, known: Mapping[str, Any]
) -> str:
    """The contents of the file that `GW_CONFIG` names; `known` is the list that the member starts with."""
    fleet = schedule.fleet
    message_classes = [
        {
            "name": one.name,
            "semantics": one.semantics,
            "deadline": one.deadline_s,
            "aim": one.aim_s,
            "group": "all",
            "stream": False,
            "worth": one.worth,
            "lateWorth": 0.3,
            "repeatWindow": one.repeat_window_s,
        }
        for one in schedule.message_classes
    ]
    settings = {
        "balancers": fleet.sender_count,
        "zone": 0,
        "tick": 0.005,
        "discovery": fleet.discovery,
        "weights": "nominal",
        "grades": message_classes,
        "localities": [],
        "shapes": [_KIND],
        "ceilings": {
            "attemptsCap": 8,
            "cancel": True,
            "connIdle": 5.0,
            "connectTimeout": 1.5,
            "maxOpen": fleet.max_open,
            "maxRetryAfter": 2.0,
            "mayDuplicate": False,
            "peers": False,
            "probes": False,
            "retryAfter": True,
            "streamsPerConn": 1,
        },
        "extra": {"kindBatch": [1], "losesWorth": "even", "routesApart": [False], "workers": fleet.slots},
        "obligations": {
            "answerSlack": 0.02,
            "askWithin": fleet.ask_within_s,
            "cold": fleet.cold_s,
            "drainGrace": 0.25,
            "fall": 1.5,
            "fallMultiple": 2.0,
            "startCapacity": 0.17,
        },
        "report": {"fields": [], "via": "off"},
    }
    return json.dumps(
        {
            "name": name,
            "listen": f"{host}:{RESP}",
            "discovery": f"{discovery[0]}:{discovery[1]}",
            "seed": f"{schedule.seed:x}",
            "known": known,
            "settings": settings,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": fleet.disk_mb},
        }
    )
