"""Settings and configurations of a limiter under test, in the nested form of its configuration file."""

from __future__ import annotations

import copy
from typing import Any

_COMMON_TO_CLASSES = {
    "aim": 1000.0,
    "deadline": 4000.0,
    "worth": 1.0,
    "lateWorth": 0.2,
    "group": "all",
    "window": 5000.0,
}
_LONE_LIMITER_WITHOUT_QUOTA: dict[str, Any] = {
    "me": 0,
    "peersTotal": 1,
    "classes": [
        {**_COMMON_TO_CLASSES, "name": "read", "effect": "repeatable"},
        {**_COMMON_TO_CLASSES, "name": "submit", "effect": "by_key", "group": "zone"},
        {**_COMMON_TO_CLASSES, "name": "order", "effect": "once"},
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
    """Return settings of a lone limiter without quota.

    There is one class of each idempotency: `read` is idempotent, `submit` has an idempotency key and `order`
    must not run twice.

    Args:
        changes: values that replace those of whole top-level keys.
    """
    return {**copy.deepcopy(_LONE_LIMITER_WITHOUT_QUOTA), **changes}


def make_raw_settings_with_quota(rate: float, burst: float) -> dict[str, Any]:
    """Return settings of one of two limiters whose plan has a quota, and which use the counter.

    Args:
        rate: units a second.
        burst: units that may be used at once.
    """
    plan = {"name": "free", "quotaRate": rate, "peakUnits": burst, "valueFactor": 1.0}
    extra = {"mayCount": True, "countLimit": 50.0, "maxUnits": 1}
    return make_raw_settings(contracts=[plan], extra=extra, peersTotal=2)


def make_raw_config(**changes: Any) -> dict[str, Any]:
    """Return a configuration whose discovery and counter refuse connections.

    Args:
        changes: values that replace those of whole top-level keys.
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
    """Return a configuration's known endpoint list, version 1, with these entries."""
    return {"generation": 1, "reset": True, "instances": list(entries)}
