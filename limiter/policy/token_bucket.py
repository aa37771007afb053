"""A customer's quota, rebuilt as a token bucket from samples of its use through all limiters.

The bucket fills at the plan's rate up to its burst, less what this limiter forwards and what the others are
estimated to. Where samples are missing, the quota is split evenly over the customer's limiters instead.
Types: limiter/model. Times are milliseconds.
"""

import math

from limiter.model.events import ClientRequest
from limiter.model.records import CustomerRecord, PlanHistory
from limiter.model.tables import CustomerTable
from limiter.policy import throttle
from limiter.policy.context import PolicyContext
from limiter.policy.usage_gossip import FORGET_AFTER_MS

OVERDUE_MS = 500.0  # a sample wanted for longer than this counts as missing


class TokenBuckets:
    """The token buckets of all customers with recent requests."""

    def __init__(self, context: PolicyContext) -> None:
        """Begin without any customer."""
        self.context = context
        self.uses_counter = context.settings.has_counter and not context.settings.meter_period
        self.table = CustomerTable(FORGET_AFTER_MS)
        self.plan_history = [PlanHistory() for _ in context.settings.plans]

    def find_customer(self, now: float, request: ClientRequest) -> CustomerRecord:
        """The record of the request's customer, made or brought in line with its plan and spread."""
        settings = self.context.settings
        plan = settings.plans[request.plan]
        spread = min(max(1.0, request.limiter_set_size), float(settings.limiter_count))
        customer = self.table.take(request.customer)
        if customer is None:
            customer = self._new_customer(now, request.plan, spread)
        elif customer.spread != spread or customer.plan is not plan:
            customer.change_plan(plan, spread)
        self.table.put(request.customer, customer, now)
        return customer

    def _new_customer(self, now: float, plan_index: int, spread: float) -> CustomerRecord:
        plan, history = self.context.settings.plans[plan_index], self.plan_history[plan_index]
        # A start may be a restart that refills nothing: the ceiling's part counts from this start on.
        since_start = (now - self.context.started_at) / 1000
        ceiling_tokens = min(plan.ceiling_burst, since_start * plan.ceiling_rate) / spread
        customer = CustomerRecord(plan, spread, plan.burst / spread, now, ceiling_tokens, updated_at=now)
        customer.remote_rate = plan.rate / 1000 * (spread - 1) / spread
        customer.admit_share = history.admit_share
        customer.probability = history.probability
        customer.local_tokens = 1.0  # one request of each customer at first
        return customer

    def is_spread_thin(self, customer: CustomerRecord) -> bool:
        """Whether a limiter's share of the burst is under one request: it sees too little to go by."""
        plan = customer.plan
        return self.uses_counter and 0 < plan.burst < customer.spread and plan.rate > 0

    def lacks_samples(self, customer: CustomerRecord, now: float) -> bool:
        """Whether a sample is missing or late, whatever the cause, so that the even split stands for it."""
        if not self.uses_counter:
            return not self.context.settings.meter_period
        wanted_since = customer.sample_wanted_since
        is_overdue = customer.failed_calls > 1 or (wanted_since >= 0 and now - wanted_since > OVERDUE_MS)
        return is_overdue and not self.is_spread_thin(customer)

    def advance(self, customer: CustomerRecord, now: float) -> None:
        """Bring the bucket to now: filled at the rate, less what the others are estimated to use."""
        plan, spread, rate = customer.plan, customer.spread, customer.plan.rate / 1000
        elapsed = max(0.0, now - customer.tokens_at)
        remote_rate, most = customer.remote_rate, plan.burst
        if self.lacks_samples(customer, now):
            remote_rate, most = rate * (spread - 1) / spread, plan.burst / spread
        customer.tokens = min(most, max(0.0, customer.tokens + (rate - remote_rate) * elapsed))
        customer.expected_remote_units += remote_rate * elapsed
        ceiling_refill = plan.ceiling_rate / 1000 / spread * elapsed
        customer.ceiling_tokens = min(plan.ceiling_burst / spread, customer.ceiling_tokens + ceiling_refill)
        # At most one request: many limiters without samples must not admit a flood together.
        customer.local_tokens = min(1.0, customer.local_tokens + rate * elapsed / spread)
        customer.tokens_at += elapsed

    def record_sample(self, now: float, customer: CustomerRecord, remote_units: float) -> None:
        """A sample of the others' use: correct the bucket, then the utilization and the probability."""
        rate, burst = customer.plan.rate / 1000, customer.plan.burst
        elapsed = max(now - customer.sampled_at, throttle.SAMPLE_INTERVAL_MS / 4)
        corrected = customer.tokens + customer.expected_remote_units - remote_units
        customer.tokens = min(burst, max(0.0, corrected))
        weight = 1 - math.exp(-elapsed / 1000)
        customer.remote_rate += weight * (remote_units / elapsed - customer.remote_rate)
        used = customer.local_units + remote_units
        customer.mark_sampled(now)
        sample = used / max(elapsed, throttle.SAMPLE_INTERVAL_MS) / max(rate, 1e-9)
        weight = throttle.EWMA_WEIGHT
        if sample <= customer.utilization:
            # A rise counts at once, a fall over the burst time: few units make samples jump to zero.
            weight = min(1 - math.exp(-elapsed * rate / max(burst, 1e-9)), throttle.EWMA_WEIGHT)
        customer.utilization += weight * (sample - customer.utilization)
        if now - customer.updated_at >= throttle.UPDATE_INTERVAL_MS:
            customer.probability = throttle.updated_probability(customer.probability, customer.utilization)
            customer.updated_at = now
