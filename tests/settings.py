"""Settings for tests: the structure that a node receives at its start, with values for tests."""

from __future__ import annotations

from typing import Any


def message_class(semantics: str = "idempotent", **extra: Any) -> dict[str, Any]:
    return {
        "aim": 2.0,
        "deadline": 12.0,
        "group": "all",
        "lateWorth": 0.2,
        "name": "note",
        "repeatWindow": 7.0,
        "semantics": semantics,
        "stream": False,
        "worth": 1.0,
        **extra,
    }


def settings(**extra: Any) -> dict[str, Any]:
    env: dict[str, Any] = {
        "balancers": 2,
        "ceilings": {
            "attemptsCap": 5,
            "cancel": True,
            "connIdle": 5.0,
            "connectTimeout": 1.0,
            "maxOpen": 40,
            "maxRetryAfter": 3.0,
            "mayDuplicate": False,
            "peers": False,
            "probes": False,
            "retryAfter": True,
            "streamsPerConn": 1,
        },
        "discovery": "automatic",
        "extra": {"kindBatch": [1, 4], "losesWorth": "by_half", "routesApart": [False, True], "workers": 8},
        "grades": [
            message_class(),
            message_class("deduplicated"),
            message_class("deduplicated", group="zone"),
            message_class("at_most_once"),
            message_class("deduplicated", byArrival=True),
        ],
        "localities": ["near", "far"],
        "obligations": {
            "answerSlack": 0.02,
            "askWithin": 10.0,
            "cold": 9.0,
            "drainGrace": 1.0,
            "fall": 1.5,
            "fallMultiple": 2.0,
            "startCapacity": 0.2,
            "turnGap": 0.4,
        },
        "report": {"fields": [], "via": "off"},
        "tick": 0.005,
        "weights": "off",
        "zone": 0,
    }
    env.update(extra)
    return env
