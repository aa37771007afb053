"""When a customer's own use is reported to the counter. Types: limiter/model. Times are milliseconds."""

from __future__ import annotations

from limiter.policy.customer import Customer
from limiter.policy.customer_housekeeping import CustomerHousekeeping
from limiter.policy.open_request import OpenRequest
from limiter.policy.usage_sampling import UsageSampler

# Time that use waits for its call while the bucket is well filled, so that one call reports several requests.
REPORT_DELAY_MS = 1000.0
# Time after which a customer whose use could not be reported is looked at again.
REPORT_RETRY_DELAY_MS = REPORT_DELAY_MS / 4
# Share of the burst below which the tokens count as nearly used up.
NEAR_QUOTA_BURST_FRACTION = 1 / 2
# A limiter reports at once when it owes more than this share of its even part of the burst.
MAX_UNREPORTED_FRACTION = 1 / 4


class UsageReporter:
    """Reports the use of customers that a limiter sees enough of.

    Use of widely shared customers is reported with the requests that are held for the reply, or by gossip.
    """

    def __init__(self, sampler: UsageSampler, housekeeping: CustomerHousekeeping) -> None:
        """Start without use to report.

        Args:
            sampler: Makes the calls to the counter.
            housekeeping: Looks at customers again whose use waits for its call.
        """
        self._sampler = sampler
        self._housekeeping = housekeeping

    def report_after_decision(self, now: float, request: OpenRequest, *, is_admitted: bool) -> None:
        """Report the use after a decision: at once where the quota is nearly used, else some time later."""
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
        """Whether the quota is nearly used, or too little is known to tell."""
        burst = customer.plan.burst
        scaled_unreported_units = (
            customer.report.unreported_units / MAX_UNREPORTED_FRACTION * customer.limiter_set_size
        )
        is_nearly_used = customer.usage.tokens < burst * NEAR_QUOTA_BURST_FRACTION
        return is_nearly_used or not customer.usage.has_sample or scaled_unreported_units > burst

    def report_overdue_usage(self, now: float, customer: Customer) -> None:
        """Report use that has waited for long."""
        if self.has_unreported_usage(customer) and now - customer.usage.sampled_at > REPORT_DELAY_MS:
            self._sampler.call_counter(now, customer)

    def schedule_recheck(self, now: float, customer: Customer) -> None:
        """Look at the customer again if use is left to report."""
        if self.has_unreported_usage(customer):
            self._housekeeping.schedule(now, REPORT_RETRY_DELAY_MS, customer)

    def has_unreported_usage(self, customer: Customer) -> bool:
        """Whether use of the customer waits for its call."""
        has_unreported_units = bool(customer.report.unreported_units)
        return has_unreported_units and not customer.is_widely_shared
