"""The true state of a customer's quota, computed from its requests at all limiters."""

from __future__ import annotations

from scale.hollow.plan import PlanParameters


class Quota:
    """A customer's quota: a token bucket of units or a limit on concurrent attempts."""

    __slots__ = ("_burst", "_max_concurrency", "_rate", "_tokens", "_updated_at", "in_flight_attempt_count")

    def __init__(self, plan: PlanParameters) -> None:
        """Create a quota whose bucket is full; the rate does not apply if the plan limits concurrency."""
        self.in_flight_attempt_count = 0  # at all limiters together
        self._rate = 0.0 if plan.max_concurrency else plan.rate / 1000  # units per ms
        self._burst = plan.burst
        self._max_concurrency = plan.max_concurrency
        self._tokens = plan.burst
        self._updated_at = 0.0

    def take_units(self, now: float, units: float) -> bool:
        """Take the units of a request that is forwarded now; if they exceed the quota, take none.

        Returns:
            Whether the units were within the quota.
        """
        self._refill(now)
        if self._rate and self._tokens < units:
            return False
        if self._max_concurrency and self.in_flight_attempt_count >= self._max_concurrency:
            return False
        self._tokens -= units
        return True

    def record_attempt_start(self) -> None:
        """Count an attempt that is now in flight."""
        self.in_flight_attempt_count += 1

    def record_attempt_end(self) -> None:
        """Count an attempt as no longer in flight."""
        self.in_flight_attempt_count -= 1

    def is_half_free(self, now: float) -> bool:
        """Return whether at least half of the quota is unused."""
        self._refill(now)
        is_bucket_half_full = not self._rate or 2 * self._tokens >= self._burst
        return is_bucket_half_full and 2 * self.in_flight_attempt_count <= self._max_concurrency

    def _refill(self, now: float) -> None:
        self._tokens = min(self._burst, self._tokens + self._rate * (now - self._updated_at))
        self._updated_at = now
