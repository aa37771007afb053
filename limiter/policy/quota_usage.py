"""A customer's usage of its quota: a token bucket, the utilization and the admission probability.

`sampled_usage.py` estimates the usage from samples and `gossiped_usage.py` from the gossip of other limiters.
This module holds what both have in common. Types are defined in limiter/model. Times are in milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass

from limiter.policy.throttle import compute_updated_probability


@dataclass(slots=True, kw_only=True, eq=False)
class QuotaUsage:
    """A token bucket with the utilization and the admission probability of one customer.

    Attributes:
        tokens: Units in the token bucket at `refilled_at`.
        refilled_at: Time up to which the bucket has been refilled.
        utilization: EWMA of the usage through all limiters as a fraction of the quota (rho_m in the paper).
        probability: Admission probability of a request for which the bucket has too few tokens (p in the
            paper).
    """

    tokens: float
    refilled_at: float
    utilization: float = 0.0
    probability: float = 1.0

    def refill(self, net_rate: float, elapsed: float, capacity: float) -> None:
        """Refill the bucket for the elapsed time, within the range from 0 to its capacity.

        Args:
            net_rate: The quota's rate minus the rate of usage to deduct, in units per millisecond.
            elapsed: Milliseconds since the bucket was last refilled.
            capacity: Maximum number of units in the bucket.
        """
        # `clamp` is inlined because this runs for each request and each entry of a gossip message.
        self.tokens = min(capacity, max(0.0, self.tokens + net_rate * elapsed))

    def consume(self, units: float) -> None:
        """Deduct the units of a forwarded request from the bucket, down to 0."""
        self.tokens = max(0.0, self.tokens - units)

    def update_utilization(self, sample: float, weight: float) -> None:
        """Update the moving average with a sample, which is usage as a fraction of the quota."""
        self.utilization += weight * (sample - self.utilization)

    def update_probability(self, target: float) -> None:
        """Multiply the admission probability by target / utilization and clamp it."""
        self.probability = compute_updated_probability(self.probability, self.utilization, target)
