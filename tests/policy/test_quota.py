"""Tests of quotas: the admission probability, and a counter that times out, rejects calls or loses totals."""

from __future__ import annotations

import pytest

from limiter.model.events import CounterReply, Outcome
from limiter.model.settings import QuotaPlan
from limiter.policy.customer import Customer
from limiter.policy.engine import PolicyEngine
from limiter.policy.throttle import MIN_ADMISSION_PROBABILITY, TARGET_UTILIZATION, UTILIZATION_EWMA_WEIGHT
from tests.support.policy_driver import PolicyDriver, make_driver, make_settings
from tests.support.policy_scenarios import get_counter_key, make_sampled_customer

TIME_BETWEEN_SAMPLES_MS = 400.0


def record_sample(driver: PolicyDriver, customer: Customer, remote_units: float) -> None:
    """Record a usage sample of `remote_units`, 400 ms after the previous one."""
    driver.now += TIME_BETWEEN_SAMPLES_MS
    driver.record_remote_usage(customer, remote_units)


def test_a_sample_multiplies_the_probability_by_target_over_utilization_once(
    driver: PolicyDriver, customer: Customer
) -> None:
    """The probability changes only at samples."""
    driver.now += TIME_BETWEEN_SAMPLES_MS
    driver.engine.customers.advance(customer, driver.now)
    # 20 units per second, of a quota of 10.
    driver.record_remote_usage(customer, 8.0)
    utilization = UTILIZATION_EWMA_WEIGHT * 2.0
    assert customer.usage.utilization == pytest.approx(utilization)
    assert customer.usage.probability == pytest.approx(TARGET_UTILIZATION / utilization)
    probability_before = customer.usage.probability
    driver.advance_to(driver.now + 5000.0)
    assert customer.usage.probability == probability_before


def test_the_probability_is_clamped_between_its_minimum_and_one(
    driver: PolicyDriver, customer: Customer
) -> None:
    """Many samples above the quota, and then below it, move the probability only to its bounds."""
    for _ in range(20):
        record_sample(driver, customer, remote_units=100.0)
    assert customer.usage.probability == MIN_ADMISSION_PROBABILITY
    for _ in range(200):
        record_sample(driver, customer, remote_units=0.0)
    assert customer.usage.probability == 1.0


def test_one_sample_of_zero_does_not_restore_the_probability(
    driver: PolicyDriver, customer: Customer
) -> None:
    """With few units per interval, a single sample of zero is a random event."""
    for _ in range(10):
        record_sample(driver, customer, remote_units=12.0)
    lowered_probability = customer.usage.probability
    record_sample(driver, customer, remote_units=0.0)
    assert customer.usage.probability <= lowered_probability * 1.2 + 1e-9


def test_requests_are_admitted_at_any_probability_while_the_bucket_holds_tokens(
    driver: PolicyDriver, customer: Customer
) -> None:
    """The probability applies only to requests for which the bucket has too few tokens."""
    customer.usage.set_probability(MIN_ADMISSION_PROBABILITY)
    driver.send_request(2)
    assert driver.sent_attempts[2]


def test_remote_usage_empties_the_bucket_and_new_requests_are_rejected(
    driver: PolicyDriver, customer: Customer
) -> None:
    """Units that other limiters forward count against the quota like the limiter's own units."""
    driver.now += 500.0
    driver.record_remote_usage(customer, 40.0)
    customer.usage.set_probability(MIN_ADMISSION_PROBABILITY)
    driver.send_request(3)
    assert driver.final_answers.get(3) == "RejectRequest"


def test_counter_calls_are_batched_while_the_bucket_is_well_filled() -> None:
    """One call reports the units of ten requests."""
    driver = make_driver(plans=(QuotaPlan(rate=100.0, burst=400.0),))
    make_sampled_customer(driver)
    driver.pending_counter_calls.clear()
    for request_id in range(2, 12):
        driver.advance_to(driver.now + 5.0)
        driver.send_request(request_id)
        driver.complete_attempts_in_flight()
    assert not driver.pending_counter_calls
    driver.advance_to(driver.now + 1200.0)
    assert [call.units_to_add for call in driver.pending_counter_calls] == [10.0]


@pytest.mark.parametrize("outcome", [Outcome.TIMEOUT, Outcome.REJECTED, Outcome.CONNECT_FAILED])
def test_without_counter_replies_a_limiter_admits_its_even_split_of_the_quota(outcome: Outcome) -> None:
    """The limiter admits an even share of the quota, no more and not much less."""
    driver = make_driver()
    make_sampled_customer(driver)
    forwarded = 0
    # 50 requests per second for 20 s; the quota of 10 per second is shared by three limiters.
    for request_id in range(2, 1000):
        driver.advance_to(driver.now + 20.0)
        driver.send_request(request_id)
        forwarded += bool(driver.sent_attempts.get(request_id))
        driver.complete_attempts_in_flight()
        driver.reply_to_all_counter_calls(outcome)
    assert forwarded <= 1.3 * (10.0 / 3 * 20.0 + 20.0)
    assert forwarded >= 0.8 * 10.0 / 3 * 20.0


@pytest.mark.usefixtures("customer")
def test_unanswered_counter_calls_become_rarer_but_do_not_stop(driver: PolicyDriver) -> None:
    """An overloaded counter gets fewer calls, and enough to detect its recovery."""
    call_times: list[float] = []
    for request_id in range(2, 1000):
        driver.advance_to(driver.now + 20.0)
        driver.send_request(request_id)
        driver.complete_attempts_in_flight()
        call_times += [driver.now] * len(driver.pending_counter_calls)
        driver.reply_to_all_counter_calls(Outcome.TIMEOUT)
    calls_at_first = sum(at < call_times[0] + 2000.0 for at in call_times)
    calls_at_last = sum(at > driver.now - 2000.0 for at in call_times)
    assert calls_at_last < calls_at_first
    assert calls_at_last <= 3


@pytest.mark.parametrize(("was_added", "expected_unreported_units"), [(True, 0.0), (False, 5.0)])
def test_units_of_an_unanswered_call_are_reported_again_only_if_the_counter_lacks_them(
    driver: PolicyDriver, customer: Customer, was_added: bool, expected_unreported_units: float
) -> None:
    """A time-out does not show whether the counter added the units; the next total does."""
    engine = driver.engine
    sampler = engine.usage_sampler
    first_call_at = driver.now + 500.0
    second_call_at = driver.now + 1000.0
    customer.report.set_unreported(5.0)
    sampler.call_counter(first_call_at, customer)
    engine.handle(first_call_at, CounterReply(get_counter_key(customer), Outcome.TIMEOUT, 0.0, 50.0))
    customer.report.delay_next_call(until=0.0)
    sampler.call_counter(second_call_at, customer)
    total = customer.report.last_total_units + (5.0 if was_added else 0.0)
    engine.handle(second_call_at, CounterReply(get_counter_key(customer), Outcome.OK, total, 2.0))
    assert customer.report.unreported_units == expected_unreported_units


def test_a_counter_that_lost_its_totals_does_not_refill_the_bucket(
    driver: PolicyDriver, customer: Customer
) -> None:
    """A total below the last one shows a restarted counter; the units used before remain used."""
    customer.report.record_total(driver.now, 500.0)
    customer.report.set_unreported(2.0)
    tokens_before = customer.usage.tokens
    driver.now += 500.0
    driver.engine.usage_sampler.call_counter(driver.now, customer)
    driver.engine.handle(driver.now, CounterReply(get_counter_key(customer), Outcome.OK, 2.0, 2.0))
    assert customer.report.last_total_units == 2.0
    # The bucket is refilled only by the rate of the quota.
    assert customer.usage.tokens <= tokens_before + 5.0
    assert customer.report.consecutive_failed_calls == 0


def test_a_reply_for_an_unknown_counter_key_changes_nothing(driver: PolicyDriver, customer: Customer) -> None:
    """No call under that key is in flight."""
    customer_before = str(customer)
    assert driver.deliver_event(CounterReply(12345, Outcome.OK, 9.0, 1.0)) == []
    assert str(driver.get_customer()) == customer_before


def test_metered_utilization_replaces_the_counter() -> None:
    """Servers report the utilization of the customer's quota in their responses."""
    driver = make_driver(has_counter=False, meter_period=1000.0)
    for request_id in range(200):
        driver.advance_to(driver.now + 50.0)
        driver.send_request(request_id)
        for sent in driver.list_attempts_in_flight():
            driver.end_attempt(sent, Outcome.OK, 50.0, metered_utilization=3.0)
    assert not driver.pending_counter_calls
    assert driver.get_customer().usage.probability < 0.2


def test_billed_units_replace_the_estimate() -> None:
    """The bill of 6 units exceeds the estimate of 1 unit by 5 units."""
    driver = make_driver(is_post_paid=True)
    customer = make_sampled_customer(driver)
    driver.send_request(2)
    [sent] = driver.list_attempts_in_flight()
    tokens_before = customer.usage.tokens
    driver.end_attempt(sent, Outcome.OK, 50.0, billed_units=6.0)
    assert customer.usage.tokens == pytest.approx(tokens_before - 5.0)


def test_max_concurrency_limits_the_attempts_in_flight_of_a_customer() -> None:
    """The plan allows three attempts in flight."""
    driver = make_driver(server_count=40)
    for request_id in range(10):
        driver.send_request(request_id, plan=2)
    assert 1 <= sum(sent.request_id < 10 for sent in driver.list_attempts_in_flight()) <= 3


def test_idle_customers_are_evicted(driver: PolicyDriver) -> None:
    """Otherwise memory would grow with the number of all customers that ever sent a request."""
    for request_id in range(50):
        driver.send_request(request_id, customer=request_id)
        driver.complete_attempts_in_flight()
        driver.reply_to_all_counter_calls(Outcome.OK, 1.0)
    # Requests of one customer; each request evicts one idle customer.
    for request_id in range(100, 250):
        driver.advance_to(driver.now + 1000.0)
        driver.send_request(request_id, customer=1000)
        driver.complete_attempts_in_flight()
        driver.reply_to_all_counter_calls(Outcome.OK, 1.0)
    customers = driver.engine.customers.table
    assert list(customers.records) == [1000]
    assert driver.engine.usage_sampler.calls_in_flight == 0
    assert not driver.engine.attempt_dispatcher.open_requests


@pytest.mark.parametrize(("name", "value"), [("slow_start_capacity", 0.0), ("limiter_index", 3)])
def test_an_error_in_the_settings_names_the_setting(name: str, value: float) -> None:
    """The name lets an operator find the key in the configuration."""
    with pytest.raises(ValueError, match=name):
        PolicyEngine(make_settings(**{name: value}), 1)


def test_a_customer_without_a_sample_gets_the_even_split_while_the_counter_rejects_calls(
    driver: PolicyDriver,
) -> None:
    """Recorded incident i86e056: the first call was rejected, and the probability remained 1."""
    for request_id in range(500):
        driver.advance_to(driver.now + 20.0)
        driver.send_request(request_id)
        driver.complete_attempts_in_flight()
        driver.reply_to_all_counter_calls(Outcome.REJECTED)
    assert driver.get_customer().usage.probability < 0.2
