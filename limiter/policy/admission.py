"""Admission control: forwards or rejects each new request, or holds it until the counter replies.

A request of a customer that is not widely shared is decided at once. For a widely shared customer, whose
requests reach one limiter too rarely to sample its usage, the decision uses gossip while gossip is fresh, and
otherwise waits for a reply of the counter. If no counter call can be made either, the request is admitted at
random, with the fraction of the customer's recent requests that was admitted as the probability. The rules
are in `admission_rules.py`. Types are defined in limiter/model. Times are in milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass

from limiter.model.actions import RejectRequest
from limiter.model.events import ClientRequest, CounterReply, Outcome
from limiter.policy.admission_rules import AdmissionDecision, AdmissionRules
from limiter.policy.attempt_dispatch import AttemptDispatcher
from limiter.policy.context import EngineContext
from limiter.policy.customer import Customer
from limiter.policy.customer_housekeeping import CustomerHousekeeping
from limiter.policy.customer_registry import CustomerRegistry
from limiter.policy.held_requests import HeldRequests
from limiter.policy.open_request import OpenRequest
from limiter.policy.throttle import SAMPLE_INTERVAL_MS, UPDATE_INTERVAL_MS
from limiter.policy.usage_gossip import UsageGossip
from limiter.policy.usage_reporting import UsageReporter
from limiter.policy.usage_sampling import UsageSampler

# Minimum fraction of the burst that a bucket rebuilt from gossip must hold for a request to be admitted
# without a counter call.
MIN_BURST_FRACTION_WITHOUT_COUNTER_CALL = 0.7
# The counter call that a request waits for already adds the request's units if at least this fraction of the
# customer's recent requests was admitted.
MIN_ADMITTED_FRACTION_TO_RESERVE = 0.5


@dataclass(eq=False)
class AdmissionController:
    """Admits, holds or rejects each new request.

    Attributes:
        context: State shared by the components of the engine.
        customers: The customers with recent requests.
        usage_sampler: Calls the counter and processes its replies.
        usage_gossip: Usage that the other limiters report by gossip.
        admission_rules: The rules that decide on a request.
        attempt_dispatcher: Sends the attempts of admitted requests.
        held_requests: Requests that wait for a reply of the counter.
        usage_reporter: Reports the usage of customers to the counter.
        housekeeping: Customers that are due for a periodic check.
    """

    context: EngineContext
    customers: CustomerRegistry
    usage_sampler: UsageSampler
    usage_gossip: UsageGossip
    admission_rules: AdmissionRules
    attempt_dispatcher: AttemptDispatcher
    held_requests: HeldRequests
    usage_reporter: UsageReporter
    housekeeping: CustomerHousekeeping

    def handle_request(self, now: float, request: ClientRequest) -> None:
        """Decide on a new request, or hold it until the counter replies."""
        if not self._is_valid(request):
            return
        customer = self.customers.get_or_create(now, request)
        self.customers.advance(customer, now)
        self.attempt_dispatcher.retry_budget.record_request()
        open_request = self._create_open_request(now, request, customer)
        if not customer.is_widely_shared:
            self._decide(now, open_request, has_sample=True)
        elif self.usage_gossip.is_fresh(now):
            self._decide_by_gossip(now, open_request)
        else:
            self._decide_by_counter(now, open_request)

    def _is_valid(self, request: ClientRequest) -> bool:
        """Return whether the settings define the request's plan and class, and no open request has its id."""
        settings = self.context.settings
        has_plan = request.plan < len(settings.plans)
        has_class = request.request_class < len(settings.request_classes)
        return has_plan and has_class and request.id not in self.attempt_dispatcher.open_requests

    def _create_open_request(self, now: float, request: ClientRequest, customer: Customer) -> OpenRequest:
        request_class = self.context.settings.request_classes[request.request_class]
        response_deadline = request.expires_at
        if request_class.late_weight <= 0:
            # A late response has no value, so the request ends at its latency objective, which frees its
            # capacity for other requests.
            response_deadline = min(response_deadline, now + request_class.latency_objective)
        return OpenRequest(request, request_class, customer, response_deadline)

    def _decide_by_gossip(self, now: float, request: OpenRequest) -> None:
        """Decide by the token bucket that is rebuilt from gossip, if it is well filled.

        Otherwise the admission probability is applied, and a request that it admits is held for the counter's
        total of the current slot (a short epoch in which the total alone decides).
        """
        customer = request.customer
        usage = customer.usage
        units = request.request.units
        quota = self.usage_gossip.estimate_quota(now, request.request)
        usage.set_tokens(quota.tokens)
        usage.set_probability(quota.probability)
        if usage.tokens < max(units, MIN_BURST_FRACTION_WITHOUT_COUNTER_CALL * customer.plan.burst):
            request.admission.mark_random_draw_done()
            if usage.tokens < units or self.context.random.random() >= usage.probability:
                usage.empty_bucket()
            elif self._hold_for_slot_total(now, request):
                return
        self._decide(now, request, has_sample=True)

    def _hold_for_slot_total(self, now: float, request: OpenRequest) -> bool:
        """Hold a request until the counter returns the total of the current slot.

        The total shows whether the request fits into the slot. The total includes all requests for which the
        counter was called, whether they are admitted or not.

        Returns:
            Whether the request is held.
        """
        admission = request.admission
        report = request.customer.report
        admission.set_report_weight(0.0)
        if not report.is_call_in_flight:
            report.set_unreported(request.request.units)
            admission.reserve_units(request.request.units)
        is_held = self.held_requests.hold(now, request)
        admission.release_reservation()
        if not is_held:
            report.set_unreported(0.0)
        return is_held

    def _decide_by_counter(self, now: float, request: OpenRequest) -> None:
        """Hold a request for a counter call, which is made with the call probability, or decide without one.

        If the call probability is below 1, each call also reports the units of the requests for which no call
        was made: the units are multiplied by the inverse of the probability.
        """
        customer = request.customer
        admission = request.admission
        weight = 1 / self.usage_sampler.call_probability
        admission.set_report_weight(weight)
        is_likely_admitted = customer.admitted_fraction >= MIN_ADMITTED_FRACTION_TO_RESERVE
        if is_likely_admitted and not customer.report.is_call_in_flight:
            admission.reserve_units(request.request.units * weight)
        customer.report.add_unreported(admission.reserved_units)
        if self.held_requests.hold(now, request):
            return
        customer.report.add_unreported(-admission.reserved_units)
        admission.release_reservation()
        admission.set_report_weight(0.0)
        self._decide(now, request, has_sample=False)

    def handle_counter_reply(self, now: float, reply: CounterReply) -> None:
        """Process a reply of the counter and decide on the requests that were held for it."""
        customer = self.usage_sampler.handle_reply(now, reply)
        if customer is not None:
            self._decide_held_requests(now, customer, has_sample=reply.outcome is Outcome.OK)

    def handle_housekeeping(self, now: float) -> None:
        """Decide on requests whose counter call is overdue, and report usage whose report is overdue."""
        for customer in self.housekeeping.take_due(now):
            if self.held_requests.is_call_overdue(now, customer):
                self._decide_held_requests(now, customer, has_sample=False)
            self.usage_reporter.report_overdue_usage(now, customer)
            if self.held_requests.has_requests(customer):
                self.held_requests.schedule_recheck(now, customer)
            else:
                self.usage_reporter.schedule_recheck(now, customer)

    def _decide_held_requests(self, now: float, customer: Customer, has_sample: bool) -> None:
        """Decide on the requests that were held for a counter call of the customer."""
        requests = self.held_requests.take_requests(customer)
        if requests and not has_sample and requests[0].admission.is_random_draw_done:
            has_sample = self._set_tokens_from_gossip(now, requests[0])
        for request in requests:
            has_client = request.request.id in self.attempt_dispatcher.open_requests
            if has_client:
                self._decide(now, request, has_sample=has_sample)

    def _set_tokens_from_gossip(self, now: float, request: OpenRequest) -> bool:
        """Set the bucket from gossip, if gossip is fresh, in place of a slot total that was not received.

        Returns:
            Whether gossip is fresh.
        """
        is_fresh = self.usage_gossip.is_fresh(now)
        if is_fresh:
            request.customer.usage.set_tokens(self.usage_gossip.estimate_quota(now, request.request).tokens)
        return is_fresh

    def _decide(self, now: float, request: OpenRequest, *, has_sample: bool) -> None:
        """Forward or reject a request, and report its usage.

        Args:
            now: Time of the decision.
            request: The request.
            has_sample: Whether the customer's token bucket is based on a sample of its usage.
        """
        decision = self.admission_rules.evaluate(now, request, has_sample=has_sample)
        if decision is AdmissionDecision.ADMITTED and not self.attempt_dispatcher.send_attempt(now, request):
            decision = AdmissionDecision.NO_SERVER
        if decision is AdmissionDecision.ADMITTED:
            self._record_forwarded_units(now, request)
        else:
            self._reject(request)
        self.usage_reporter.report_after_decision(
            now, request, is_admitted=decision is AdmissionDecision.ADMITTED
        )

    def _record_forwarded_units(self, now: float, open_request: OpenRequest) -> None:
        """Charge a forwarded request's units to its customer, and queue them for the counter and gossip."""
        request = open_request.request
        customer = open_request.customer
        admission = open_request.admission
        self.attempt_dispatcher.add_open_request(open_request)
        customer.record_forwarded_units(request.units, within_quota=admission.within_quota)
        customer.report.add_unreported(request.units * admission.report_weight - admission.reserved_units)
        is_limited_by_concurrency = customer.plan.rate <= 0 < customer.plan.max_concurrency
        if is_limited_by_concurrency or customer.is_widely_shared:
            self.usage_gossip.record_forwarded_units(now, request.customer, request.plan, request.units)

    def _reject(self, open_request: OpenRequest) -> None:
        """Reject a request, and tell its client how long to wait before a retry."""
        request = open_request.request
        customer = open_request.customer
        admission = open_request.admission
        self.attempt_dispatcher.discard_open_request(request.id)
        customer.report.add_unreported(-admission.reserved_units)
        if admission.within_quota:
            retry_after = UPDATE_INTERVAL_MS
        else:
            retry_after = max(SAMPLE_INTERVAL_MS, customer.time_until_available(request.units))
        self.context.actions.append(RejectRequest(request.id, retry_after))
