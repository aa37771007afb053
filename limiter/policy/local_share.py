"""This limiter's even share of a customer's quota, which applies even if nothing is known of other limiters.

Types are defined in limiter/model. Times are in milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass

from limiter.model.settings import QuotaPlan

# Capacity of the fallback bucket in units. It allows one request, so that many limiters without samples do
# not admit a burst together.
MAX_FALLBACK_TOKENS = 1.0


@dataclass(slots=True, eq=False)
class LocalShare:
    """Two token buckets of one customer that are filled at this limiter's even share of the rates.

    Attributes:
        ceiling_tokens: Units in the bucket of the ceiling.
        fallback_tokens: Units in the bucket of the rate quota, which limits admission if there is no sample.
    """

    ceiling_tokens: float
    fallback_tokens: float = MAX_FALLBACK_TOKENS

    def refill(self, elapsed: float, plan: QuotaPlan, limiter_set_size: float) -> None:
        """Refill both buckets for `elapsed` milliseconds."""
        ceiling_refill = plan.ceiling_rate / 1000 / limiter_set_size * elapsed
        ceiling_capacity = plan.ceiling_burst / limiter_set_size
        self.ceiling_tokens = min(ceiling_capacity, self.ceiling_tokens + ceiling_refill)
        refilled = self.fallback_tokens + plan.rate / 1000 * elapsed / limiter_set_size
        self.fallback_tokens = min(MAX_FALLBACK_TOKENS, refilled)

    def consume(self, units: float) -> None:
        """Remove the units of a request that this limiter forwards."""
        self.ceiling_tokens -= units
        self.fallback_tokens = max(0.0, self.fallback_tokens - units)

    def change_plan(self, plan: QuotaPlan, limiter_set_size: float) -> None:
        """Apply a new plan or limiter set size; keep the ceiling's units, up to its new bucket capacity."""
        self.ceiling_tokens = min(self.ceiling_tokens, plan.ceiling_burst / limiter_set_size)
