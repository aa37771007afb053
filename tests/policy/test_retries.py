"""Tests of retries: their servers, the time-outs of attempts and the retry budget."""

from __future__ import annotations

import pytest

from limiter.model.events import Outcome
from limiter.model.settings import Idempotency, RequestClass
from tests.support.policy_driver import make_driver, make_endpoint_id
from tests.support.policy_scenarios import PLANS_WITHOUT_QUOTA


@pytest.mark.parametrize("seed", range(20))
def test_a_retry_goes_to_another_server_even_if_it_costs_more(seed: int) -> None:
    """The failed server may have the lowest cost only because it fails fast."""
    driver = make_driver(server_count=2, seed=seed, plans=PLANS_WITHOUT_QUOTA)
    latencies = {make_endpoint_id(0): 10.0, make_endpoint_id(1): 9000.0}
    for request_id in range(10, 20):
        driver.send_request(request_id, customer=request_id)
        for sent in driver.list_attempts_in_flight():
            driver.end_attempt(sent, Outcome.OK, latencies[sent.endpoint_id])
    driver.send_request(1)
    [failed] = driver.list_attempts_in_flight()
    driver.end_attempt(failed, Outcome.ERROR, 1.0)
    first, second = driver.sent_attempts[1]
    assert first.endpoint_id != second.endpoint_id


def test_an_attempt_times_out_at_half_the_objective_while_there_is_retry_budget() -> None:
    """Most responses arrive in that time, and a retry can still succeed within the objective."""
    driver = make_driver(plans=PLANS_WITHOUT_QUOTA)
    driver.send_request(1)
    [first] = driver.list_attempts_in_flight()
    assert first.timeout == 500.0
    # The retry of this attempt uses up the budget.
    driver.end_attempt(first, Outcome.CONNECT_FAILED, 1.0)
    driver.send_request(2, customer=2)
    assert driver.sent_attempts[2][0].timeout == 1000.0


def test_the_retry_budget_limits_retries_to_a_quarter_of_the_requests() -> None:
    """Otherwise retries would multiply the load of a failing fleet."""
    driver = make_driver(server_count=8, plans=PLANS_WITHOUT_QUOTA)
    for request_id in range(100):
        driver.send_request(request_id, customer=request_id)
        while driver.list_attempts_in_flight():
            driver.end_attempt(driver.list_attempts_in_flight()[0], Outcome.CONNECT_FAILED, 1.0)
    attempts = sum(len(attempts) for attempts in driver.sent_attempts.values())
    assert 100 < attempts <= 125


@pytest.mark.parametrize(
    ("window", "timeout"),
    [(2000.0, 500.0), (600.0, 1000.0)],
    ids=["retry possible", "too late for a retry"],
)
def test_an_attempt_times_out_early_only_if_its_retry_would_be_within_the_window(
    window: float, timeout: float
) -> None:
    """If a retry would come after the window, the limiter waits for the response for as long as it can."""
    request_class = RequestClass(1000.0, 3000.0, Idempotency.IDEMPOTENCY_KEY, dedup_window=window)
    driver = make_driver(plans=PLANS_WITHOUT_QUOTA, request_classes=(request_class,))
    driver.send_request(1)
    assert driver.sent_attempts[1][0].timeout == timeout
