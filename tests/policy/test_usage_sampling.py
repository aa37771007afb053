"""Usage samples: lost counts, first samples, calls left out by chance and requests held for a reply."""

from __future__ import annotations

import pytest

from limiter.model.events import CounterReply, Outcome
from limiter.policy.admission_rules import DECISION_WEIGHT
from limiter.policy.customer import Customer
from tests.support.policy_driver import PolicyDriver
from tests.support.policy_scenarios import get_counter_key, send_widely_shared_request


def test_after_failed_calls_the_total_counts_where_it_exceeds_the_local_split(
    driver: PolicyDriver, customer: Customer
) -> None:
    """Usage during the gap is not forgiven."""
    sampler = driver.engine.usage_sampler
    for _ in range(2):
        driver.now += 250.0
        assert sampler.call_counter(driver.now, customer)
        driver.deliver_event(CounterReply(get_counter_key(customer), Outcome.REJECTED, 0.0, 2.0))
    customer.usage.set_tokens(20.0)
    assert sampler.call_counter(driver.now + 250.0, customer)
    driver.now += 1250.0
    used_by_others = customer.report.last_total_units + 40.0  # the split would stand for 7
    driver.deliver_event(CounterReply(get_counter_key(customer), Outcome.OK, used_by_others, 2.0))
    assert customer.usage.tokens == 0.0


def test_a_counter_that_lost_its_totals_shows_no_lower_usage(
    driver: PolicyDriver, customer: Customer
) -> None:
    """A total below the known one is a lost count."""
    driver.now += 500.0
    driver.engine.customers.advance(customer, driver.now)
    customer.usage.set_tokens(5.0)
    customer.usage.expected_remote_units = 4.0
    customer.report.record_total(driver.now, 500.0)
    customer.report.set_unreported(2.0)
    assert driver.engine.usage_sampler.call_counter(driver.now, customer)
    driver.deliver_event(CounterReply(get_counter_key(customer), Outcome.OK, 2.0, 2.0))
    assert customer.usage.tokens == pytest.approx(5.0)  # the expected remote usage stays used


def test_the_first_sample_of_a_busy_customer_does_not_fill_the_bucket(driver: PolicyDriver) -> None:
    """What was used before the sample is taken out of the bucket."""
    driver.now = 5000.0
    driver.send_request(1)
    driver.reply_to_counter_call(Outcome.OK, 60.0)  # 60 units in 5 s of a quota of 10 a second and 20 at once
    assert driver.get_customer().usage.tokens < 5.0


@pytest.mark.parametrize(
    ("epoch_age_ms", "used_by_others", "tokens_left"),
    [
        pytest.param(5000.0, 0.0, 19.0, id="nobody else used any: the burst less the own unit"),
        pytest.param(5000.0, 10.0, 16.0, id="steady use of a fifth of the quota leaves four fifths"),
        pytest.param(5000.0, 30.0, 8.0, id="steady use of three fifths of the quota leaves two"),
        pytest.param(1000.0, 12.0, 8.0, id="use above the rate at first drained the bucket"),
        pytest.param(1000.0, 25.0, 0.0, id="use beyond the burst left nothing"),
    ],
)
def test_the_first_total_of_an_epoch_tells_steady_use_from_a_drained_bucket(
    driver: PolicyDriver, epoch_age_ms: float, used_by_others: float, tokens_left: float
) -> None:
    """The quota is 10 units a second and 20 at once; the limiter itself forwarded one unit."""
    driver.now = epoch_age_ms
    driver.send_request(1)
    driver.reply_to_counter_call(Outcome.OK, 1.0 + used_by_others)
    assert driver.get_customer().usage.tokens == pytest.approx(tokens_left)


@pytest.mark.parametrize(
    ("used_by_others", "remote_rate"),
    [pytest.param(20.0, 0.004, id="as measured"), pytest.param(80.0, 0.01, id="the quota's rate at most")],
)
def test_the_first_total_of_an_epoch_tells_the_rate_of_the_others(
    driver: PolicyDriver, used_by_others: float, remote_rate: float
) -> None:
    """Units a millisecond, over 5 s, of a quota of 10 units a second."""
    driver.now = 5000.0
    driver.send_request(1)
    driver.reply_to_counter_call(Outcome.OK, 1.0 + used_by_others)
    assert driver.get_customer().usage.remote_rate == pytest.approx(remote_rate)


def test_a_counter_call_stands_for_those_left_out_by_chance(wide_driver: PolicyDriver) -> None:
    """With half of the calls made, each reports twice the units."""
    wide_driver.engine.usage_sampler.call_probability = 0.5
    for request_id in range(20):
        send_widely_shared_request(wide_driver, request_id, customer=request_id)
    assert wide_driver.pending_counter_calls
    assert {call.units_to_add for call in wide_driver.pending_counter_calls} == {2.0}


def test_a_reply_decides_all_requests_held_for_it(wide_driver: PolicyDriver) -> None:
    """One counter call serves all requests of the customer meanwhile."""
    send_widely_shared_request(wide_driver, 1)
    send_widely_shared_request(wide_driver, 2)
    assert not wide_driver.final_answers
    assert not wide_driver.sent_attempts
    wide_driver.reply_to_counter_call(Outcome.OK, 1.0)
    assert {1, 2} <= set(wide_driver.sent_attempts) | set(wide_driver.final_answers)


def test_new_customers_of_a_plan_start_from_the_decisions_on_the_others(wide_driver: PolicyDriver) -> None:
    """They take over the plan's recent share of admitted requests and probability."""
    for request_id in range(40):
        send_widely_shared_request(wide_driver, request_id, customer=request_id)
        wide_driver.reply_to_counter_call(Outcome.OK, 60.0)
    assert wide_driver.get_customer(0).admitted_fraction <= 1.0 - DECISION_WEIGHT + 1e-9
    send_widely_shared_request(wide_driver, 100, customer=100)
    new_customer = wide_driver.get_customer(100)
    assert new_customer.admitted_fraction < 0.7
    assert new_customer.usage.probability < 0.2
