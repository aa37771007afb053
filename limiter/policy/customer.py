"""A customer as one limiter knows it, and the table of customers with recent requests.

Each part of a record is written by its own class alone: `SampledUsage`, `LocalShare` and `UsageReport`.
Types: limiter/model. Times are milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from limiter.model.settings import QuotaPlan
from limiter.policy.idle_eviction import pop_idle
from limiter.policy.local_share import LocalShare
from limiter.policy.sampled_usage import SampledUsage
from limiter.policy.usage_report import UsageReport


@dataclass(slots=True, eq=False)
class Customer:
    """A customer with recent requests.

    Attributes:
        key: Its number.
        plan: The plan of its last request.
        limiter_set_size: Limiters that may get its requests.
        usage: Its token bucket and admission probability, rebuilt from samples.
        local_share: This limiter's even parts of its quota.
        is_widely_shared: Whether a limiter's even part of the burst is under one unit, so that this one
            sees too few of its requests to know its use.
        admitted_fraction: Share of its requests that were admitted, among those that a sample decided; a
            moving average.
        report: Its use on the way to the counter.
        last_seen_at: Time of its last request.
        attempts_in_flight: Attempts in flight from here.
        remote_attempts_in_flight: Attempts in flight from other limiters, as servers metered them last.
    """

    key: int
    plan: QuotaPlan
    limiter_set_size: float
    is_widely_shared: bool
    usage: SampledUsage
    local_share: LocalShare
    admitted_fraction: float
    report: UsageReport = field(default_factory=UsageReport)
    last_seen_at: float = 0.0
    attempts_in_flight: int = 0
    remote_attempts_in_flight: float = 0.0

    @property
    def is_busy(self) -> bool:
        """Whether attempts or a counter call still refer to the customer.

        Requests that are held for a reply need no check of their own: a call is in flight as long as they
        are.
        """
        return bool(self.attempts_in_flight or self.report.is_call_in_flight)

    def mark_seen(self, now: float) -> None:
        """Note the time of a request."""
        self.last_seen_at = now

    def change_plan(self, plan: QuotaPlan, limiter_set_size: float, *, is_widely_shared: bool) -> None:
        """Go on under another plan, or in another set of limiters."""
        self.plan = plan
        self.limiter_set_size = limiter_set_size
        self.is_widely_shared = is_widely_shared
        self.local_share.change_plan(plan, limiter_set_size)

    def record_decision(self, weight: float, *, is_admitted: bool) -> None:
        """Add a request that a sample decided to the share of those admitted."""
        self.admitted_fraction += weight * (float(is_admitted) - self.admitted_fraction)

    def record_forwarded_units(self, units: float, *, within_quota: bool) -> None:
        """Take the units of a request that is forwarded from here."""
        self.local_share.consume(units)
        self.usage.record_forwarded_units(units, within_quota=within_quota)

    def record_billing_difference(self, extra_units: float) -> None:
        """Take what a forwarded request was billed beyond its estimate, and report it."""
        self.usage.record_billing_difference(extra_units, self.plan)
        self.report.add_unreported(extra_units)

    def start_attempt(self) -> None:
        """Count an attempt that is sent from here."""
        self.attempts_in_flight += 1

    def end_attempts(self, count: int) -> None:
        """Count attempts that have ended."""
        self.attempts_in_flight -= count

    def record_metered_concurrency(self, total_in_flight: float) -> None:
        """Take in how many attempts are in flight through all limiters, as a server metered it."""
        self.remote_attempts_in_flight = max(0.0, total_in_flight - self.attempts_in_flight)

    def time_until_available(self, units: float) -> float:
        """Return the milliseconds until the bucket holds so many units, if the others go on as of late."""
        return self.usage.time_until_available(units, self.plan, self.limiter_set_size)


class CustomerTable:
    """All customers with recent requests."""

    def __init__(self, idle_timeout: float) -> None:
        """Start without customers.

        Args:
            idle_timeout: Milliseconds without a request after which a customer may be forgotten.
        """
        self._idle_timeout = idle_timeout
        # The key is the customer's; the customer that has been idle for longest comes first.
        self.records: dict[int, Customer] = {}

    def remove(self, key: int) -> Customer | None:
        """Take a record out, to be put back with `put`."""
        return self.records.pop(key, None)

    def insert(self, customer: Customer, now: float) -> None:
        """Put in the record of a customer that has a request now; others that are idle are forgotten."""
        self.records[customer.key] = customer
        customer.mark_seen(now)
        longest_idle = next(iter(self.records.values()))
        if now - longest_idle.last_seen_at > self._idle_timeout:
            self._evict_idle(now)

    def _evict_idle(self, now: float) -> None:
        idle_records = pop_idle(self.records, lambda each: now - each.last_seen_at > self._idle_timeout)
        for key, customer in idle_records:
            if customer.is_busy:
                self.records[key] = customer  # put last, so that it does not keep the others
