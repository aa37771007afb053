"""Load of a whole fleet of limiters on the services that they share.

The figures are derived from the settings, not measured.
"""

from __future__ import annotations

from dataclasses import dataclass

from limiter.policy.usage_gossip import MAX_INTAKE_FRACTION, MIN_GOSSIP_INTERVAL_MS
from limiter.transport.discovery.poll_pacing import PollPacing


@dataclass(frozen=True, slots=True)
class LimiterFleet:
    """A fleet of limiters, all with the same load."""

    limiter_count: int
    discovery_is_pushed: bool
    changes_per_s: float  # changes to the endpoint list
    requests_per_s: float  # requests at each limiter
    counter_calls_per_request: float
    gossip_intake_per_s: float  # maximum rate of messages that each limiter accepts


@dataclass(frozen=True, slots=True)
class FleetLoad:
    """Calls and messages per second, of all limiters together unless stated otherwise."""

    discovery_call_rate: float  # watches, whether they end with changes or without
    discovery_entry_rate: float  # list entries in the responses of discovery
    counter_call_rate: float
    gossip_interval_s: float  # time between two messages of one limiter, each sent to all others
    datagram_rate: float  # gossip datagrams; a message takes one for each other limiter


def compute_fleet_load(fleet: LimiterFleet) -> FleetLoad:
    """Derive the load of a fleet on counter and discovery, and the load of its gossip.

    A change to the endpoint list ends all watches. A watch without a change ends after the long poll duration
    of the limiter's poll pacing.
    """
    pacing = PollPacing.for_fleet(fleet.limiter_count, uses_local_agent=fleet.discovery_is_pushed)
    watch_s = pacing.long_poll_ms / 1000
    peers = fleet.limiter_count - 1
    interval_s = max(MIN_GOSSIP_INTERVAL_MS / 1000, peers / (MAX_INTAKE_FRACTION * fleet.gossip_intake_per_s))
    return FleetLoad(
        discovery_call_rate=fleet.limiter_count * max(fleet.changes_per_s, 1 / watch_s),
        discovery_entry_rate=fleet.limiter_count * fleet.changes_per_s,
        counter_call_rate=fleet.limiter_count * fleet.requests_per_s * fleet.counter_calls_per_request,
        gossip_interval_s=interval_s,
        datagram_rate=fleet.limiter_count * peers / interval_s,
    )
