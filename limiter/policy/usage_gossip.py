"""Gossip between limiters about the usage of each customer and the load of each limiter.

When the requests of a customer are spread over many limiters, each of them receives too few to estimate the
customer's usage. Therefore each limiter periodically broadcasts the units that it has forwarded for each
customer, and its own attempts in flight. Each receiver estimates the customers' token buckets from these
messages. Types are defined in limiter/model. Times are in milliseconds.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from limiter.codecs.gossip_messages import UsageMessageEncoder, decode_usage_message
from limiter.model.actions import BroadcastGossip
from limiter.model.events import ClientRequest
from limiter.policy.context import EngineContext, TimerToken
from limiter.policy.gossiped_usage import GossipedUsage, GossipedUsageTable
from limiter.policy.peer_load import PeerLoad
from limiter.policy.throttle import UPDATE_INTERVAL_MS

# Fraction of a limiter's maximum receive rate that all other limiters together use. Messages beyond the
# maximum are dropped.
MAX_INTAKE_FRACTION = 0.8
# Minimum mean time between two messages of a limiter, T_m on the design page.
MIN_GOSSIP_INTERVAL_MS = 200.0
# Number of intervals without any message after which the received usage counts as out of date.
MAX_INTERVALS_WITHOUT_MESSAGE = 3.0
# Maximum random change of an interval, as a fraction of it, so that limiters do not all send together.
GOSSIP_INTERVAL_JITTER_FRACTION = 0.2
# Maximum rounding error of a sum of units: a sum this close to a whole number counts as that number.
UNIT_ROUNDING_TOLERANCE = 1e-6


class GossipedQuota(NamedTuple):
    """The state of a customer's quota as estimated from gossip.

    Attributes:
        tokens: Units in the bucket, minus an estimate of the other limiters' usage that has not arrived yet.
        probability: Admission probability of a request for which the bucket has too few tokens.
    """

    tokens: float
    probability: float


class UsageGossip:
    """Queues and encodes the units that one limiter has to send, and records those that it receives.

    Attributes:
        is_enabled: Whether the settings allow gossip and there is at least one other limiter.
        interval: Mean time between two messages of a limiter.
        peer_load: The load of the other limiters.
        usage_table: The customers' usage through all limiters.
        last_message_at: Time of the last message received; minus infinity before the first one.
    """

    def __init__(self, context: EngineContext) -> None:
        """Start with no units to send and no messages received."""
        settings = context.settings
        peer_count = settings.limiter_count - 1
        intake_per_second = settings.gossip_intake_per_second
        self._context = context
        self._plans = settings.plans
        self.is_enabled = settings.may_gossip and intake_per_second > 0 and peer_count > 0
        # The receive rate is the same in a fleet of any size, because each limiter sends less often in a
        # larger fleet.
        self.interval = max(
            MIN_GOSSIP_INTERVAL_MS, 1000.0 * peer_count / max(MAX_INTAKE_FRACTION * intake_per_second, 1e-9)
        )
        self.peer_load = PeerLoad()
        self.usage_table = GossipedUsageTable(sample_interval=max(UPDATE_INTERVAL_MS, 2 * self.interval))
        self.last_message_at = -math.inf
        self._is_scheduled = False
        # Unsent units by plan index and customer; those that have waited for longest come first.
        self._unsent: dict[tuple[int, int], float] = {}
        self._mean_latency = 0.0

    @property
    def has_unsent_units(self) -> bool:
        """Whether any forwarded units have not been sent in a message yet."""
        return bool(self._unsent)

    def unsent_units(self, customer: int, plan_index: int) -> float:
        """Return the forwarded units of a customer that have not been sent in a message yet."""
        return self._unsent.get((plan_index, customer), 0.0)

    def set_mean_latency(self, latency: float) -> None:
        """Set the mean latency of an attempt across all limiters."""
        self._mean_latency = latency

    def get_usage(self, now: float, customer: int, plan_index: int) -> GossipedUsage:
        """Return a customer's usage as of `now`."""
        return self.usage_table.get_or_create(now, customer, self._plans[plan_index], self._mean_latency)

    def estimate_quota(self, now: float, request: ClientRequest) -> GossipedQuota:
        """Return the estimated state, as of `now`, of the quota of a request's customer."""
        usage = self.get_usage(now, request.customer, request.plan)
        # On average, the other limiters' usage of the last half interval has not been received yet.
        unreceived_units = usage.utilization * usage.plan.rate / 1000 * self.interval / 2
        return GossipedQuota(usage.tokens - unreceived_units, usage.probability)

    def is_fresh(self, now: float) -> bool:
        """Whether gossip is enabled and a message has arrived, or this limiter has started, recently."""
        fresh_since = max(self.last_message_at, self._context.started_at)
        return self.is_enabled and now - fresh_since < MAX_INTERVALS_WITHOUT_MESSAGE * self.interval

    def record_forwarded_units(self, now: float, customer: int, plan_index: int, units: float) -> None:
        """Record the units of a request that this limiter forwarded, and queue them for the next message."""
        if not self.is_enabled:
            return
        self.get_usage(now, customer, plan_index).record_forwarded_units(units)
        key = (plan_index, customer)
        self._unsent[key] = self._unsent.get(key, 0.0) + units

    def schedule(self) -> None:
        """Schedule a message after one interval, unless one is already scheduled."""
        if self.is_enabled and not self._is_scheduled:
            self._is_scheduled = True
            jitter_factor = self._context.random.uniform(
                1 - GOSSIP_INTERVAL_JITTER_FRACTION, 1 + GOSSIP_INTERVAL_JITTER_FRACTION
            )
            self._context.set_timer(self.interval * jitter_factor, TimerToken.USAGE_GOSSIP)

    def send(self, in_flight: int, latency: float) -> None:
        """Send the scheduled message.

        Args:
            in_flight: Number of this limiter's attempts in flight.
            latency: Mean latency of this limiter's attempts.
        """
        self._is_scheduled = False
        self._context.actions.append(BroadcastGossip(self.encode_message(in_flight, latency)))

    def encode_message(self, in_flight: int, latency: float) -> bytes:
        """Return a message with this limiter's load and as many whole unsent units as fit.

        Fractions of a unit and the units that do not fit stay queued.
        """
        writer = UsageMessageEncoder(in_flight, latency)
        for key, units in list(self._unsent.items()):
            written_units = writer.add_entry(*key, math.floor(units + UNIT_ROUNDING_TOLERANCE))
            if writer.is_full:
                break
            if not written_units:
                continue
            if units - written_units > UNIT_ROUNDING_TOLERANCE:
                self._unsent[key] = units - written_units
            else:
                del self._unsent[key]
        return writer.encode()

    def receive(self, now: float, body: bytes) -> None:
        """Record the load and units in another limiter's message; a malformed message is ignored entirely."""
        message = decode_usage_message(body, len(self._context.settings.plans))
        if message is None or not self.is_enabled:
            return
        self.last_message_at = now
        self.peer_load.add_message(now, message.attempts_in_flight, message.mean_latency_ms)
        for entry in message.entries:
            self.get_usage(now, entry.customer, entry.plan).record_forwarded_units(entry.units)
