"""Settings and configurations of a limiter under test, in the JSON form of its configuration file."""

from __future__ import annotations

import copy
from typing import Any

_COMMON_CLASS_SETTINGS = {
    "aim": 1000.0,
    "deadline": 4000.0,
    "worth": 1.0,
    "lateWorth": 0.2,
    "group": "all",
    "window": 5000.0,
}
_SINGLE_LIMITER_SETTINGS: dict[str, Any] = {
    "me": 0,
    "peersTotal": 1,
    "classes": [
        {**_COMMON_CLASS_SETTINGS, "name": "read", "effect": "repeatable"},
        {**_COMMON_CLASS_SETTINGS, "name": "submit", "effect": "by_key", "group": "zone"},
        {**_COMMON_CLASS_SETTINGS, "name": "order", "effect": "once"},
    ],
    "contracts": [{"name": "free", "quotaRate": 0.0, "peakUnits": 0.0, "valueFactor": 1.0}],
    "extra": {"mayCount": False, "countLimit": 50.0, "maxUnits": 1},
    "limits": {"maxAttempts": 4, "dialTimeout": 250.0, "keepalive": 30000.0, "secondCopies": True},
    "rules": {"startCapacity": 0.2, "rampTime": 10000.0, "overloadFactor": 3.0, "fall": 1000.0},
    "localities": ["a", "b"],
    "models": ["m"],
    "myZone": 0,
    "discovery": "pushed",
    "report": {"fields": [], "how": "silent"},
}


def make_raw_settings(**changes: Any) -> dict[str, Any]:
    """Return the settings of a single limiter whose plan has no quota.

    There is one request class for each kind of idempotency: `read` is idempotent, `submit` has idempotency
    keys, and `order` is not idempotent.

    Args:
        changes: top-level keys that are added or replaced.
    """
    return {**copy.deepcopy(_SINGLE_LIMITER_SETTINGS), **changes}


def make_raw_settings_with_quota(rate: float, burst: float) -> dict[str, Any]:
    """Return the settings of one of two limiters that use the counter and whose plan has a quota.

    Args:
        rate: the quota's rate, in units per second.
        burst: the quota's burst, in units.
    """
    plan = {"name": "free", "quotaRate": rate, "peakUnits": burst, "valueFactor": 1.0}
    extra = {"mayCount": True, "countLimit": 50.0, "maxUnits": 1}
    return make_raw_settings(contracts=[plan], extra=extra, peersTotal=2)


def make_raw_config(**changes: Any) -> dict[str, Any]:
    """Return a configuration whose addresses of discovery and counter refuse connections.

    Args:
        changes: top-level keys that are added or replaced.
    """
    document = {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "counter": "127.0.0.1:2",
        "seed": "8c1f",
        "limits": {"sockets": 256},
        "settings": make_raw_settings(),
    }
    return {**document, **changes}


def make_configured_endpoint_list(*entries: dict[str, Any]) -> dict[str, Any]:
    """Return an endpoint list, version 1, with these entries, as a configuration contains it."""
    return {"generation": 1, "reset": True, "instances": list(entries)}


# With such a long latency objective, the limiter does not end a request before its deadline.
CLASSES_WITH_LONG_LATENCY_OBJECTIVE = [
    {**request_class, "aim": 60_000.0} for request_class in make_raw_settings()["classes"]
]
