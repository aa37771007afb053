"""A customer's usage as estimated from gossip, and the table of customers whose usage is tracked this way.

Types are defined in limiter/model. Times are in milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass

from limiter.model.settings import QuotaPlan
from limiter.policy.idle_eviction import pop_idle
from limiter.policy.quota_usage import QuotaUsage
from limiter.policy.throttle import TARGET_UTILIZATION, UTILIZATION_EWMA_WEIGHT

# Target utilization of a concurrency quota. It is below 1 because the number of attempts in flight varies
# randomly and attempts beyond the quota count too.
TARGET_CONCURRENCY_UTILIZATION = 0.8
# Time without usage after which a customer's record is evicted, from the design page.
CUSTOMER_IDLE_TIMEOUT_MS = 60000.0


@dataclass(slots=True, kw_only=True, eq=False)
class GossipedUsage(QuotaUsage):
    """One customer's usage through all limiters, from their gossip and this limiter's own requests.

    Attributes:
        plan: The plan in the customer's latest gossip entry or request.
        sample_start: Start time of the current sample.
        sampled_units: Units forwarded since `sample_start`.
    """

    plan: QuotaPlan
    sample_start: float
    sampled_units: float = 0.0

    def advance(self, now: float) -> None:
        """Refill the bucket up to `now`."""
        elapsed = max(0.0, now - self.refilled_at)
        self.refill(self.plan.rate / 1000, elapsed, self.plan.burst)
        self.refilled_at = now

    def record_forwarded_units(self, units: float) -> None:
        """Deduct units that any limiter forwarded, and add them to the current sample."""
        self.consume(units)
        self.sampled_units += units

    def end_sample(self, now: float, mean_latency: float) -> None:
        """Update the utilization and the admission probability with the sample, and start the next sample.

        Args:
            now: End time of the sample, which is after its start.
            mean_latency: Mean latency of an attempt across all limiters.
        """
        rate = self.plan.rate / 1000
        units_per_ms = self.sampled_units / (now - self.sample_start)
        if rate > 0:
            sample = units_per_ms / rate
            target = TARGET_UTILIZATION
        else:
            # By Little's law, the number of attempts in flight is the arrival rate times the latency.
            sample = units_per_ms * mean_latency / max(self.plan.max_concurrency, 1)
            target = TARGET_CONCURRENCY_UTILIZATION
        self.update_utilization(sample, UTILIZATION_EWMA_WEIGHT)
        self.update_probability(target)
        self.sampled_units = 0.0
        self.sample_start = now


class GossipedUsageTable:
    """Records of the customers that appear in gossip or in requests to this limiter."""

    def __init__(self, sample_interval: float) -> None:
        """Create an empty table.

        Args:
            sample_interval: Minimum duration in milliseconds of a sample of a customer's usage.
        """
        self.sample_interval = sample_interval
        # Records by customer key; the one that has been idle for longest comes first.
        self.records: dict[int, GossipedUsage] = {}

    def get_or_create(self, now: float, customer: int, plan: QuotaPlan, mean_latency: float) -> GossipedUsage:
        """Return a customer's record with its bucket refilled up to `now` and an elapsed sample ended."""
        usage = self.records.pop(customer, None)
        if usage is None or usage.plan is not plan:
            usage = GossipedUsage(plan=plan, tokens=plan.burst, refilled_at=now, sample_start=now)
        self.records[customer] = usage
        usage.advance(now)  # marks this record as used now, so that the eviction below keeps it
        pop_idle(self.records, lambda each: now - each.refilled_at > CUSTOMER_IDLE_TIMEOUT_MS)
        if now - usage.sample_start >= self.sample_interval:
            usage.end_sample(now, mean_latency)
        return usage
