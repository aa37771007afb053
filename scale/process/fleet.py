"""Data about the fleet that the limiter under test receives: its settings and the gossip of other limiters.

Classes and plans are those of the site savannah-main. Times are in milliseconds, rates in units per second.
"""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from limiter.codecs.gossip_messages import UsageMessageEncoder

# Maximum rate of gossip messages that a limiter accepts.
GOSSIP_INTAKE_PER_S = 40
# Number of limiters through which the requests of one customer arrive, unless the fleet is smaller.
MAX_LIMITER_SET_SIZE = 40
PLAN_NAMES = ("basic", "pro", "fleet")
ZONES = ("room-a", "room-b", "room-c")
MACHINE_TYPE = "small-2c"
SERVERS_PER_CELL = 40
# Customer ids are drawn from the range below this bound.
CUSTOMER_ID_BOUND = 2**33


def build_settings(limiter_count: int, discovery: str) -> dict[str, object]:
    """Return the `settings` of the configuration of limiter 0 in a fleet of `limiter_count` limiters."""
    quota = {"beyondCosts": 0.8}
    return {
        "me": 0,
        "peersTotal": limiter_count,
        "classes": [
            {"name": "obs-read", "aim": 1200.0, "deadline": 3000.0, "effect": "repeatable", "worth": 1.0},
            {"name": "alert-order", "aim": 1000.0, "deadline": 3000.0, "effect": "once", "worth": 5.0},
        ],
        "contracts": [
            {"name": PLAN_NAMES[0], "quotaRate": 0.8, "peakUnits": 3.5, "valueFactor": 0.8, **quota},
            {"name": PLAN_NAMES[1], "quotaRate": 1.9, "peakUnits": 8.0, "valueFactor": 1.2, **quota},
            {"name": PLAN_NAMES[2], "open": 4, "valueFactor": 1.4, "beyondCosts": 0.8, "extraWorth": 0.2},
        ],
        "extra": {"mayCount": True, "countLimit": 30.0, "maxUnits": 1, "mailPerS": GOSSIP_INTAKE_PER_S},
        "limits": {"maxAttempts": 4, "dialTimeout": 250.0, "keepalive": 30000.0, "peers": True},
        "rules": {"startCapacity": 0.16, "rampTime": 16000.0, "overloadFactor": 2.0, "fall": 1000.0},
        "localities": list(ZONES),
        "models": [MACHINE_TYPE],
        "myZone": 0,
        "discovery": discovery,
        "report": {"fields": [], "how": "silent"},
    }


def get_plan_index(customer: int) -> int:
    """Return the index of a customer's plan, which depends only on the customer's id."""
    return customer % len(PLAN_NAMES)


def encode_gossip_message(rng: Random, customers: Sequence[int]) -> bytes:
    """Encode a message of another limiter that reports one forwarded unit for each customer."""
    in_flight = rng.randrange(3)
    mean_latency_ms = rng.randrange(100, 300)
    writer = UsageMessageEncoder(in_flight, mean_latency_ms)
    for customer in customers:
        writer.add_entry(get_plan_index(customer), customer, units=1)
    return writer.encode()
