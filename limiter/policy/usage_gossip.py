"""Gossip between limiters: how much each customer uses through all of them, and how loaded each of them is.

A customer whose requests are spread over many limiters is seen too seldom by any one of them to know its use.
So each limiter broadcasts, at intervals, the units it forwarded for each customer and its own attempts in
flight; each rebuilds the customers' token buckets from these. Types: limiter/model. Times are milliseconds.
"""

import math

from limiter.codecs.gossip_messages import UsageWriter, decode_usage
from limiter.model.actions import BroadcastGossip
from limiter.model.events import ClientRequest
from limiter.model.records import CustomerRecord, CustomerUsage
from limiter.model.tables import pop_idle
from limiter.policy.context import PolicyContext, Timer
from limiter.policy.throttle import EWMA_WEIGHT, TARGET_UTILIZATION, UPDATE_INTERVAL_MS, updated_probability

CONCURRENCY_TARGET = 0.8  # attempts in flight vary by chance, and those beyond the cap count against it too
INTAKE_SHARE = 0.8  # of the messages that a limiter may receive: those beyond the limit are dropped
MIN_INTERVAL_MS = 200.0  # least time between two messages of a limiter: Tm of the design page
SILENT_INTERVALS = 3.0  # intervals without any message after which what peers sent counts as out of date
FORGET_AFTER_MS = 60000.0  # an idle customer is forgotten: design page
DECAY_MS = 1000.0  # of the peers' load: a limiter must see the effect of its decisions within a few updates
UNITS_TOLERANCE = 1e-6  # for the rounding error of sums


class UsageGossip:
    """One limiter's side of the gossip: what it still has to send, and what it knows from its peers."""

    def __init__(self, context: PolicyContext) -> None:
        """Start without knowledge of any peer or customer."""
        settings = context.settings
        peers, intake = settings.limiter_count - 1, settings.gossip_intake_per_second
        self.context = context
        self.is_enabled = settings.may_gossip and intake > 0 and peers > 0
        # A receiver gets messages at the same rate in a fleet of any size: in a larger one each sends fewer.
        self.interval = max(MIN_INTERVAL_MS, 1000.0 * peers / max(INTAKE_SHARE * intake, 1e-9))
        self.sample_interval = max(UPDATE_INTERVAL_MS, 2 * self.interval)
        self.is_scheduled = False  # a message is due
        self.unsent: dict[tuple[int, int], float] = {}  # units by plan index and customer, the oldest first
        self.last_message_at = -math.inf  # time of the last message from a peer
        # Sums over the messages received, each weighted by its age as of `decayed_at`.
        self.peer_weight = self.peer_in_flight = self.peer_latency = 0.0
        self.decayed_at = 0.0
        self.latency = 0.0  # mean of an attempt, over all limiters; set by the concurrency limit
        self.usage: dict[int, CustomerUsage] = {}  # by customer, the longest idle first

    def usage_of(self, now: float, customer: int, plan_index: int) -> CustomerUsage:
        """Return the customer's record as of `now`: bucket refilled, probability updated once a sample."""
        plan = self.context.settings.plans[plan_index]
        usage = self.usage.pop(customer, None)
        if usage is None or usage.plan is not plan:
            usage = CustomerUsage(plan, plan.burst, tokens_at=now, sample_start=now)
        self.usage[customer] = usage
        usage.refill(now)  # before others are forgotten, since it marks this record as used now
        pop_idle(self.usage, lambda each: now - each.tokens_at > FORGET_AFTER_MS)
        if now - usage.sample_start >= self.sample_interval:
            self._end_sample(now, usage)
        return usage

    def _end_sample(self, now: float, usage: CustomerUsage) -> None:
        rate = usage.plan.rate / 1000
        units_per_ms = usage.sampled_units / (now - usage.sample_start)
        if rate > 0:
            sample = units_per_ms / rate
            target = TARGET_UTILIZATION
        else:  # Little's law: arrival rate times latency is the number in flight
            sample = units_per_ms * self.latency / max(usage.plan.max_concurrency, 1)
            target = CONCURRENCY_TARGET
        usage.utilization += EWMA_WEIGHT * (sample - usage.utilization)
        usage.probability = updated_probability(usage.probability, usage.utilization, target)
        usage.sampled_units = 0.0
        usage.sample_start = now

    def is_fresh(self, now: float) -> bool:
        """Whether a peer sent anything lately, or this limiter has just started: else `usage` is outdated."""
        last_message = max(self.last_message_at, self.context.started_at)
        return self.is_enabled and now - last_message < SILENT_INTERVALS * self.interval

    def update_tokens(self, now: float, request: ClientRequest, customer: CustomerRecord) -> CustomerUsage:
        """Set the customer's tokens to what is surely left; its usage, of which that is worked out."""
        usage = self.usage_of(now, request.customer, request.plan)
        unreported = usage.utilization * usage.plan.rate / 1000 * self.interval / 2  # likely used by peers
        customer.tokens = usage.tokens - unreported
        return usage

    def record_forwarded(self, now: float, customer: int, plan_index: int, units: float) -> None:
        """Account for a request forwarded here, and queue its units for the next messages."""
        if not self.is_enabled:
            return
        self.usage_of(now, customer, plan_index).spend(units)
        key = (plan_index, customer)
        self.unsent[key] = self.unsent.get(key, 0.0) + units

    def schedule(self) -> None:
        """Have a message sent after an interval, drawn so that limiters don't all send together."""
        if self.is_enabled and not self.is_scheduled:
            self.is_scheduled = True
            self.context.set_timer(self.interval * self.context.random.uniform(0.8, 1.2), Timer.USAGE_GOSSIP)

    def send(self, in_flight: int, latency: float) -> None:
        """Send the message that is due."""
        self.is_scheduled = False
        self.context.actions.append(BroadcastGossip(self.encode(in_flight, latency)))

    def encode(self, in_flight: int, latency: float) -> bytes:
        """One message: this limiter's load, and as much of `unsent` as fits; fractions of a unit remain."""
        writer = UsageWriter(in_flight, latency)
        for key, units in list(self.unsent.items()):
            written = writer.add(*key, math.floor(units + UNITS_TOLERANCE))
            if writer.is_full:
                break
            if written and units - written > UNITS_TOLERANCE:
                self.unsent[key] = units - written
            elif written:
                del self.unsent[key]
        return writer.message()

    def receive(self, now: float, body: bytes) -> None:
        """Take in a peer's message; a malformed one is ignored whole."""
        message = decode_usage(body, len(self.context.settings.plans))
        if message is None or not self.is_enabled:
            return
        self.last_message_at = now
        self.decay(now)
        self.peer_weight += 1
        self.peer_in_flight += message.in_flight
        self.peer_latency += message.latency_ms
        for entry in message.entries:
            self.usage_of(now, entry.customer, entry.plan).spend(entry.units)

    def decay(self, now: float) -> None:
        """Bring the weights of the messages received to `now`: the older, the less."""
        factor = math.exp(min(0.0, self.decayed_at - now) / DECAY_MS)
        self.peer_weight *= factor
        self.peer_in_flight *= factor
        self.peer_latency *= factor
        self.decayed_at = now

    def mean_in_flight(self, own: float) -> float:
        """Attempts in flight at the mean limiter: the few of one limiter alone vary by chance."""
        return (own + self.peer_in_flight) / (1 + self.peer_weight)

    def mean_latency(self, own: float) -> float:
        """Latency at the mean limiter, in ms."""
        return (own + self.peer_latency) / (1 + self.peer_weight)
