"""Load of a whole tier on the roles that it shares, derived from the settings: nothing is measured here."""

from __future__ import annotations

from dataclasses import dataclass

from limiter.policy.usage_gossip import INTAKE_SHARE, MIN_INTERVAL_MS
from limiter.transport.discovery.poll_pacing import PollPacing


@dataclass(frozen=True, slots=True)
class Tier:
    """A tier of limiters that are all loaded alike."""

    limiters: int
    discovery_is_pushed: bool
    changes_per_s: float  # of the endpoint list
    requests_per_s: float  # at each limiter
    counter_calls_per_request: float
    gossip_intake_per_s: float  # messages that each limiter may take in


@dataclass(frozen=True, slots=True)
class TierLoad:
    """Calls and messages a second, of all limiters together unless said otherwise."""

    discovery_calls: float  # watches that end, with changes or without
    discovery_entries: float  # entries of the list written
    counter_calls: float
    gossip_interval_s: float  # between two messages of one limiter, to all others
    datagrams: float  # one to each other limiter


def tier_load(tier: Tier) -> TierLoad:
    """The tier's load on its roles.

    Changes that come one by one end a watch each; without changes one ends after the time that its pacing
    gives it.
    """
    watch_s = PollPacing.for_fleet(tier.limiters, is_pushed=tier.discovery_is_pushed).long_poll_ms / 1000
    peers = tier.limiters - 1
    interval_s = max(MIN_INTERVAL_MS / 1000, peers / (INTAKE_SHARE * tier.gossip_intake_per_s))
    return TierLoad(
        discovery_calls=tier.limiters * max(tier.changes_per_s, 1 / watch_s),
        discovery_entries=tier.limiters * tier.changes_per_s,
        counter_calls=tier.limiters * tier.requests_per_s * tier.counter_calls_per_request,
        gossip_interval_s=interval_s,
        datagrams=tier.limiters * peers / interval_s,
    )
