"""A customer's use of its quota: a token bucket, and the admission probability that follows the utilization.

The counter's samples (`sampled_usage.py`) and the gossip of other limiters (`gossiped_usage.py`) both rebuild
a customer's use; what they compute alike is here. Types: limiter/model. Times are milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass

from limiter.policy.throttle import compute_updated_probability


@dataclass(slots=True, kw_only=True, eq=False)
class QuotaUsage:
    """A token bucket with the utilization and the admission probability of one customer.

    Attributes:
        tokens: Units in the token bucket at `refilled_at`.
        refilled_at: Time up to which the bucket is filled.
        utilization: EWMA of the use through all limiters, as a share of the quota (the paper's rho_m).
        probability: Admission probability of a request that the bucket does not hold (the paper's p).
    """

    tokens: float
    refilled_at: float
    utilization: float = 0.0
    probability: float = 1.0

    def refill(self, net_rate: float, elapsed: float, capacity: float) -> None:
        """Fill the bucket for some time, from empty at least up to its capacity.

        Args:
            net_rate: Units a millisecond: the quota's rate less the use that is to be taken from it.
            elapsed: Milliseconds since the bucket was last filled.
            capacity: Units that the bucket holds at most.
        """
        # Written out, without `clamp`: this runs for each request and each entry of a gossip message.
        self.tokens = min(capacity, max(0.0, self.tokens + net_rate * elapsed))

    def consume(self, units: float) -> None:
        """Take the units of a request that was forwarded; the bucket never holds less than none."""
        self.tokens = max(0.0, self.tokens - units)

    def update_utilization(self, sample: float, weight: float) -> None:
        """Add a sample, use as a share of the quota, to the moving average."""
        self.utilization += weight * (sample - self.utilization)

    def update_probability(self, target: float) -> None:
        """Multiply the admission probability by target / utilization, clamped."""
        self.probability = compute_updated_probability(self.probability, self.utilization, target)
