"""A customer's use rebuilt from gossip, and the table of customers that gossip names.

Types: limiter/model. Times are milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass

from limiter.model.settings import QuotaPlan
from limiter.policy.idle_eviction import pop_idle
from limiter.policy.quota_usage import QuotaUsage
from limiter.policy.throttle import TARGET_UTILIZATION, UTILIZATION_EWMA_WEIGHT

# Share of a concurrency quota to aim at: attempts in flight vary by chance, and those beyond the quota count
# too.
TARGET_CONCURRENCY_UTILIZATION = 0.8
# Milliseconds after which an idle customer is forgotten, from the design page.
CUSTOMER_IDLE_TIMEOUT_MS = 60000.0


@dataclass(slots=True, kw_only=True, eq=False)
class GossipedUsage(QuotaUsage):
    """The use of one customer through all limiters, as far as their gossip and the own requests tell.

    Attributes:
        plan: The plan under which it was named last.
        sample_start: Start of the sample that is being measured.
        sampled_units: Units forwarded since `sample_start`.
    """

    plan: QuotaPlan
    sample_start: float
    sampled_units: float = 0.0

    def advance(self, now: float) -> None:
        """Fill the bucket up to `now`."""
        elapsed = max(0.0, now - self.refilled_at)
        self.refill(self.plan.rate / 1000, elapsed, self.plan.burst)
        self.refilled_at = now

    def record_forwarded_units(self, units: float) -> None:
        """Take units that some limiter forwarded."""
        self.consume(units)
        self.sampled_units += units

    def end_sample(self, now: float, mean_latency: float) -> None:
        """Update the utilization and the admission probability by the sample, and begin the next one.

        Args:
            now: The end of the sample, later than its start.
            mean_latency: Mean latency of an attempt, over all limiters.
        """
        rate = self.plan.rate / 1000
        units_per_ms = self.sampled_units / (now - self.sample_start)
        if rate > 0:
            sample = units_per_ms / rate
            target = TARGET_UTILIZATION
        else:
            # Little's law: the arrival rate times the latency is the number in flight.
            sample = units_per_ms * mean_latency / max(self.plan.max_concurrency, 1)
            target = TARGET_CONCURRENCY_UTILIZATION
        self.update_utilization(sample, UTILIZATION_EWMA_WEIGHT)
        self.update_probability(target)
        self.sampled_units = 0.0
        self.sample_start = now


class GossipedUsageTable:
    """The customers that gossip names or that were forwarded from here."""

    def __init__(self, sample_interval: float) -> None:
        """Start without customers.

        Args:
            sample_interval: Milliseconds that a sample of a customer's use covers at least.
        """
        self.sample_interval = sample_interval
        # The key is the customer's; the customer that has been idle for longest comes first.
        self.records: dict[int, GossipedUsage] = {}

    def get_or_create(self, now: float, customer: int, plan: QuotaPlan, mean_latency: float) -> GossipedUsage:
        """Return a customer's record as of `now`: bucket filled, probability updated once a sample."""
        usage = self.records.pop(customer, None)
        if usage is None or usage.plan is not plan:
            usage = GossipedUsage(plan=plan, tokens=plan.burst, refilled_at=now, sample_start=now)
        self.records[customer] = usage
        usage.advance(now)  # before others are forgotten: it marks this record as used now
        pop_idle(self.records, lambda each: now - each.refilled_at > CUSTOMER_IDLE_TIMEOUT_MS)
        if now - usage.sample_start >= self.sample_interval:
            usage.end_sample(now, mean_latency)
        return usage
