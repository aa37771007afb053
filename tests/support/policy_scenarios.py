"""Starting points that several tests of the policy share."""

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
    """Customer 1 after one request and one usage sample, which showed no remote usage."""
    driver.send_request(1)
    driver.complete_attempts_in_flight()
    answer_calls_with_remote_usage(driver, 0.0)
    return driver.get_customer()


def get_counter_key(customer: Customer) -> int:
    """The key under which the customer was counted last."""
    assert customer.report.key is not None
    return customer.report.key


def answer_calls_with_remote_usage(driver: PolicyDriver, units: float) -> None:
    """Answer the counter calls of customer 1 as a counter to which other limiters added `units` for each."""
    while driver.pending_counter_calls:
        call = driver.pending_counter_calls[0]
        total = driver.get_customer().report.last_total_units + call.units_to_add + units
        driver.reply_to_counter_call(Outcome.OK, total)


def make_widely_shared_driver(
    seed: int = 1, now: float = 10 * WIDELY_SHARED_EPOCH_MS + 2000.0
) -> PolicyDriver:
    """A limiter of 200, each with a share of WIDE_PLAN's burst that is below one request.

    Unless another time is given, it is started two seconds into an epoch of the counter's names.
    """
    driver = make_driver(seed=seed, limiter_count=200, plans=(WIDELY_SHARED_PLAN,))
    driver.now = now
    driver.engine.context.started_at = now
    return driver


def send_widely_shared_request(
    driver: PolicyDriver, request_id: int, customer: int = 1, client_timeout: float = 3000.0
) -> None:
    """Feed a request of a customer whose requests go to 120 limiters."""
    driver.send_request(request_id, customer=customer, limiters_in_set=120.0, client_timeout=client_timeout)


def collect_first_attempt_endpoints(driver: PolicyDriver, request_ids: Iterable[int]) -> set[bytes]:
    """Make these requests, each of its own customer, complete each; the servers of their first attempts."""
    chosen = set()
    for request_id in request_ids:
        driver.send_request(request_id, customer=request_id)
        driver.complete_attempts_in_flight()
        if request_id in driver.sent_attempts:
            chosen.add(driver.sent_attempts[request_id][0].endpoint_id)
    return chosen
