"""The keys of experiment files of the kinds `process` and `module`, with their ranges.

Where a field's name differs from its key, `msgspec.field` names the key.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

Count = Annotated[int, Meta(ge=1, le=1_000_000)]
Counts = Annotated[tuple[Count, ...], Meta(min_length=1)]
RatePerSecond = Annotated[float, Meta(ge=0.0, le=100_000.0)]
Seconds = Annotated[float, Meta(gt=0.0, le=3600.0)]
LimiterCounts = Annotated[tuple[Annotated[int, Meta(ge=2, le=65_000)], ...], Meta(min_length=1)]


class ProcessExperiment(
    msgspec.Struct, tag_field="kind", tag="process", forbid_unknown_fields=True, frozen=True
):
    """A sweep that runs a limiter process through four phases of load for each of `servers` x `limiters`."""

    servers: Counts  # numbers of servers in the endpoint list
    limiters: LimiterCounts  # numbers of limiters in the fleet, including the one under test
    seed: Annotated[int, Meta(ge=0)] = 1
    discovery: Literal["pushed", "on_request"] = "pushed"
    # Whether the limiter's configuration contains the current endpoint list as the list last seen.
    has_configured_endpoints: bool = msgspec.field(name="known", default=False)
    # Number of listening sockets, which all servers share.
    server_listeners: Annotated[int, Meta(ge=1, le=256)] = msgspec.field(name="listeners", default=16)
    # Changes to the endpoint list, in rotation: a server joins, the oldest one drains, that one leaves.
    changes_per_s: RatePerSecond = 0.44
    # Gossip messages that the other limiters together send to the limiter under test.
    datagrams_per_s: RatePerSecond = 32.0
    # Number of customers that one gossip message reports on.
    customers_per_message: Annotated[int, Meta(ge=0, le=48)] = msgspec.field(name="entries", default=25)
    requests_per_s: RatePerSecond = 50.0
    customers: Count = 10_000
    # Time from the arrival of a request at a server to the server's response.
    service_time_ms: Annotated[float, Meta(ge=0.0, le=1000.0)] = msgspec.field(name="work_ms", default=20.0)
    # Capacity of the counter, which rejects further calls as busy. 0 means no limit.
    max_counter_calls_per_s: RatePerSecond = msgspec.field(name="counter_per_s", default=0.0)
    phase_s: Seconds = 10.0
    # Pause before each phase. It is not part of any measurement.
    settle_s: Seconds = 1.0
    # Timeout for the limiter's health check to succeed after its start.
    ready_within_s: Seconds = 30.0


class PolicyEngineExperiment(
    msgspec.Struct, tag_field="kind", tag="module", forbid_unknown_fields=True, frozen=True
):
    """A sweep of the policy engine alone, for each of `servers` x `limiters` x `customers`.

    Each size runs in a new interpreter.
    """

    servers: Counts
    limiters: LimiterCounts
    # Numbers of customers. Gossip reports on each customer, then each customer sends a request.
    customers: Counts
    seed: Annotated[int, Meta(ge=0)] = 1
    # Number of customers that one gossip message reports on.
    customers_per_message: Annotated[int, Meta(ge=1, le=48)] = msgspec.field(name="entries", default=25)
    endpoint_changes: Count = msgspec.field(name="changes", default=100)
    # Number of periodic updates to measure, both before the gossip and after the requests.
    periodic_updates: Count = msgspec.field(name="rounds", default=20)
    # Number of attempts in flight during the last periodic updates.
    attempts_in_flight: Annotated[int, Meta(ge=0, le=1000)] = msgspec.field(name="open", default=8)
    # Fraction of the servers whose entry states that they have just started. The others state no start time.
    restarted_fraction: Annotated[float, Meta(ge=0.0, le=1.0)] = msgspec.field(name="restarted", default=0.0)
