"""Usage samples: lost counts, first samples, calls left out by chance and requests held for a reply."""

from __future__ import annotations

import pytest

from limiter.model.events import CounterReply, Outcome
from limiter.model.records import CustomerRecord
from limiter.policy.admission import DECISION_WEIGHT
from tests.support.policy_driver import PolicyDriver
from tests.support.policy_scenarios import request_thin


def test_after_failed_calls_the_total_counts_where_it_exceeds_the_local_split(
    driver: PolicyDriver, customer: CustomerRecord
) -> None:
    """Usage during the gap is not forgiven."""
    customer.tokens = 20.0
    customer.failed_calls = 2
    customer.counter_total = 0.0
    customer.counter_total_at = driver.now
    customer.units_in_call = 0.0
    driver.now += 1000.0
    driver.feed(CounterReply(customer.counter_key, Outcome.OK, 40.0, 2.0))  # the split would stand for 7
    assert customer.tokens == 0.0


def test_a_counter_that_lost_its_totals_shows_no_lower_usage(
    driver: PolicyDriver, customer: CustomerRecord
) -> None:
    """A total below the known one is a lost count."""
    driver.now += 500.0
    driver.engine.buckets.advance(customer, driver.now)
    customer.tokens = 5.0
    customer.expected_remote_units = 4.0
    customer.counter_total = 500.0
    customer.units_in_call = 2.0
    driver.feed(CounterReply(customer.counter_key, Outcome.OK, 2.0, 2.0))
    assert customer.tokens == pytest.approx(5.0)  # the expected remote usage stays used


def test_the_first_sample_of_a_busy_customer_does_not_fill_the_bucket(driver: PolicyDriver) -> None:
    """What was used before the sample is taken out of the bucket."""
    driver.now = 5000.0
    driver.request(1)
    driver.answer_counter(Outcome.OK, 60.0)  # 60 units in 5 s of a quota of 10 a second and 20 at once
    assert driver.customer_record().tokens < 5.0


def test_a_counter_call_stands_for_those_left_out_by_chance(thin_driver: PolicyDriver) -> None:
    """With half of the calls made, each reports twice the units."""
    thin_driver.engine.sampler.call_probability = 0.5
    for request_id in range(20):
        request_thin(thin_driver, request_id, customer=request_id)
    assert thin_driver.counter_calls
    assert {call.amount for call in thin_driver.counter_calls} == {2.0}


def test_a_reply_decides_all_requests_held_for_it(thin_driver: PolicyDriver) -> None:
    """One counter call serves all requests of the customer meanwhile."""
    request_thin(thin_driver, 1)
    request_thin(thin_driver, 2)
    assert not thin_driver.answered
    assert not thin_driver.sent
    thin_driver.answer_counter(Outcome.OK, 1.0)
    assert {1, 2} <= set(thin_driver.sent) | set(thin_driver.answered)


def test_new_customers_of_a_plan_start_from_the_decisions_on_the_others(thin_driver: PolicyDriver) -> None:
    """They take over the plan's recent share of admitted requests and probability."""
    for request_id in range(40):
        request_thin(thin_driver, request_id, customer=request_id)
        thin_driver.answer_counter(Outcome.OK, 60.0)
    assert thin_driver.customer_record(0).admit_share <= 1.0 - DECISION_WEIGHT + 1e-9
    request_thin(thin_driver, 100, customer=100)
    new_customer = thin_driver.customer_record(100)
    assert new_customer.admit_share < 0.7
    assert new_customer.probability < 0.2
