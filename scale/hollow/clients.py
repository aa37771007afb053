"""Clients, which send requests and retries to the limiters of their customer's set, with a deadline each."""

from __future__ import annotations

from dataclasses import dataclass

from limiter.model.events import ClientDisconnected, ClientRequest, Outcome
from scale.hollow.attempts import AttemptDriver
from scale.hollow.context import SimulationContext
from scale.hollow.customers import Arrivals, Customer
from scale.hollow.limiters import Limiter, LimiterHost
from scale.hollow.requests import Request, RequestTracker
from scale.hollow.tally import RequestOutcome

UNITS_PER_REQUEST = 1.0


@dataclass(frozen=True, slots=True)
class PlannedRequest:
    """A request that a client will send."""

    customer: int  # index of the customer
    limiter_number: int  # number of the limiter to send it to, unless clients know that it is down
    request_class: int  # index of the request class
    work_ms: float  # ms of one core
    client_timeout: float  # ms
    is_retry: bool


class Clients:
    """Sends the requests drawn before the run, retries rejected ones and ends requests at their deadlines."""

    def __init__(
        self,
        context: SimulationContext,
        arrivals: Arrivals,
        limiter_host: LimiterHost,
        attempt_driver: AttemptDriver,
        request_tracker: RequestTracker,
    ) -> None:
        """Create the clients; they send nothing until `start` is called."""
        # All requests so far, including those of the warm-up and those that reached no limiter.
        self.sent_request_count = 0
        self._client_parameters = context.experiment.clients
        self._classes = context.experiment.classes
        self._limiter_count = context.experiment.limiters
        self._customers = context.customers
        self._clock = context.clock
        self._rng = context.rng
        self._tally = context.tally
        self._arrivals = arrivals
        self._limiter_host = limiter_host
        self._attempt_driver = attempt_driver
        self._request_tracker = request_tracker
        self._next_arrival = 0
        self._last_request_id = 0

    def start(self) -> None:
        """Schedule the first request."""
        if self._arrivals.times:
            self._clock.call_at(self._arrivals.times[0], self._send_next_arrival)

    def handle_rejection(self, limiter: Limiter, request_id: int) -> None:
        """Execute RejectRequest; if the request is not a retry itself, its client may retry it."""
        request = limiter.requests.get(request_id)
        if request is None or request.outcome is not None:
            return
        if request.attempt_count == 0 and request.quota.is_half_free(self._clock.now):
            self._tally.record_rejection_within_quota(request.arrived_at)
        self._request_tracker.apply_engine_outcome(limiter, request_id, RequestOutcome.REJECTED)
        if not request.event.is_retry and self._rng.random() < self._client_parameters.retry_probability:
            self._schedule_retry(limiter, request)

    def _send_next_arrival(self) -> None:
        """Send the next request drawn before the run, and schedule the one after it."""
        arrivals = self._arrivals
        index = self._next_arrival
        self._next_arrival += 1
        if self._next_arrival < len(arrivals.times):
            self._clock.call_at(arrivals.times[self._next_arrival], self._send_next_arrival)
        planned = PlannedRequest(
            customer=arrivals.customers[index],
            limiter_number=arrivals.limiters[index],
            request_class=arrivals.classes[index],
            work_ms=arrivals.work_amounts_ms[index],
            client_timeout=arrivals.client_timeouts[index],
            is_retry=False,
        )
        self._send_request(planned)

    def _send_request(self, planned: PlannedRequest) -> None:
        now = self._clock.now
        customer = self._customers[planned.customer]
        limiter = self._choose_limiter(customer, planned.limiter_number)
        self.sent_request_count += 1
        self._tally.record_request_sent(now)
        if not limiter.is_up:
            self._tally.record_request_outcome(now, now, RequestOutcome.UNREACHABLE, planned.is_retry)
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
        request = Request(event, now, customer.quota, planned.work_ms)
        self._request_tracker.add_request(limiter, request)
        self._clock.call_at(event.expires_at, self._end_at_deadline, limiter, limiter.incarnation, request)
        limiter.process_event(event)

    def _choose_limiter(self, customer: Customer, number: int) -> Limiter:
        """Return the limiter with that number, or another one if clients know that it is down.

        Clients learn of it `failover_delay` after the limiter went down. The replacement is drawn from the
        limiters of the customer's set that are up. If none is up, the limiter with that number is returned.
        """
        limiters = self._limiter_host.limiters
        limiter = limiters[number]
        if (
            limiter.is_up
            or self._clock.now - limiter.last_state_change_at < self._client_parameters.failover_delay
        ):
            return limiter
        members = range(customer.limiter_set_start, customer.limiter_set_start + customer.limiter_set_size)
        candidates = [limiters[member % self._limiter_count] for member in members]
        available = [candidate for candidate in candidates if candidate.is_up]
        return self._rng.choice(available) if available else limiter

    def _schedule_retry(self, limiter: Limiter, request: Request) -> None:
        rejected = request.event
        customer = self._customers[rejected.customer]
        number = limiter.number
        if self._rng.random() < self._client_parameters.retry_at_other_limiter_probability:
            member = customer.limiter_set_start + self._rng.randrange(customer.limiter_set_size)
            number = member % self._limiter_count
        timeout_fraction = self._rng.uniform(*self._client_parameters.client_timeout_fraction)
        retry = PlannedRequest(
            customer=rejected.customer,
            limiter_number=number,
            request_class=rejected.request_class,
            work_ms=request.work_ms,
            client_timeout=timeout_fraction * self._classes[rejected.request_class].deadline,
            is_retry=True,
        )
        delay = self._rng.uniform(*self._client_parameters.retry_delay)
        self._clock.call_at(self._clock.now + delay, self._send_request, retry)

    def _end_at_deadline(self, limiter: Limiter, incarnation: int, request: Request) -> None:
        """Time out the attempts of a request at its deadline.

        If the policy engine does not give the request a final outcome then, the driver ends it.
        """
        if limiter.incarnation != incarnation or request.event.id not in limiter.requests:
            return
        for attempt in request.attempts_in_flight[:]:
            self._attempt_driver.end_attempt(attempt, Outcome.TIMEOUT)
        if request.outcome is None:
            is_idempotent = self._classes[request.event.request_class].is_idempotent
            may_retry = not request.may_have_run or is_idempotent
            self._request_tracker.end_request(
                request, RequestOutcome.REJECTED if may_retry else RequestOutcome.FAILED
            )
            self._tally.record_request_ended_by_driver()
            limiter.process_event(ClientDisconnected(request.event.id))
        self._request_tracker.remove_if_over(limiter, request)
