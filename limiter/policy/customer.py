"""One limiter's record of a customer, and the table of customers with recent requests.

The nested records `SampledUsage`, `LocalShare` and `UsageReport` each modify only their own fields. Types are
defined in limiter/model. Times are in milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from limiter.model.settings import QuotaPlan
from limiter.policy.idle_eviction import pop_idle
from limiter.policy.local_share import LocalShare
from limiter.policy.sampled_usage import SampledUsage
from limiter.policy.usage_report import UsageReport

# Maximum number of customers that are remembered. A record takes about 800 bytes, so clients that send each
# request for another customer would otherwise take all memory within the idle timeout.
MAX_CUSTOMERS = 65_536


@dataclass(slots=True, eq=False)
class Customer:
    """A customer with recent requests.

    Attributes:
        key: The customer's number.
        plan: The plan of the customer's last request.
        limiter_set_size: Number of limiters that may receive the customer's requests.
        usage: The customer's token bucket and admission probability, estimated from usage samples.
        local_share: This limiter's even share of the customer's quota.
        is_widely_shared: Whether an even share of the burst for each limiter is less than one unit, so that
            this limiter receives too few of the customer's requests to estimate the customer's usage.
        admitted_fraction: Moving average of the fraction of requests that were admitted, over the decisions
            that were based on a sample.
        report: The customer's usage that is to be reported to the counter.
        last_seen_at: Time of the customer's last request.
        attempts_in_flight: Number of the customer's attempts in flight that this limiter sent.
        remote_attempts_in_flight: Number of the customer's attempts in flight that other limiters sent, from
            the latest value metered by a server.
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
        """Whether an attempt or a counter call in flight still refers to the customer.

        Requests that are held for a reply need no separate check: a call is in flight for as long as they
        are held.
        """
        return bool(self.attempts_in_flight or self.report.is_call_in_flight)

    def mark_seen(self, now: float) -> None:
        """Record the time of a request."""
        self.last_seen_at = now

    def change_plan(self, plan: QuotaPlan, limiter_set_size: float, *, is_widely_shared: bool) -> None:
        """Apply a change of the customer's plan or of the size of its limiter set."""
        self.plan = plan
        self.limiter_set_size = limiter_set_size
        self.is_widely_shared = is_widely_shared
        self.local_share.change_plan(plan, limiter_set_size)

    def record_decision(self, weight: float, *, is_admitted: bool) -> None:
        """Update the admitted fraction with one decision that was based on a sample."""
        self.admitted_fraction += weight * (float(is_admitted) - self.admitted_fraction)

    def record_forwarded_units(self, units: float, *, within_quota: bool) -> None:
        """Deduct the units of a request that this limiter forwards."""
        self.local_share.consume(units)
        self.usage.record_forwarded_units(units, within_quota=within_quota)

    def record_billing_difference(self, extra_units: float) -> None:
        """Deduct and report the units that were billed for a forwarded request beyond its estimate.

        Args:
            extra_units: Billed units minus estimated units; negative if fewer were billed.
        """
        self.usage.record_billing_difference(extra_units, self.plan)
        self.report.add_unreported(extra_units)

    def start_attempt(self) -> None:
        """Count an attempt that this limiter sends."""
        self.attempts_in_flight += 1

    def end_attempts(self, count: int) -> None:
        """Subtract attempts that have ended from the count."""
        self.attempts_in_flight -= count

    def record_metered_concurrency(self, total_in_flight: float) -> None:
        """Estimate the attempts in flight from other limiters from the total that a server metered."""
        self.remote_attempts_in_flight = max(0.0, total_in_flight - self.attempts_in_flight)

    def time_until_available(self, units: float) -> float:
        """Return the milliseconds until the bucket holds `units` if the other limiters' rate is constant."""
        return self.usage.time_until_available(units, self.plan, self.limiter_set_size)


class CustomerTable:
    """The customers with recent requests, at most MAX_CUSTOMERS besides the busy ones."""

    def __init__(self, idle_timeout: float) -> None:
        """Create an empty table.

        Args:
            idle_timeout: Milliseconds without a request after which a customer may be evicted.
        """
        self._idle_timeout = idle_timeout
        # Customers by key; the one that has been idle for longest comes first.
        self.records: dict[int, Customer] = {}

    def remove(self, key: int) -> Customer | None:
        """Remove and return a customer's record, which the caller inserts again with `insert`."""
        return self.records.pop(key, None)

    def insert(self, customer: Customer, now: float) -> None:
        """Insert the record of a customer that sends a request now, and evict records that are not needed."""
        self.records[customer.key] = customer
        customer.mark_seen(now)
        longest_idle = next(iter(self.records.values()))
        if self._may_evict(longest_idle, now):
            self._evict(now)

    def _may_evict(self, longest_idle: Customer, now: float) -> bool:
        is_idle = now - longest_idle.last_seen_at > self._idle_timeout
        return is_idle or len(self.records) > MAX_CUSTOMERS

    def _evict(self, now: float) -> None:
        for key, customer in pop_idle(self.records, lambda longest_idle: self._may_evict(longest_idle, now)):
            if customer.is_busy:
                # The record is moved to the end, so that the records after it can be evicted.
                self.records[key] = customer
