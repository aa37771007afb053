"""Tests of usage sampling: lost totals, first samples, calls left out at random and held requests."""

from __future__ import annotations

import pytest

from limiter.model.events import CounterReply, Outcome
from limiter.policy.admission_rules import DECISION_WEIGHT
from limiter.policy.customer import Customer
from tests.support.policy_driver import PolicyDriver
from tests.support.policy_scenarios import get_counter_key, send_widely_shared_request


def test_a_total_above_the_even_split_is_applied_after_failed_calls(
    driver: PolicyDriver, customer: Customer
) -> None:
    """Units that other limiters forwarded while the calls failed must still be deducted."""
    sampler = driver.engine.usage_sampler
    for _ in range(2):
        driver.now += 250.0
        assert sampler.call_counter(driver.now, customer)
        driver.deliver_event(CounterReply(get_counter_key(customer), Outcome.REJECTED, 0.0, 2.0))
    customer.usage.set_tokens(20.0)
    assert sampler.call_counter(driver.now + 250.0, customer)
    driver.now += 1250.0
    # The even split would assume 7 units.
    total_units = customer.report.last_total_units + 40.0
    driver.deliver_event(CounterReply(get_counter_key(customer), Outcome.OK, total_units, 2.0))
    assert customer.usage.tokens == 0.0


def test_a_counter_that_lost_its_totals_does_not_lower_the_estimated_usage(
    driver: PolicyDriver, customer: Customer
) -> None:
    """A total below the last one means that the counter lost its data."""
    driver.now += 500.0
    driver.engine.customers.advance(customer, driver.now)
    customer.usage.set_tokens(5.0)
    customer.usage.expected_remote_units = 4.0
    customer.report.record_total(driver.now, 500.0)
    customer.report.set_unreported(2.0)
    assert driver.engine.usage_sampler.call_counter(driver.now, customer)
    driver.deliver_event(CounterReply(get_counter_key(customer), Outcome.OK, 2.0, 2.0))
    # The expected remote usage remains deducted.
    assert customer.usage.tokens == pytest.approx(5.0)


def test_the_first_sample_of_a_busy_customer_does_not_fill_the_bucket(driver: PolicyDriver) -> None:
    """Units that were used before the sample are deducted from the bucket."""
    driver.now = 5000.0
    driver.send_request(1)
    # 60 units in 5 s, of a quota with a rate of 10 per second and a burst of 20.
    driver.reply_to_counter_call(Outcome.OK, 60.0)
    assert driver.get_customer().usage.tokens < 5.0


@pytest.mark.parametrize(
    ("epoch_age_ms", "units_of_other_limiters", "remaining_tokens"),
    [
        pytest.param(5000.0, 0.0, 19.0, id="no other usage leaves the burst minus the own unit"),
        pytest.param(5000.0, 10.0, 16.0, id="steady usage of a fifth of the quota leaves four fifths"),
        pytest.param(5000.0, 30.0, 8.0, id="steady usage of three fifths of the quota leaves two fifths"),
        pytest.param(1000.0, 12.0, 8.0, id="usage above the rate since the start drains part of the bucket"),
        pytest.param(1000.0, 25.0, 0.0, id="usage beyond the burst leaves nothing"),
    ],
)
def test_the_first_total_of_an_epoch_distinguishes_steady_usage_from_a_drained_bucket(
    driver: PolicyDriver, epoch_age_ms: float, units_of_other_limiters: float, remaining_tokens: float
) -> None:
    """The quota has a rate of 10 units per second and a burst of 20. The limiter itself forwarded 1 unit."""
    driver.now = epoch_age_ms
    driver.send_request(1)
    driver.reply_to_counter_call(Outcome.OK, 1.0 + units_of_other_limiters)
    assert driver.get_customer().usage.tokens == pytest.approx(remaining_tokens)


@pytest.mark.parametrize(
    ("units_of_other_limiters", "remote_rate"),
    [
        pytest.param(20.0, 0.004, id="measured rate"),
        pytest.param(80.0, 0.01, id="at most the rate of the quota"),
    ],
)
def test_the_first_total_of_an_epoch_gives_the_rate_of_the_other_limiters(
    driver: PolicyDriver, units_of_other_limiters: float, remote_rate: float
) -> None:
    """The rate is in units per ms, measured over 5 s; the quota has a rate of 10 units per second."""
    driver.now = 5000.0
    driver.send_request(1)
    driver.reply_to_counter_call(Outcome.OK, 1.0 + units_of_other_limiters)
    assert driver.get_customer().usage.remote_rate == pytest.approx(remote_rate)


def test_a_counter_call_also_reports_the_units_of_calls_left_out_at_random(
    widely_shared_driver: PolicyDriver,
) -> None:
    """If half of the calls are made, each call reports twice the units."""
    widely_shared_driver.engine.usage_sampler.call_probability = 0.5
    for request_id in range(20):
        send_widely_shared_request(widely_shared_driver, request_id, customer=request_id)
    assert widely_shared_driver.pending_counter_calls
    assert {call.units_to_add for call in widely_shared_driver.pending_counter_calls} == {2.0}


def test_a_reply_decides_all_requests_held_for_it(widely_shared_driver: PolicyDriver) -> None:
    """One counter call decides on all requests that the customer sends while the call is in flight."""
    send_widely_shared_request(widely_shared_driver, 1)
    send_widely_shared_request(widely_shared_driver, 2)
    assert not widely_shared_driver.final_answers
    assert not widely_shared_driver.sent_attempts
    widely_shared_driver.reply_to_counter_call(Outcome.OK, 1.0)
    assert {1, 2} <= set(widely_shared_driver.sent_attempts) | set(widely_shared_driver.final_answers)


def test_new_customers_start_with_the_recent_admission_statistics_of_their_plan(
    widely_shared_driver: PolicyDriver,
) -> None:
    """A new customer starts with the recent admitted fraction and admission probability of its plan."""
    for request_id in range(40):
        send_widely_shared_request(widely_shared_driver, request_id, customer=request_id)
        widely_shared_driver.reply_to_counter_call(Outcome.OK, 60.0)
    assert widely_shared_driver.get_customer(0).admitted_fraction <= 1.0 - DECISION_WEIGHT + 1e-9
    send_widely_shared_request(widely_shared_driver, 100, customer=100)
    new_customer = widely_shared_driver.get_customer(100)
    assert new_customer.admitted_fraction < 0.7
    assert new_customer.usage.probability < 0.2
