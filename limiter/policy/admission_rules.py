"""The rules that decide whether a new request is admitted, in the order in which they are applied.

Types are defined in limiter/model. Times are in milliseconds.
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

# Weight of the newest decision in the moving average of a customer's admitted fraction.
DECISION_WEIGHT = 0.3
# Weight of the newest decision in the moving average of a plan's admitted fraction. It is smaller, because
# decisions on many customers contribute to that average.
PLAN_DECISION_WEIGHT = DECISION_WEIGHT / 10


class AdmissionDecision(Enum):
    """Whether a new request is admitted, and if not, the reason for the rejection."""

    ADMITTED = auto()
    OVER_QUOTA = auto()
    OVER_CEILING = auto()
    OVER_CONCURRENCY_QUOTA = auto()
    FLEET_OVERLOADED = auto()
    NO_SERVER = auto()


class AdmissionRules:
    """Decides on new requests. `evaluate` fixes the order of the rules and of their random draws."""

    def __init__(
        self,
        context: EngineContext,
        customers: CustomerRegistry,
        usage_gossip: UsageGossip,
        outlier_detector: OutlierDetector,
        concurrency_limit: ConcurrencyLimit,
    ) -> None:
        """Store the components that the rules read.

        Args:
            context: State shared by the components of the engine.
            customers: The customers with recent requests, and the recent decisions by plan.
            usage_gossip: Usage that the other limiters report by gossip.
            outlier_detector: Supplies the mean latency of an attempt.
            concurrency_limit: Supplies the admission probability that the load of the fleet permits.
        """
        self._context = context
        self._customers = customers
        self._usage_gossip = usage_gossip
        self._outlier_detector = outlier_detector
        self._concurrency_limit = concurrency_limit

    def evaluate(self, now: float, request: OpenRequest, *, has_sample: bool) -> AdmissionDecision:
        """Return the decision on a request, before a server is chosen for it.

        Args:
            now: Time of the decision.
            request: The request. Its admission state records whether it is within the quota.
            has_sample: Whether the customer's token bucket is based on a sample of its usage.
        """
        if not self._is_admitted_by_quota(now, request, has_sample):
            return AdmissionDecision.OVER_QUOTA
        if self._exceeds_ceiling(request):
            return AdmissionDecision.OVER_CEILING
        if self._exceeds_concurrency_quota(request.customer):
            return AdmissionDecision.OVER_CONCURRENCY_QUOTA
        if self._context.random.random() >= self._concurrency_limit.admission_probability():
            return AdmissionDecision.FLEET_OVERLOADED
        return AdmissionDecision.ADMITTED

    def _is_admitted_by_quota(self, now: float, request: OpenRequest, has_sample: bool) -> bool:
        """Return whether the request is within the quota or admitted beyond it by a random draw."""
        within_quota = self._is_within_quota(now, request, has_sample)
        request.admission.record_quota_check(within_quota=within_quota)
        passes = within_quota or (has_sample and self._is_admitted_by_random_draw(request))
        if has_sample and request.customer.is_widely_shared:
            self._record_decision(request, passes)
        return passes

    def _is_within_quota(self, now: float, request: OpenRequest, has_sample: bool) -> bool:
        customer = request.customer
        plan = customer.plan
        if plan.rate > 0 and has_sample:
            return customer.usage.tokens >= request.request.units
        if plan.rate > 0:
            return self._is_admitted_without_sample(customer)
        if plan.max_concurrency > 0 and self._usage_gossip.is_fresh(now):
            usage = self._usage_gossip.get_usage(now, request.request.customer, request.request.plan)
            return self._context.random.random() < usage.probability
        return True

    def _is_admitted_without_sample(self, customer: Customer) -> bool:
        """Return the result of a random draw.

        The probability is the fraction of the customer's recent requests that was admitted, limited to the
        tokens in the fallback bucket, which refills at this limiter's even share of the rate.
        """
        probability = min(customer.admitted_fraction, customer.local_share.fallback_tokens)
        return self._context.random.random() < probability

    def _is_admitted_by_random_draw(self, request: OpenRequest) -> bool:
        """Draw by the admission probability; return False if this was done when the request arrived."""
        customer = request.customer
        if customer.plan.rate <= 0 or request.admission.is_random_draw_done:
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
        """Return whether the request exceeds this limiter's share of the customer's ceiling."""
        customer = request.customer
        if customer.plan.ceiling_rate <= 0:
            return False
        settings = self._context.settings
        index_in_limiter_set = (
            settings.limiter_index - request.request.limiter_set_start
        ) % settings.limiter_count
        has_no_ceiling_share = index_in_limiter_set >= customer.limiter_set_size
        return has_no_ceiling_share or customer.local_share.ceiling_tokens < request.request.units

    def _exceeds_concurrency_quota(self, customer: Customer) -> bool:
        """Return whether this limiter uses all of the concurrency quota that the other limiters leave."""
        plan = customer.plan
        if plan.max_concurrency <= 0:
            return False
        remote_attempts_in_flight = customer.remote_attempts_in_flight
        if plan.rate > 0:
            remote_attempts_in_flight = customer.usage.remote_rate * self._outlier_detector.mean_latency
        # One attempt is always allowed, because the attempts of the other limiters are only an estimate.
        max_in_flight = max(1, plan.max_concurrency - int(remote_attempts_in_flight))
        return customer.attempts_in_flight >= max_in_flight
