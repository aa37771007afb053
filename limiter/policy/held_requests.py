"""Requests that are held until the counter replies.

Types are defined in limiter/model. Times are in milliseconds.
"""

from __future__ import annotations

from limiter.policy.attempt_dispatch import AttemptDispatcher
from limiter.policy.context import EngineContext
from limiter.policy.customer import Customer
from limiter.policy.customer_housekeeping import CustomerHousekeeping
from limiter.policy.open_request import OpenRequest
from limiter.policy.usage_sampling import UsageSampler

# A customer with held requests is checked this long after the counter timeout. The check may be late by up
# to the same time.
HOUSEKEEPING_MARGIN_MS = 50.0


class HeldRequests:
    """The requests that wait for a counter call in flight, by customer.

    While requests of a customer are held, a counter call for that customer is in flight.
    """

    def __init__(
        self,
        context: EngineContext,
        usage_sampler: UsageSampler,
        attempt_dispatcher: AttemptDispatcher,
        housekeeping: CustomerHousekeeping,
    ) -> None:
        """Create an empty collection.

        Args:
            context: State shared by the components of the engine.
            usage_sampler: Makes the calls to the counter.
            attempt_dispatcher: Has the open requests, including the held ones.
            housekeeping: Schedules the check that ends the hold if no reply arrives.
        """
        self._usage_sampler = usage_sampler
        self._attempt_dispatcher = attempt_dispatcher
        self._housekeeping = housekeeping
        self._requests_by_customer: dict[int, list[OpenRequest]] = {}  # by customer key
        self._counter_timeout = context.settings.counter_timeout

    def hold(self, now: float, request: OpenRequest) -> bool:
        """Hold a request for its customer's counter call; make the call unless held requests wait for one.

        Returns:
            Whether the request is held; False if no call can be made, or if the client might stop waiting
            before the hold ends.
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
        """Return whether requests of the customer are held."""
        return customer.key in self._requests_by_customer

    def is_call_overdue(self, now: float, customer: Customer) -> bool:
        """Return whether the customer's last counter call should have timed out by now."""
        call_duration = now - customer.report.call_started_at
        return call_duration > self._counter_timeout + HOUSEKEEPING_MARGIN_MS / 2

    def schedule_recheck(self, now: float, customer: Customer) -> None:
        """Schedule a check of a customer with held requests after its counter call should have timed out."""
        self._housekeeping.schedule(now, self._counter_timeout + HOUSEKEEPING_MARGIN_MS, customer)

    def take_requests(self, customer: Customer) -> list[OpenRequest]:
        """Remove and return the customer's held requests, in order of arrival.

        Clients of some of them may have disconnected.
        """
        customer.report.release_reservation()
        return self._requests_by_customer.pop(customer.key, [])
