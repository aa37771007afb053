"""Starting points that several tests of the policy share."""

from __future__ import annotations

from collections.abc import Iterable

from limiter.model.events import Outcome
from limiter.model.settings import QuotaPlan
from limiter.policy.customer import Customer
from limiter.policy.usage_sampling import WIDELY_SHARED_EPOCH_BURSTS
from tests.support.policy_driver import PolicyDriver, make_driver

NO_QUOTA = (QuotaPlan(),)
WIDE_PLAN = QuotaPlan(rate=2.0, burst=8.0)
WIDE_EPOCH_MS = WIDELY_SHARED_EPOCH_BURSTS * 4000.0


def sampled_customer(driver: PolicyDriver) -> Customer:
    """Customer 1 after one request and one usage sample, which showed no remote usage."""
    driver.request(1)
    driver.complete_in_flight()
    answer_calls_with_remote_usage(driver, 0.0)
    return driver.customer_record()


def counter_key_of(customer: Customer) -> int:
    """The key under which the customer was counted last."""
    assert customer.report.key is not None
    return customer.report.key


def answer_calls_with_remote_usage(driver: PolicyDriver, units: float) -> None:
    """Answer the counter calls of customer 1 as a counter to which other limiters added `units` for each."""
    while driver.counter_calls:
        call = driver.counter_calls[0]
        total = driver.customer_record().report.last_total_units + call.units_to_add + units
        driver.answer_counter(Outcome.OK, total)


def make_wide_driver(seed: int = 1, now: float = 10 * WIDE_EPOCH_MS + 2000.0) -> PolicyDriver:
    """A limiter of 200, each with a share of WIDE_PLAN's burst that is below one request.

    Unless another time is given, it is started two seconds into an epoch of the counter's names.
    """
    driver = make_driver(seed=seed, limiter_count=200, plans=(WIDE_PLAN,))
    driver.now = now
    driver.engine.context.started_at = now
    return driver


def request_wide(driver: PolicyDriver, request_id: int, customer: int = 1, patience: float = 3000.0) -> None:
    """Feed a request of a customer whose requests go to 120 limiters."""
    driver.request(request_id, customer=customer, size=120.0, patience=patience)


def first_endpoints(driver: PolicyDriver, request_ids: Iterable[int]) -> set[bytes]:
    """Make these requests, each of its own customer, complete each; the servers of their first attempts."""
    chosen = set()
    for request_id in request_ids:
        driver.request(request_id, customer=request_id)
        driver.complete_in_flight()
        if request_id in driver.sent:
            chosen.add(driver.sent[request_id][0].endpoint_id)
    return chosen
