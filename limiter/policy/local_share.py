"""This limiter's even parts of a customer's quota, which hold whatever is known of the other limiters.

Types: limiter/model. Times are milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass

from limiter.model.settings import QuotaPlan

# Units that the fallback bucket holds: one request, since many limiters without samples must not admit a
# flood together.
MAX_FALLBACK_TOKENS = 1.0


@dataclass(slots=True, eq=False)
class LocalShare:
    """Two token buckets of one customer that fill with this limiter's even part.

    Attributes:
        ceiling_tokens: Units left of this limiter's part of the ceiling.
        fallback_tokens: Units saved up of this limiter's part of the rate. They decide where no sample does.
    """

    ceiling_tokens: float
    fallback_tokens: float = MAX_FALLBACK_TOKENS

    def refill(self, elapsed: float, plan: QuotaPlan, limiter_set_size: float) -> None:
        """Fill both buckets for `elapsed` milliseconds."""
        ceiling_refill = plan.ceiling_rate / 1000 / limiter_set_size * elapsed
        ceiling_capacity = plan.ceiling_burst / limiter_set_size
        self.ceiling_tokens = min(ceiling_capacity, self.ceiling_tokens + ceiling_refill)
        refilled = self.fallback_tokens + plan.rate / 1000 * elapsed / limiter_set_size
        self.fallback_tokens = min(MAX_FALLBACK_TOKENS, refilled)

    def consume(self, units: float) -> None:
        """Take the units of a request that is forwarded from here."""
        self.ceiling_tokens -= units
        self.fallback_tokens = max(0.0, self.fallback_tokens - units)

    def change_plan(self, plan: QuotaPlan, limiter_set_size: float) -> None:
        """Go on under another plan or in another set of limiters; what the ceiling left is kept."""
        self.ceiling_tokens = min(self.ceiling_tokens, plan.ceiling_burst / limiter_set_size)
