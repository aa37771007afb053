"""Requests that are held until the counter has replied. Types: limiter/model. Times are milliseconds."""

from __future__ import annotations

from limiter.policy.attempt_dispatch import AttemptDispatcher
from limiter.policy.context import EngineContext
from limiter.policy.customer import Customer
from limiter.policy.customer_housekeeping import CustomerHousekeeping
from limiter.policy.open_request import OpenRequest
from limiter.policy.usage_sampling import UsageSampler

# Time by which a round of housekeeping may come late after the counter's time-out.
HOUSEKEEPING_MARGIN_MS = 50.0


class HeldRequests:
    """The requests that wait for a call in flight, by customer.

    As long as requests of a customer are held, a call of that customer is in flight.
    """

    def __init__(
        self,
        context: EngineContext,
        usage_sampler: UsageSampler,
        attempt_dispatcher: AttemptDispatcher,
        housekeeping: CustomerHousekeeping,
    ) -> None:
        """Start without held requests.

        Args:
            context: What the parts of the engine share.
            usage_sampler: Makes the calls to the counter.
            attempt_dispatcher: The open requests, held ones among them.
            housekeeping: Releases requests whose reply never comes.
        """
        self._usage_sampler = usage_sampler
        self._attempt_dispatcher = attempt_dispatcher
        self._housekeeping = housekeeping
        self._requests_by_customer: dict[int, list[OpenRequest]] = {}  # The key is the customer's.
        self._counter_timeout = context.settings.counter_timeout

    def hold(self, now: float, request: OpenRequest) -> bool:
        """Hold a request for the call in flight that others wait for, or make a call for it.

        Returns:
            Whether it is held; False where no call can be made, or its client would give up first.
        """
        customer = request.customer
        recheck_delay = self._counter_timeout + HOUSEKEEPING_MARGIN_MS
        if request.request.expires_at - now <= recheck_delay + HOUSEKEEPING_MARGIN_MS:
            return False
        if customer.key not in self._requests_by_customer and not self._start_counter_call(now, customer):
            return False
        customer.report.reserve(request.admission.reserved_units)
        self._attempt_dispatcher.add_open_request(request)
        self._requests_by_customer.setdefault(customer.key, []).append(request)
        self._housekeeping.schedule(now, recheck_delay, customer)
        return True

    def _start_counter_call(self, now: float, customer: Customer) -> bool:
        return not customer.report.is_call_in_flight and self._usage_sampler.call_counter(now, customer)

    def has_requests(self, customer: Customer) -> bool:
        """Whether requests of the customer are held."""
        return customer.key in self._requests_by_customer

    def is_call_overdue(self, now: float, customer: Customer) -> bool:
        """Whether the customer's last call should have ended by now."""
        call_duration = now - customer.report.call_started_at
        return call_duration > self._counter_timeout + HOUSEKEEPING_MARGIN_MS / 2

    def schedule_recheck(self, now: float, customer: Customer) -> None:
        """Look at a customer with held requests again once its call should have ended."""
        self._housekeeping.schedule(now, self._counter_timeout + HOUSEKEEPING_MARGIN_MS, customer)

    def take_requests(self, customer: Customer) -> list[OpenRequest]:
        """Take out the customer's requests, in the order in which they came; clients may have left."""
        customer.report.release_reservation()
        return self._requests_by_customer.pop(customer.key, [])
