"""Load of a whole fleet of limiters on the roles that they share.

The figures are derived from the settings; nothing is measured here.
"""

from __future__ import annotations

from dataclasses import dataclass

from limiter.policy.usage_gossip import MAX_INTAKE_FRACTION, MIN_GOSSIP_INTERVAL_MS
from limiter.transport.discovery.poll_pacing import PollPacing


@dataclass(frozen=True, slots=True)
class LimiterFleet:
    """A fleet of limiters that all have the same load."""

    limiters: int
    discovery_is_pushed: bool
    changes_per_s: float  # changes of the endpoint list
    requests_per_s: float  # requests at each limiter
    counter_calls_per_request: float
    gossip_intake_per_s: float  # messages that each limiter may take in


@dataclass(frozen=True, slots=True)
class FleetLoad:
    """Calls and messages a second, of all limiters together unless said otherwise."""

    discovery_call_rate: float  # watches that end, with changes or without
    discovery_entry_rate: float  # entries of the list in responses of discovery
    counter_call_rate: float
    gossip_interval_s: float  # time between two messages of one limiter, each to all others
    datagram_rate: float  # gossip datagrams; a message is one to each other limiter


def compute_fleet_load(fleet: LimiterFleet) -> FleetLoad:
    """Derive the load of a fleet on counter, discovery and gossip.

    A change of the list ends all watches. A watch without a change ends after the time that its pacing gives.
    """
    pacing = PollPacing.for_fleet(fleet.limiters, uses_local_agent=fleet.discovery_is_pushed)
    watch_s = pacing.long_poll_ms / 1000
    peers = fleet.limiters - 1
    interval_s = max(MIN_GOSSIP_INTERVAL_MS / 1000, peers / (MAX_INTAKE_FRACTION * fleet.gossip_intake_per_s))
    return FleetLoad(
        discovery_call_rate=fleet.limiters * max(fleet.changes_per_s, 1 / watch_s),
        discovery_entry_rate=fleet.limiters * fleet.changes_per_s,
        counter_call_rate=fleet.limiters * fleet.requests_per_s * fleet.counter_calls_per_request,
        gossip_interval_s=interval_s,
        datagram_rate=fleet.limiters * peers / interval_s,
    )
