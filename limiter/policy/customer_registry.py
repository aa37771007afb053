"""Looks up, creates and updates the customer records of one limiter.

A customer's token bucket is estimated from samples of its usage through all limiters. While samples are
missing, each limiter enforces an even share of the quota instead. Types are defined in limiter/model. Times
are in milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass

from limiter.model.events import AttemptEnded, ClientRequest
from limiter.model.settings import QuotaPlan
from limiter.policy import throttle
from limiter.policy.context import EngineContext
from limiter.policy.customer import Customer, CustomerTable
from limiter.policy.gossiped_usage import CUSTOMER_IDLE_TIMEOUT_MS
from limiter.policy.local_share import LocalShare
from limiter.policy.sampled_usage import SampledUsage, even_split_remote_rate

# A sample that has been due for longer than this counts as missing.
SAMPLE_OVERDUE_MS = 500.0
# Consecutive counter calls without a total that are tolerated; after more failures samples count as missing.
MAX_CONSECUTIVE_FAILED_CALLS = 1


@dataclass(slots=True, eq=False)
class PlanHistory:
    """Recent admission decisions on a plan's customers, which initialize new customers of the plan.

    Attributes:
        admitted_fraction: Moving average of the fraction of requests that were admitted, over the decisions
            that were based on a sample.
        probability: Moving average of the admission probability of customers without tokens.
    """

    admitted_fraction: float = 1.0
    probability: float = 1.0

    def record_decision(self, weight: float, *, is_admitted: bool) -> None:
        """Update the admitted fraction with one decision that was based on a sample."""
        self.admitted_fraction += weight * (float(is_admitted) - self.admitted_fraction)

    def record_probability(self, weight: float, probability: float) -> None:
        """Update the average with the admission probability of a customer without tokens."""
        self.probability += weight * (probability - self.probability)


class CustomerRegistry:
    """The customers with recent requests, and the recent admission decisions by plan."""

    def __init__(self, context: EngineContext) -> None:
        """Start with no customers."""
        self._context = context
        settings = context.settings
        self.uses_counter = settings.has_counter and not settings.meter_period
        self.table = CustomerTable(CUSTOMER_IDLE_TIMEOUT_MS)
        self.plan_history = [PlanHistory() for _ in settings.plans]

    def get_or_create(self, now: float, request: ClientRequest) -> Customer:
        """Return the customer of a request, created or updated to the request's plan and limiter set size."""
        settings = self._context.settings
        plan = settings.plans[request.plan]
        limiter_set_size = min(max(1.0, request.limiter_set_size), float(settings.limiter_count))
        customer = self.table.remove(request.customer)
        if customer is None:
            customer = self._create_customer(now, request, limiter_set_size)
        elif customer.limiter_set_size != limiter_set_size or customer.plan is not plan:
            is_widely_shared = self._is_widely_shared(plan, limiter_set_size)
            customer.change_plan(plan, limiter_set_size, is_widely_shared=is_widely_shared)
        self.table.insert(customer, now)
        return customer

    def _create_customer(self, now: float, request: ClientRequest, limiter_set_size: float) -> Customer:
        plan = self._context.settings.plans[request.plan]
        history = self.plan_history[request.plan]
        # A restart of the limiter must not refill the bucket of the ceiling, so this limiter's share of the
        # bucket is empty when the limiter starts, and refills from then on.
        seconds_since_start = (now - self._context.started_at) / 1000
        refilled_ceiling_units = min(plan.ceiling_burst, seconds_since_start * plan.ceiling_rate)
        return Customer(
            key=request.customer,
            plan=plan,
            limiter_set_size=limiter_set_size,
            is_widely_shared=self._is_widely_shared(plan, limiter_set_size),
            usage=SampledUsage(
                tokens=plan.burst / limiter_set_size,
                refilled_at=now,
                probability=history.probability,
                probability_updated_at=now,
                remote_rate=even_split_remote_rate(plan, limiter_set_size),
            ),
            local_share=LocalShare(ceiling_tokens=refilled_ceiling_units / limiter_set_size),
            admitted_fraction=history.admitted_fraction,
        )

    def _is_widely_shared(self, plan: QuotaPlan, limiter_set_size: float) -> bool:
        """Return whether the counter is used and each limiter's even share of the burst is under one unit."""
        return self.uses_counter and 0 < plan.burst < limiter_set_size and plan.rate > 0

    def lacks_samples(self, customer: Customer, now: float) -> bool:
        """Return whether the even split replaces the customer's samples, since they are missing or overdue.

        It never replaces the samples of a widely shared customer.
        """
        if not self.uses_counter:
            return not self._context.settings.meter_period
        report = customer.report
        due_since = report.sample_due_since
        is_overdue = due_since is not None and now - due_since > SAMPLE_OVERDUE_MS
        if not is_overdue and report.consecutive_failed_calls <= MAX_CONSECUTIVE_FAILED_CALLS:
            return False
        return not customer.is_widely_shared

    def advance(self, customer: Customer, now: float) -> None:
        """Refill the customer's token buckets up to `now`."""
        plan = customer.plan
        usage = customer.usage
        elapsed = max(0.0, now - usage.refilled_at)
        if self.lacks_samples(customer, now):
            usage.advance_by_even_split(elapsed, plan, customer.limiter_set_size)
        else:
            usage.advance(elapsed, plan)
        customer.local_share.refill(elapsed, plan, customer.limiter_set_size)

    def record_attempt_end(
        self, now: float, customer: Customer, ended: AttemptEnded, billable_units: float | None
    ) -> None:
        """Update a customer's usage from the billed units and metered usage of an attempt that has ended.

        Args:
            now: Time at which the attempt ended.
            customer: The customer of the attempt, already advanced to `now`.
            ended: The event that reports the end of the attempt.
            billable_units: Units that were deducted for its request within the quota; None if none were.
        """
        if ended.billed_units is not None and billable_units is not None:
            customer.record_billing_difference(ended.billed_units - billable_units)
        if ended.metered_utilization is None:
            return
        if customer.plan.rate <= 0:
            customer.record_metered_concurrency(ended.metered_utilization * customer.plan.max_concurrency)
        else:
            self._record_metered_rate(now, customer, ended.metered_utilization)

    def _record_metered_rate(self, now: float, customer: Customer, utilization: float) -> None:
        usage = customer.usage
        interval = max(throttle.SAMPLE_INTERVAL_MS, self._context.settings.meter_period)
        if now - usage.sampled_at < interval:
            return
        elapsed = now - max(usage.sampled_at, usage.probability_updated_at)
        used_units = utilization * customer.plan.rate / 1000 * elapsed
        usage.record_sample(now, customer.plan, max(0.0, used_units - usage.local_units))
