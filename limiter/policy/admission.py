"""Admission: a new request is forwarded or rejected at once, or held for a moment until the counter replies.

It is admitted while the customer's token bucket holds its units, beyond that with the admission probability;
ceilings, concurrency quotas and the fleet's limit come on top. Types: limiter/model. Times are milliseconds.
"""

import math
from dataclasses import dataclass, field

from limiter.model.actions import RejectRequest
from limiter.model.events import ClientRequest, CounterReply, Outcome
from limiter.model.records import CustomerRecord, RequestRecord
from limiter.policy.concurrency_limit import ConcurrencyLimit
from limiter.policy.context import PolicyContext, Timer
from limiter.policy.retries import AttemptManager
from limiter.policy.throttle import SAMPLE_INTERVAL_MS, UPDATE_INTERVAL_MS
from limiter.policy.token_bucket import TokenBuckets
from limiter.policy.usage_gossip import UsageGossip
from limiter.policy.usage_sampling import UsageSampler

AMPLE_SHARE = 0.7  # of the burst: with fewer tokens in a bucket rebuilt from gossip, the counter is called
DECISION_WEIGHT = 0.3  # of the newest decision in a customer's admit share; a tenth of it in its plan's
REPORT_DELAY_MS = 1000.0  # that own use waits for its call while the bucket is well filled
HOUSEKEEPING_INTERVAL_MS = 50.0  # least time between two rounds, which follow need


@dataclass
class AdmissionController:
    """Decides on each new request, and keeps the customers that wait for a counter call."""

    context: PolicyContext
    buckets: TokenBuckets
    sampler: UsageSampler
    limit: ConcurrencyLimit
    attempts: AttemptManager
    gossip: UsageGossip
    pending: dict[int, CustomerRecord] = field(default_factory=dict)  # with use to report or requests held
    housekeeping_at: float = math.inf

    def handle_request(self, now: float, request: ClientRequest) -> None:
        """Decide on a new request, or hold it for the counter's reply."""
        settings = self.context.settings
        has_class = request.request_class < len(settings.request_classes)
        if request.plan >= len(settings.plans) or not has_class or request.id in self.attempts.requests:
            return
        customer = self.buckets.find_customer(now, request)
        self.buckets.advance(customer, now)
        self.attempts.earn_retries()
        request_class = settings.request_classes[request.request_class]
        useful_until = request.expires_at
        if request_class.late_weight <= 0:  # it ends with its objective, and leaves its capacity to others
            useful_until = min(useful_until, now + request_class.latency_objective)
        record = RequestRecord(request, request_class, customer, useful_until)
        if not self.buckets.is_spread_thin(customer):
            self._decide(now, record, has_sample=True)
        elif self.gossip.is_fresh(now):
            self._admit_by_gossip(now, record)
        else:
            self._admit_by_counter(now, record)

    def _admit_by_gossip(self, now: float, record: RequestRecord) -> None:
        """Judge by the bucket that gossip tells of; near its end the total of a slot decides."""
        request, customer = record.request, record.customer
        customer.probability = self.gossip.update_tokens(now, request, customer).probability
        if customer.tokens < max(request.units, AMPLE_SHARE * customer.plan.burst):
            record.probability_drawn = True
            if customer.tokens < request.units or self.context.random.random() >= customer.probability:
                customer.tokens = 0.0
            elif self._hold_for_slot(now, record):
                return
        self._decide(now, record, has_sample=True)

    def _hold_for_slot(self, now: float, record: RequestRecord) -> bool:
        """The slot's total says whether the request still fits, and counts all that asked."""
        record.report_weight = 0.0
        if record.customer.units_in_call is None:
            record.customer.unreported_units = record.reserved_units = record.request.units
        is_held = self._hold(now, record)
        record.reserved_units = 0.0
        if not is_held:
            record.customer.unreported_units = 0.0
        return is_held

    def _admit_by_counter(self, now: float, record: RequestRecord) -> None:
        """Judge by the reply to a call; requests left to chance report nothing, so others report for them."""
        customer = record.customer
        record.report_weight = 1 / self.sampler.call_probability
        if customer.units_in_call is None and customer.admit_share >= 0.5:
            record.reserved_units = record.request.units * record.report_weight
        customer.unreported_units += record.reserved_units
        if not self._hold(now, record):
            customer.unreported_units -= record.reserved_units
            record.reserved_units = record.report_weight = 0.0
            self._decide(now, record, has_sample=False)

    def _hold(self, now: float, record: RequestRecord) -> bool:
        """Hold a request for the call in flight, or make the call; False where neither can be."""
        request, customer = record.request, record.customer
        wait = self.context.settings.counter_timeout + 2 * HOUSEKEEPING_INTERVAL_MS
        if request.expires_at - now <= wait:
            return False  # its client would be gone first
        if not customer.held_requests:
            may_call = customer.units_in_call is None
            if not (may_call and self.sampler.call(now, request.customer, customer)):
                return False
        customer.reserved_units += record.reserved_units
        self.attempts.requests[request.id] = record
        customer.held_requests.append(record)
        self._schedule(now, wait - HOUSEKEEPING_INTERVAL_MS, request.customer, customer)
        return True

    def handle_counter_reply(self, now: float, reply: CounterReply) -> None:
        """Take in a reply and decide on the requests that were held for it."""
        customer = self.sampler.handle_reply(now, reply)
        if customer is not None:
            self._release(now, customer, has_sample=reply.outcome is Outcome.OK)

    def _release(self, now: float, customer: CustomerRecord, has_sample: bool) -> None:
        held = customer.take_held_requests()
        if held and not has_sample and held[0].probability_drawn and self.gossip.is_fresh(now):
            self.gossip.update_tokens(now, held[0].request, customer)
            has_sample = True
        for record in held:
            if record.request.id in self.attempts.requests:  # else its client went away
                self._decide(now, record, has_sample)

    def _decide(self, now: float, record: RequestRecord, has_sample: bool) -> None:
        """Forward or reject a request; without a sample chance stands for the token bucket."""
        customer = record.customer
        random = self.context.random.random
        fits = record.within_quota = self._fits_quota(now, record, has_sample)
        draws = has_sample and customer.plan.rate > 0 and not record.probability_drawn
        passes = fits or (draws and random() < customer.probability)
        is_thin = self.buckets.is_spread_thin(customer)
        if has_sample and is_thin:
            customer.admit_share += DECISION_WEIGHT * (passes - customer.admit_share)
            history = self.buckets.plan_history[record.request.plan]
            history.admit_share += DECISION_WEIGHT / 10 * (passes - history.admit_share)
            if not fits:
                history.probability += DECISION_WEIGHT * (customer.probability - history.probability)
        is_allowed = (
            passes and self._is_below_limits(record) and random() < self.limit.admission_probability()
        )
        is_admitted = is_allowed and self.attempts.send(now, record)
        if is_admitted:
            self._take_units(now, record, is_thin)
        else:
            self._reject(record)
        if not is_thin:
            self._report_usage(now, record, is_admitted)

    def _fits_quota(self, now: float, record: RequestRecord, has_sample: bool) -> bool:
        request, customer = record.request, record.customer
        plan = customer.plan
        if plan.rate > 0 and has_sample:
            return customer.tokens >= request.units
        if plan.rate > 0:
            return self.context.random.random() < min(customer.admit_share, customer.local_tokens)
        if plan.max_concurrency > 0 and self.gossip.is_fresh(now):
            usage = self.gossip.usage_of(now, request.customer, request.plan)
            return self.context.random.random() < usage.probability
        return True

    def _is_below_limits(self, record: RequestRecord) -> bool:
        request, customer, settings = record.request, record.customer, self.context.settings
        plan = customer.plan
        position = (settings.limiter_index - request.limiter_set_start) % settings.limiter_count
        owns_no_part = position >= customer.spread
        if plan.ceiling_rate > 0 and (owns_no_part or customer.ceiling_tokens < request.units):
            return False
        remote = customer.remote_in_flight
        if plan.rate > 0:
            remote = customer.remote_rate * self.attempts.selector.outliers.mean_latency
        most = max(1, plan.max_concurrency - int(remote))
        return plan.max_concurrency <= 0 or customer.in_flight < most

    def _take_units(self, now: float, record: RequestRecord, is_thin: bool) -> None:
        request, customer = record.request, record.customer
        self.attempts.requests[request.id] = record
        customer.spend(request.units, record.within_quota)
        customer.unreported_units += request.units * record.report_weight - record.reserved_units
        if is_thin or customer.plan.rate <= 0 < customer.plan.max_concurrency:
            self.gossip.record_forwarded(now, request.customer, request.plan, request.units)

    def _reject(self, record: RequestRecord) -> None:
        request, customer = record.request, record.customer
        self.attempts.requests.pop(request.id, None)
        customer.unreported_units -= record.reserved_units
        refilled_in = max(SAMPLE_INTERVAL_MS, customer.time_until_available(request.units))
        retry_after = UPDATE_INTERVAL_MS if record.within_quota else refilled_in
        self.context.actions.append(RejectRequest(request.id, retry_after))

    def _report_usage(self, now: float, record: RequestRecord, is_admitted: bool) -> None:
        """Call the counter now where the quota is nearly used, else later, for several requests at once."""
        key, customer = record.request.customer, record.customer
        burst = customer.plan.burst
        owes_much = customer.unreported_units * 4 * customer.spread > burst
        is_near_quota = customer.tokens < burst / 2 or customer.sampled_at < 0 or owes_much
        if not record.within_quota or (is_near_quota and is_admitted):
            self.sampler.call(now, key, customer)
        if customer.unreported_units:
            self._schedule(now, REPORT_DELAY_MS, key, customer)

    def _schedule(self, now: float, delay: float, key: int, customer: CustomerRecord) -> None:
        """Look at the customer again in housekeeping, after the delay at the latest."""
        self.pending[key] = customer
        if now + delay < self.housekeeping_at:
            self.housekeeping_at = now + delay
            self.context.set_timer(delay, Timer.HOUSEKEEPING)

    def handle_housekeeping(self, now: float) -> None:
        """Release requests whose reply never came, and report use that has waited for long."""
        if now < self.housekeeping_at - 1:  # of a timer that a sooner one has replaced
            return
        pending, self.pending = self.pending, {}
        self.housekeeping_at = math.inf
        timeout = self.context.settings.counter_timeout
        for key, customer in pending.items():
            if now - customer.call_started_at > timeout + HOUSEKEEPING_INTERVAL_MS / 2:
                self._release(now, customer, has_sample=False)
            reports = not self.buckets.is_spread_thin(customer)
            if reports and customer.unreported_units and now - customer.sampled_at > REPORT_DELAY_MS:
                self.sampler.call(now, key, customer)
            if customer.held_requests:
                self._schedule(now, timeout + HOUSEKEEPING_INTERVAL_MS, key, customer)
            elif reports and customer.unreported_units:
                self._schedule(now, REPORT_DELAY_MS / 4, key, customer)
