"""The fleet as the limiter under test knows it: its settings, and the gossip of the other limiters.

Classes and plans are those of the site savannah-main. Times are milliseconds, rates are units a second.
"""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from limiter.codecs.gossip_messages import UsageMessageEncoder

# Gossip messages a second that a limiter takes in.
GOSSIP_INTAKE_PER_S = 40
# Number of limiters that a customer's requests come in through, in a fleet that has so many.
MAX_LIMITER_SET_SIZE = 40
PLANS = ("basic", "pro", "fleet")
ZONES = ("room-a", "room-b", "room-c")
MACHINE_TYPE = "small-2c"
SERVERS_PER_CELL = 40
# Customers' ids are drawn below this bound.
CUSTOMER_IDS = 2**33


def build_settings(limiters: int, discovery: str) -> dict[str, object]:
    """Make the configuration's `settings` of limiter 0 of a fleet of that size."""
    quota = {"beyondCosts": 0.8}
    return {
        "me": 0,
        "peersTotal": limiters,
        "classes": [
            {"name": "obs-read", "aim": 1200.0, "deadline": 3000.0, "effect": "repeatable", "worth": 1.0},
            {"name": "alert-order", "aim": 1000.0, "deadline": 3000.0, "effect": "once", "worth": 5.0},
        ],
        "contracts": [
            {"name": PLANS[0], "quotaRate": 0.8, "peakUnits": 3.5, "valueFactor": 0.8, **quota},
            {"name": PLANS[1], "quotaRate": 1.9, "peakUnits": 8.0, "valueFactor": 1.2, **quota},
            {"name": PLANS[2], "open": 4, "valueFactor": 1.4, "beyondCosts": 0.8, "extraWorth": 0.2},
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
    """Number of a customer's plan, which follows from its id and never changes."""
    return customer % len(PLANS)


def encode_gossip_message(rng: Random, customers: Sequence[int]) -> bytes:
    """Make a message of another limiter that reports one forwarded unit for each customer."""
    in_flight = rng.randrange(3)
    mean_latency_ms = rng.randrange(100, 300)
    writer = UsageMessageEncoder(in_flight, mean_latency_ms)
    for customer in customers:
        writer.add_entry(get_plan_index(customer), customer, units=1)
    return writer.encode()
