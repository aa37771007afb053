"""Decides when this limiter reports a customer's usage to the counter.

Types are defined in limiter/model. Times are in milliseconds.
"""

from __future__ import annotations

from limiter.policy.customer import Customer
from limiter.policy.customer_housekeeping import CustomerHousekeeping
from limiter.policy.open_request import OpenRequest
from limiter.policy.usage_sampling import UsageSampler

# Delay of a report while the bucket has enough tokens, so that one call reports several requests.
REPORT_DELAY_MS = 1000.0
# Time after which a customer whose usage could not be reported is rechecked.
REPORT_RETRY_DELAY_MS = REPORT_DELAY_MS / 4
# Fraction of the burst; with fewer tokens than this, the quota counts as nearly used up.
NEAR_QUOTA_BURST_FRACTION = 1 / 2
# A limiter reports immediately if its unreported units exceed this fraction of its even share of the burst.
MAX_UNREPORTED_FRACTION = 1 / 4


class UsageReporter:
    """Reports the usage of customers that are not widely shared.

    The usage of widely shared customers is reported by the calls for which requests are held, or by gossip.
    """

    def __init__(self, sampler: UsageSampler, housekeeping: CustomerHousekeeping) -> None:
        """Create a reporter.

        Args:
            sampler: Makes the calls to the counter.
            housekeeping: Schedules the recheck of customers that have unreported usage.
        """
        self._sampler = sampler
        self._housekeeping = housekeeping

    def report_after_decision(self, now: float, request: OpenRequest, *, is_admitted: bool) -> None:
        """Report the usage after a decision: immediately if the quota is nearly used up, otherwise later."""
        customer = request.customer
        if customer.is_widely_shared:
            return
        is_urgent = is_admitted and self._is_near_quota(customer)
        if is_urgent or not request.admission.within_quota:
            self._sampler.call_counter(now, customer)
        if customer.report.unreported_units:
            self._housekeeping.schedule(now, REPORT_DELAY_MS, customer)

    @staticmethod
    def _is_near_quota(customer: Customer) -> bool:
        """Whether the quota is nearly used up, or may be: there is no sample or much usage is unreported."""
        burst = customer.plan.burst
        scaled_unreported_units = (
            customer.report.unreported_units / MAX_UNREPORTED_FRACTION * customer.limiter_set_size
        )
        is_nearly_used = customer.usage.tokens < burst * NEAR_QUOTA_BURST_FRACTION
        return is_nearly_used or not customer.usage.has_sample or scaled_unreported_units > burst

    def report_overdue_usage(self, now: float, customer: Customer) -> None:
        """Report usage if the last sample is older than the report delay."""
        if self.has_unreported_usage(customer) and now - customer.usage.sampled_at > REPORT_DELAY_MS:
            self._sampler.call_counter(now, customer)

    def schedule_recheck(self, now: float, customer: Customer) -> None:
        """Schedule a recheck of the customer if it still has unreported usage."""
        if self.has_unreported_usage(customer):
            self._housekeeping.schedule(now, REPORT_RETRY_DELAY_MS, customer)

    def has_unreported_usage(self, customer: Customer) -> bool:
        """Whether the customer has unreported usage that this reporter is responsible for."""
        has_unreported_units = bool(customer.report.unreported_units)
        return has_unreported_units and not customer.is_widely_shared
