"""Gossip between limiters: how much each customer uses through all of them, and how loaded each of them is.

A customer whose requests go through many limiters is seen too rarely by each of them to know its use. So each
limiter broadcasts, at intervals, the units that it forwarded for each customer and its own attempts in
flight; each rebuilds the customers' token buckets from these. Types: limiter/model. Times are milliseconds.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from limiter.codecs.gossip_messages import UsageWriter, decode_usage
from limiter.model.actions import BroadcastGossip
from limiter.model.events import ClientRequest
from limiter.policy.context import EngineContext, TimerToken
from limiter.policy.gossiped_usage import GossipedUsage, GossipedUsageTable
from limiter.policy.peer_load import PeerLoad
from limiter.policy.throttle import UPDATE_INTERVAL_MS

# Share of the messages a limiter may receive that all others together send it: those beyond the limit are
# dropped.
MAX_INTAKE_FRACTION = 0.8
# Least time between two messages of a limiter, T_m of the design page.
MIN_GOSSIP_INTERVAL_MS = 200.0
# Intervals without any message after which what other limiters sent counts as out of date.
MAX_INTERVALS_WITHOUT_MESSAGE = 3.0
# Limiters send their messages at times that differ by this share of the interval, so that not all send
# together.
GOSSIP_INTERVAL_JITTER_FRACTION = 0.2
# A sum of units this close to a number counts as that number, for the rounding errors of adding up.
UNIT_ROUNDING_TOLERANCE = 1e-6


class GossipedQuota(NamedTuple):
    """What gossip says of a customer's quota.

    Attributes:
        tokens: Units that the bucket holds, less what other limiters have likely used and not yet sent.
        probability: Admission probability of a request that the bucket does not hold.
    """

    tokens: float
    probability: float


class UsageGossip:
    """One limiter's side of the gossip: what it still has to send, and what it received.

    Attributes:
        is_enabled: Whether the settings allow gossip and there is another limiter.
        interval: Mean time between two messages of a limiter.
        peer_load: The load of the other limiters.
        usage_table: The customers' use through all limiters.
        last_message_at: Time of the last message received; minus infinity before the first one.
    """

    def __init__(self, context: EngineContext) -> None:
        """Start with nothing to send and nothing received."""
        settings = context.settings
        peer_count = settings.limiter_count - 1
        intake_per_second = settings.max_received_gossip_per_second
        self._context = context
        self._plans = settings.plans
        self.is_enabled = settings.may_gossip and intake_per_second > 0 and peer_count > 0
        # A receiver gets messages at the same rate in a fleet of any size: in a larger one each limiter sends
        # fewer.
        self.interval = max(
            MIN_GOSSIP_INTERVAL_MS, 1000.0 * peer_count / max(MAX_INTAKE_FRACTION * intake_per_second, 1e-9)
        )
        self.peer_load = PeerLoad()
        self.usage_table = GossipedUsageTable(sample_interval=max(UPDATE_INTERVAL_MS, 2 * self.interval))
        self.last_message_at = -math.inf
        self._is_scheduled = False
        # Units by plan index and customer; those that have waited for longest come first.
        self._unsent: dict[tuple[int, int], float] = {}
        self._mean_latency = 0.0

    @property
    def has_unsent_units(self) -> bool:
        """Whether units were forwarded that no message has named yet."""
        return bool(self._unsent)

    def unsent_units(self, customer: int, plan_index: int) -> float:
        """Return the units of a customer that were forwarded and that no message has named yet."""
        return self._unsent.get((plan_index, customer), 0.0)

    def set_mean_latency(self, latency: float) -> None:
        """Note the mean latency of an attempt, over all limiters."""
        self._mean_latency = latency

    def get_usage(self, now: float, customer: int, plan_index: int) -> GossipedUsage:
        """Return a customer's use as of `now`."""
        return self.usage_table.get_or_create(now, customer, self._plans[plan_index], self._mean_latency)

    def estimate_quota(self, now: float, request: ClientRequest) -> GossipedQuota:
        """Return what is left of the quota of a request's customer, as of `now`."""
        usage = self.get_usage(now, request.customer, request.plan)
        # On average, half an interval of the other limiters' use has not arrived yet.
        unreceived_units = usage.utilization * usage.plan.rate / 1000 * self.interval / 2
        return GossipedQuota(usage.tokens - unreceived_units, usage.probability)

    def is_fresh(self, now: float) -> bool:
        """Whether a message came lately, or this limiter has just started."""
        fresh_since = max(self.last_message_at, self._context.started_at)
        return self.is_enabled and now - fresh_since < MAX_INTERVALS_WITHOUT_MESSAGE * self.interval

    def record_forwarded_units(self, now: float, customer: int, plan_index: int, units: float) -> None:
        """Account for a request that was forwarded from here, and queue its units for the next messages."""
        if not self.is_enabled:
            return
        self.get_usage(now, customer, plan_index).record_forwarded_units(units)
        key = (plan_index, customer)
        self._unsent[key] = self._unsent.get(key, 0.0) + units

    def schedule(self) -> None:
        """Have a message sent after an interval, unless one is due already."""
        if self.is_enabled and not self._is_scheduled:
            self._is_scheduled = True
            jitter_factor = self._context.random.uniform(
                1 - GOSSIP_INTERVAL_JITTER_FRACTION, 1 + GOSSIP_INTERVAL_JITTER_FRACTION
            )
            self._context.set_timer(self.interval * jitter_factor, TimerToken.USAGE_GOSSIP)

    def send(self, in_flight: int, latency: float) -> None:
        """Send the message that is due.

        Args:
            in_flight: Attempts in flight from here.
            latency: Mean latency of an attempt from here.
        """
        self._is_scheduled = False
        self._context.actions.append(BroadcastGossip(self.encode_message(in_flight, latency)))

    def encode_message(self, in_flight: int, latency: float) -> bytes:
        """Return one message with this limiter's load and as many unsent units as fit.

        Fractions of a unit stay unsent.
        """
        writer = UsageWriter(in_flight, latency)
        for key, units in list(self._unsent.items()):
            written_units = writer.add(*key, math.floor(units + UNIT_ROUNDING_TOLERANCE))
            if writer.is_full:
                break
            if not written_units:
                continue
            if units - written_units > UNIT_ROUNDING_TOLERANCE:
                self._unsent[key] = units - written_units
            else:
                del self._unsent[key]
        return writer.message()

    def receive(self, now: float, body: bytes) -> None:
        """Take in a message of another limiter; a malformed one is ignored as a whole."""
        message = decode_usage(body, len(self._context.settings.plans))
        if message is None or not self.is_enabled:
            return
        self.last_message_at = now
        self.peer_load.add_message(now, message.in_flight, message.latency_ms)
        for entry in message.entries:
            self.get_usage(now, entry.customer, entry.plan).record_forwarded_units(entry.units)
