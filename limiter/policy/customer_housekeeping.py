"""Schedules the recheck of customers that have usage to report or requests held for a counter reply.

Types are defined in limiter/model. Times are in milliseconds.
"""

from __future__ import annotations

import math

from limiter.policy.context import EngineContext, TimerToken
from limiter.policy.customer import Customer

# A round of rechecks may start this much before its due time, because a timer, including one that was set for
# an earlier round, may fire early by a rounding error.
TIMER_EARLY_TOLERANCE_MS = 1.0


class CustomerHousekeeping:
    """The customers to recheck, and the single timer that they share."""

    def __init__(self, context: EngineContext) -> None:
        """Start with no customer to recheck."""
        self._context = context
        self._pending: dict[int, Customer] = {}
        self._due_at = math.inf

    def schedule(self, now: float, delay: float, customer: Customer) -> None:
        """Recheck a customer in the next round, which starts at most `delay` milliseconds from now."""
        self._pending[customer.key] = customer
        if now + delay < self._due_at:
            self._due_at = now + delay
            self._context.set_timer(delay, TimerToken.HOUSEKEEPING)

    def take_due(self, now: float) -> list[Customer]:
        """Return the customers to recheck now; none if the timer that fired belongs to an earlier round."""
        if now < self._due_at - TIMER_EARLY_TOLERANCE_MS:
            return []
        due = list(self._pending.values())
        self._pending = {}
        self._due_at = math.inf
        return due
