"""Plans, drivers and sequences of events that several tests of the policy share."""

from __future__ import annotations

from collections.abc import Iterable

from limiter.model.events import Outcome
from limiter.model.settings import QuotaPlan
from limiter.policy.customer import Customer
from limiter.policy.usage_sampling import WIDELY_SHARED_EPOCH_BURSTS
from tests.support.policy_driver import PolicyDriver, make_driver

PLANS_WITHOUT_QUOTA = (QuotaPlan(),)
WIDELY_SHARED_PLAN = QuotaPlan(rate=2.0, burst=8.0)
WIDELY_SHARED_EPOCH_MS = WIDELY_SHARED_EPOCH_BURSTS * 4000.0


def make_sampled_customer(driver: PolicyDriver) -> Customer:
    """Return customer 1 after one request and one usage sample, which showed no remote usage."""
    driver.send_request(1)
    driver.complete_attempts_in_flight()
    reply_to_calls_with_remote_usage(driver, 0.0)
    return driver.get_customer()


def get_counter_key(customer: Customer) -> int:
    """Return the counter key under which the customer's usage was last reported."""
    assert customer.report.key is not None
    return customer.report.key


def reply_to_calls_with_remote_usage(driver: PolicyDriver, units: float) -> None:
    """Reply to the pending counter calls of customer 1, each after `units` of remote usage."""
    while driver.pending_counter_calls:
        call = driver.pending_counter_calls[0]
        total = driver.get_customer().report.last_total_units + call.units_to_add + units
        driver.reply_to_counter_call(Outcome.OK, total)


def make_widely_shared_driver(
    seed: int = 1, now: float = 10 * WIDELY_SHARED_EPOCH_MS + 2000.0
) -> PolicyDriver:
    """Create a driver of one of 200 limiters, whose part of WIDELY_SHARED_PLAN's burst is less than one unit.

    By default, the limiter starts two seconds after the start of an epoch of the counter keys.
    """
    driver = make_driver(seed=seed, limiter_count=200, plans=(WIDELY_SHARED_PLAN,))
    driver.now = now
    driver.engine.context.started_at = now
    return driver


def send_widely_shared_request(
    driver: PolicyDriver, request_id: int, customer: int = 1, client_timeout: float = 3000.0
) -> None:
    """Deliver a request of a customer whose requests may go to 120 limiters."""
    driver.send_request(request_id, customer=customer, limiters_in_set=120.0, client_timeout=client_timeout)


def collect_first_attempt_endpoints(driver: PolicyDriver, request_ids: Iterable[int]) -> set[bytes]:
    """Send requests, each from a different customer, and return the servers of their first attempts.

    Each request is completed before the next one is sent.
    """
    endpoint_ids = set()
    for request_id in request_ids:
        driver.send_request(request_id, customer=request_id)
        driver.complete_attempts_in_flight()
        if request_id in driver.sent_attempts:
            endpoint_ids.add(driver.sent_attempts[request_id][0].endpoint_id)
    return endpoint_ids
