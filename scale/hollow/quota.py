"""The true state of a customer's quota, computed from all of its requests."""

from __future__ import annotations

from scale.hollow.plan import PlanParameters


class Quota:
    """Token bucket of units that starts full, or a cap on concurrent attempts, or both."""

    __slots__ = ("_burst", "_max_concurrency", "_rate", "_tokens", "_updated_at", "in_flight")

    def __init__(self, plan: PlanParameters) -> None:
        """Start with a full bucket; a plan with a cap on concurrency has no rate."""
        self.in_flight = 0  # number of attempts in flight, at all limiters
        self._rate = 0.0 if plan.max_concurrency else plan.rate / 1000  # units a ms
        self._burst = plan.burst
        self._max_concurrency = plan.max_concurrency
        self._tokens = plan.burst
        self._updated_at = 0.0

    def take_units(self, now: float, units: float) -> bool:
        """Take the units of a request that is forwarded now; False, taking none, if they exceed the quota."""
        self._refill(now)
        if self._rate and self._tokens < units:
            return False
        if self._max_concurrency and self.in_flight >= self._max_concurrency:
            return False
        self._tokens -= units
        return True

    def record_attempt_start(self) -> None:
        """Count an attempt as in flight."""
        self.in_flight += 1

    def attempt_ended(self) -> None:
        """Count an attempt as not in flight any more."""
        self.in_flight -= 1

    def is_half_free(self, now: float) -> bool:
        """Whether half of the quota or more is unused."""
        self._refill(now)
        bucket_is_half_full = not self._rate or 2 * self._tokens >= self._burst
        return bucket_is_half_full and 2 * self.in_flight <= self._max_concurrency

    def _refill(self, now: float) -> None:
        self._tokens = min(self._burst, self._tokens + self._rate * (now - self._updated_at))
        self._updated_at = now
