"""Clients: they send requests and retries through limiters of their customer's set, and give up in time."""

from __future__ import annotations

from dataclasses import dataclass

from limiter.model.events import ClientDisconnected, ClientRequest, Outcome
from scale.hollow.attempts import AttemptDriver
from scale.hollow.context import Context
from scale.hollow.customers import Arrivals, Customer
from scale.hollow.limiters import Limiter, LimiterHost
from scale.hollow.requests import Request, RequestTracker
from scale.hollow.tally import RequestOutcome

UNITS_PER_REQUEST = 1.0


@dataclass(frozen=True, slots=True)
class PlannedRequest:
    """A request that a client is going to send."""

    customer: int
    limiter: int  # number of the limiter to send it to, unless that one is known to be down
    request_class: int
    work: float  # ms of one core
    client_timeout: float  # ms
    is_retry: bool


class Clients:
    """Sends the drawn requests, retries rejected ones and ends requests at their deadlines."""

    def __init__(
        self,
        context: Context,
        arrivals: Arrivals,
        host: LimiterHost,
        attempts: AttemptDriver,
        ledger: RequestTracker,
    ) -> None:
        """Send nothing until `start`."""
        # All requests so far, also those of the warm-up and those that reached no limiter.
        self.sent_count = 0
        self._parameters = context.experiment.clients
        self._classes = context.experiment.classes
        self._limiter_count = context.experiment.limiters
        self._customers = context.customers
        self._clock = context.clock
        self._rng = context.rng
        self._tally = context.tally
        self._arrivals = arrivals
        self._host = host
        self._attempts = attempts
        self._ledger = ledger
        self._next_arrival = 0
        self._last_request_id = 0

    def start(self) -> None:
        """Schedule the first request."""
        if self._arrivals.times:
            self._clock.call_at(self._arrivals.times[0], self._arrive)

    def request_rejected(self, limiter: Limiter, request_id: int) -> None:
        """Carry out RejectRequest; the client of a first request may retry."""
        request = limiter.requests.get(request_id)
        if request is None or request.outcome is not None:
            return
        if request.attempt_count == 0 and request.quota.is_half_free(self._clock.now):
            self._tally.request_rejected_within_quota(request.arrived)
        self._ledger.finish(limiter, request_id, RequestOutcome.REJECTED)
        if not request.event.is_retry and self._rng.random() < self._parameters.retry_probability:
            self._schedule_retry(limiter, request)

    def _arrive(self) -> None:
        """Send the next drawn request, and schedule the one after it."""
        arrivals = self._arrivals
        index = self._next_arrival
        self._next_arrival += 1
        if self._next_arrival < len(arrivals.times):
            self._clock.call_at(arrivals.times[self._next_arrival], self._arrive)
        planned = PlannedRequest(
            customer=arrivals.customers[index],
            limiter=arrivals.limiters[index],
            request_class=arrivals.classes[index],
            work=arrivals.works[index],
            client_timeout=arrivals.client_timeouts[index],
            is_retry=False,
        )
        self._send(planned)

    def _send(self, planned: PlannedRequest) -> None:
        now = self._clock.now
        customer = self._customers[planned.customer]
        limiter = self._limiter_for(customer, planned.limiter)
        self.sent_count += 1
        self._tally.request_arrived(now)
        if not limiter.is_up:
            self._tally.request_ended(now, now, RequestOutcome.UNREACHABLE, planned.is_retry)
            return
        self._last_request_id += 1
        event = ClientRequest(
            id=self._last_request_id,
            customer=planned.customer,
            plan=customer.plan,
            request_class=planned.request_class,
            units=UNITS_PER_REQUEST,
            limiter_set_size=float(customer.limiter_set_size),
            limiter_set_start=float(customer.limiter_set_start),
            expires_at=now + planned.client_timeout,
            is_retry=planned.is_retry,
        )
        request = Request(event, now, customer.quota, planned.work)
        self._ledger.open(limiter, request)
        self._clock.call_at(event.expires_at, self._expire, limiter, limiter.incarnation, request)
        limiter.feed(event)

    def _limiter_for(self, customer: Customer, number: int) -> Limiter:
        """Return that limiter, or one of the customer's set that is up if it is known to be down."""
        limiters = self._host.limiters
        limiter = limiters[number]
        if limiter.is_up or self._clock.now - limiter.state_since < self._parameters.failover_delay:
            return limiter
        members = range(customer.limiter_set_start, customer.limiter_set_start + customer.limiter_set_size)
        candidates = [limiters[member % self._limiter_count] for member in members]
        available = [candidate for candidate in candidates if candidate.is_up]
        return self._rng.choice(available) if available else limiter

    def _schedule_retry(self, limiter: Limiter, request: Request) -> None:
        rejected = request.event
        customer = self._customers[rejected.customer]
        number = limiter.number
        if self._rng.random() < self._parameters.retry_elsewhere_probability:
            member = customer.limiter_set_start + self._rng.randrange(customer.limiter_set_size)
            number = member % self._limiter_count
        timeout_share = self._rng.uniform(*self._parameters.timeout_share)
        retry = PlannedRequest(
            customer=rejected.customer,
            limiter=number,
            request_class=rejected.request_class,
            work=request.work,
            client_timeout=timeout_share * self._classes[rejected.request_class].deadline,
            is_retry=True,
        )
        delay = self._rng.uniform(*self._parameters.retry_delay)
        self._clock.call_at(self._clock.now + delay, self._send, retry)

    def _expire(self, limiter: Limiter, incarnation: int, request: Request) -> None:
        """End a request at its deadline: attempts time out.

        The driver ends the request if the policy engine did not.
        """
        if limiter.incarnation != incarnation or request.event.id not in limiter.requests:
            return
        for attempt in request.in_flight[:]:
            self._attempts.end(attempt, Outcome.TIMEOUT)
        if request.outcome is None:
            is_idempotent = self._classes[request.event.request_class].is_idempotent
            may_retry = not request.may_have_run or is_idempotent
            self._ledger.end_request(request, RequestOutcome.REJECTED if may_retry else RequestOutcome.FAILED)
            self._tally.driver_ended_request()
            limiter.feed(ClientDisconnected(request.event.id))
        self._ledger.forget_if_over(limiter, request)
