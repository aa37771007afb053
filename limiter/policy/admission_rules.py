"""The rules that a new request has to pass, one after the other, and the verdict on it.

Types: limiter/model. Times are milliseconds.
"""

from __future__ import annotations

from enum import Enum, auto

from limiter.policy.concurrency_limit import ConcurrencyLimit
from limiter.policy.context import EngineContext
from limiter.policy.customer import Customer
from limiter.policy.customer_registry import CustomerRegistry
from limiter.policy.open_request import OpenRequest
from limiter.policy.outlier_detection import OutlierDetector
from limiter.policy.usage_gossip import UsageGossip

# Weight of the newest decision in a customer's share of admitted requests.
DECISION_WEIGHT = 0.3
# The same in the share of its plan, which many customers have a part in.
PLAN_DECISION_WEIGHT = DECISION_WEIGHT / 10


class Verdict(Enum):
    """Whether a new request is admitted, and if not, the rule that rejects it."""

    ADMITTED = auto()
    OVER_QUOTA = auto()
    OVER_CEILING = auto()
    OVER_CONCURRENCY_QUOTA = auto()
    FLEET_OVERLOADED = auto()
    NO_SERVER = auto()


class AdmissionRules:
    """Judges new requests; the order of the rules, and of their random draws, is that of `judge`."""

    def __init__(
        self,
        context: EngineContext,
        customers: CustomerRegistry,
        gossip: UsageGossip,
        outliers: OutlierDetector,
        fleet_limit: ConcurrencyLimit,
    ) -> None:
        """Gather what the rules look at.

        Args:
            context: What the parts of the engine share.
            customers: The customers with recent requests, and how their plans fared.
            gossip: What other limiters forwarded.
            outliers: Knows the mean latency of an attempt.
            fleet_limit: Knows how loaded the fleet of servers is.
        """
        self._context = context
        self._customers = customers
        self._gossip = gossip
        self._outliers = outliers
        self._fleet_limit = fleet_limit

    def judge(self, now: float, request: OpenRequest, *, has_sample: bool) -> Verdict:
        """Return the verdict on a request before a server is chosen for it.

        Args:
            now: Time of the decision.
            request: The request; whether it is within its quota is noted in it.
            has_sample: Whether a sample of its customer's use stands behind the token bucket.
        """
        if not self._passes_quota(now, request, has_sample):
            return Verdict.OVER_QUOTA
        if self._exceeds_ceiling(request):
            return Verdict.OVER_CEILING
        if self._exceeds_concurrency_quota(request.customer):
            return Verdict.OVER_CONCURRENCY_QUOTA
        if self._context.random.random() >= self._fleet_limit.admission_probability():
            return Verdict.FLEET_OVERLOADED
        return Verdict.ADMITTED

    def _passes_quota(self, now: float, request: OpenRequest, has_sample: bool) -> bool:
        """Whether the quota holds the request, or the draw by the admission probability admits it."""
        within_quota = self._is_within_quota(now, request, has_sample)
        request.admission.record_quota(within_quota=within_quota)
        passes = within_quota or (has_sample and self._passes_draw(request))
        if has_sample and request.customer.is_widely_shared:
            self._record_decision(request, passes)
        return passes

    def _is_within_quota(self, now: float, request: OpenRequest, has_sample: bool) -> bool:
        customer = request.customer
        plan = customer.plan
        if plan.rate > 0 and has_sample:
            return customer.usage.tokens >= request.request.units
        if plan.rate > 0:
            return self._passes_without_sample(customer)
        if plan.max_concurrency > 0 and self._gossip.is_fresh(now):
            usage = self._gossip.get_usage(now, request.request.customer, request.request.plan)
            return self._context.random.random() < usage.probability
        return True

    def _passes_without_sample(self, customer: Customer) -> bool:
        """Draw by the share of requests admitted of late, within this limiter's part of the rate."""
        probability = min(customer.admitted_fraction, customer.local_share.fallback_tokens)
        return self._context.random.random() < probability

    def _passes_draw(self, request: OpenRequest) -> bool:
        """Draw by the admission probability, unless that was done at entry."""
        customer = request.customer
        if customer.plan.rate <= 0 or request.admission.probability_drawn:
            return False
        return self._context.random.random() < customer.usage.probability

    def _record_decision(self, request: OpenRequest, passes: bool) -> None:
        customer = request.customer
        history = self._customers.plan_history[request.request.plan]
        customer.record_decision(DECISION_WEIGHT, is_admitted=passes)
        history.record_decision(PLAN_DECISION_WEIGHT, is_admitted=passes)
        if not request.admission.within_quota:
            history.record_probability(DECISION_WEIGHT, customer.usage.probability)

    def _exceeds_ceiling(self, request: OpenRequest) -> bool:
        """Whether this limiter's part of the ceiling does not hold the request."""
        customer = request.customer
        if customer.plan.ceiling_rate <= 0:
            return False
        settings = self._context.settings
        position = (settings.limiter_index - request.request.limiter_set_start) % settings.limiter_count
        owns_no_part = position >= customer.limiter_set_size
        return owns_no_part or customer.local_share.ceiling_tokens < request.request.units

    def _exceeds_concurrency_quota(self, customer: Customer) -> bool:
        """Whether as many attempts are in flight from here as the other limiters leave of the quota."""
        plan = customer.plan
        if plan.max_concurrency <= 0:
            return False
        remote_in_flight = customer.remote_attempts_in_flight
        if plan.rate > 0:
            remote_in_flight = customer.usage.remote_rate * self._outliers.mean_latency
        # One attempt is always allowed: the others' are an estimate.
        max_in_flight = max(1, plan.max_concurrency - int(remote_in_flight))
        return customer.attempts_in_flight >= max_in_flight
