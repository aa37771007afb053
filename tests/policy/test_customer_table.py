"""Tests of the customers that a limiter remembers."""

from __future__ import annotations

import pytest

from limiter.model.events import Outcome
from limiter.policy import customer as customer_module
from tests.support.policy_driver import make_driver
from tests.support.policy_scenarios import PLANS_WITHOUT_QUOTA

MAX_CUSTOMERS = 50


def test_customers_that_each_send_one_request_are_remembered_up_to_a_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Otherwise clients that send 2,000 requests a second for new customers take 96 MB within a minute."""
    monkeypatch.setattr(customer_module, "MAX_CUSTOMERS", MAX_CUSTOMERS, raising=False)
    driver = make_driver(plans=PLANS_WITHOUT_QUOTA)
    records = driver.engine.customers.table.records
    for customer in range(4 * MAX_CUSTOMERS):
        driver.send_request(customer, customer=customer)
        driver.complete_attempts_in_flight()
        driver.reply_to_all_counter_calls(Outcome.OK, 1.0)
        assert len(records) <= MAX_CUSTOMERS
    # The customers that sent the latest requests are those that are remembered.
    assert list(records) == list(range(3 * MAX_CUSTOMERS, 4 * MAX_CUSTOMERS))


def test_a_customer_with_an_attempt_in_flight_is_remembered_beyond_the_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The end of the attempt is recorded for the customer."""
    monkeypatch.setattr(customer_module, "MAX_CUSTOMERS", 1, raising=False)
    driver = make_driver(plans=PLANS_WITHOUT_QUOTA)
    driver.send_request(1, customer=1)
    [attempt] = driver.list_attempts_in_flight()
    driver.send_request(2, customer=2)
    assert 1 in driver.engine.customers.table.records
    driver.end_attempt(attempt, Outcome.OK)
    assert driver.engine.customers.table.records[1].attempts_in_flight == 0
