"""Settings of a small deployment, after the example of the wire page."""

from __future__ import annotations

from typing import Any

from standins.discovery import Discovery


def make_settings(**changes: Any) -> dict[str, Any]:
    """Return the settings of one limiter of savannah-main; `changes` replaces top-level keys."""
    classes = [
        {
            "name": "obs-read",
            "aim": 1200.0,
            "deadline": 3000.0,
            "effect": "repeatable",
            "group": "all",
            "window": 5000.0,
            "worth": 1.0,
            "lateWorth": 0.2,
            "stream": False,
        },
        {
            "name": "alert-order",
            "aim": 1000.0,
            "deadline": 3000.0,
            "effect": "once",
            "group": "all",
            "window": 5000.0,
            "worth": 5.0,
            "lateWorth": 0.0,
            "stream": False,
        },
    ]
    settings: dict[str, Any] = {
        "me": 0,
        "peersTotal": 1,
        "classes": classes,
        "contracts": [{"name": "fleet", "quotaRate": 0.0, "peakUnits": 0.0, "open": 0}],
        "discovery": "pushed",
        "extra": {"mayCount": False, "countLimit": 30.0, "maxUnits": 1, "mailPerS": 40.0},
        "limits": {
            "cancelling": True,
            "dialTimeout": 250.0,
            "keepalive": 15000.0,
            "maxAttempts": 4,
            "peers": False,
            "probing": True,
            "secondCopies": False,
        },
        "localities": ["room-a", "room-b", "room-c"],
        "models": ["small-2c"],
        "myZone": 0,
        "report": {"fields": [], "how": "silent"},
        "rules": {
            "startCapacity": 0.16,
            "rampTime": 16000.0,
            "overloadFactor": 2.0,
            "fall": 1000.0,
            "stopSendingWithin": 500.0,
            "answerSlack": 16.0,
            "askEvery": 10000.0,
        },
        "step": 4.0,
    }
    return {**settings, **changes}


def make_config(discovery: Discovery, settings: dict[str, Any], memory_mb: int = 192) -> dict[str, Any]:
    """Return the configuration of a limiter, without its name and its address."""
    return {
        "discovery": discovery.address,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": 1024},
        "known": discovery.make_whole_list(),
        "settings": settings,
    }
