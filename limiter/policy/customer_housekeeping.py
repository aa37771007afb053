"""Customers that have to be looked at again: with use to report, or with requests that wait for a reply.

Types: limiter/model. Times are milliseconds.
"""

from __future__ import annotations

import math

from limiter.policy.context import EngineContext, TimerToken
from limiter.policy.customer import Customer

# A round may begin this much early: the timer of an earlier round may fire a rounding error before its time.
TIMER_EARLY_TOLERANCE_MS = 1.0


class CustomerHousekeeping:
    """The customers to look at again, and the one timer for all of them."""

    def __init__(self, context: EngineContext) -> None:
        """Start without a customer to look at."""
        self._context = context
        self._pending: dict[int, Customer] = {}
        self._due_at = math.inf

    def schedule(self, now: float, delay: float, customer: Customer) -> None:
        """Look at a customer again in the next round, `delay` milliseconds from now at the latest."""
        self._pending[customer.key] = customer
        if now + delay < self._due_at:
            self._due_at = now + delay
            self._context.set_timer(delay, TimerToken.HOUSEKEEPING)

    def take_due(self, now: float) -> list[Customer]:
        """Return the customers to look at now; none if an earlier timer has replaced the one that fired."""
        if now < self._due_at - TIMER_EARLY_TOLERANCE_MS:
            return []
        due = list(self._pending.values())
        self._pending = {}
        self._due_at = math.inf
        return due
