"""Tests of widely shared customers: the share of one limiter in their burst is below one request."""

from __future__ import annotations

import pytest

from limiter.model.events import ClientDisconnected, Outcome
from tests.support.policy_driver import PolicyDriver
from tests.support.policy_scenarios import (
    WIDELY_SHARED_EPOCH_MS,
    WIDELY_SHARED_PLAN,
    make_widely_shared_driver,
    send_widely_shared_request,
)


def is_decided(driver: PolicyDriver, request_id: int) -> bool:
    """Return whether the request was forwarded or answered, so that it is no longer held."""
    return request_id in driver.sent_attempts or request_id in driver.final_answers


def test_a_request_is_held_for_the_counter_reply_and_forwarded_below_the_quota(
    widely_shared_driver: PolicyDriver,
) -> None:
    """The limiter alone does not know whether units of the quota are left."""
    send_widely_shared_request(widely_shared_driver, 1)
    assert 1 not in widely_shared_driver.sent_attempts
    assert 1 not in widely_shared_driver.final_answers
    widely_shared_driver.reply_to_counter_call(Outcome.OK, 3.0)
    assert widely_shared_driver.sent_attempts[1]


def test_a_request_beyond_the_quota_is_rejected_at_the_counter_reply() -> None:
    """Each limiter rejects at random, so the test counts the rejections of 100 limiters."""
    rejected_requests = 0
    for seed in range(100):
        driver = make_widely_shared_driver(seed)
        send_widely_shared_request(driver, 1)
        # 40 units in 2 s, of a quota with a burst of 8 and a rate of 2 per second.
        driver.reply_to_counter_call(Outcome.OK, 40.0)
        rejected_requests += driver.final_answers.get(1) == "RejectRequest"
    assert rejected_requests > 80


def test_a_flood_late_in_an_idle_epoch_is_limited_to_about_the_burst() -> None:
    """Observed with 40 limiters: a fifth of the units were beyond quotas and forwarded late in an epoch."""
    forwarded_requests = 0
    # Each of 40 limiters gets one request, and each request increases the total.
    for used_units in range(40):
        driver = make_widely_shared_driver(seed=used_units, now=11 * WIDELY_SHARED_EPOCH_MS - 100.0)
        send_widely_shared_request(driver, 1)
        driver.reply_to_counter_call(Outcome.OK, used_units + 1.0)
        forwarded_requests += 1 in driver.sent_attempts
    assert forwarded_requests <= 2.5 * WIDELY_SHARED_PLAN.burst


def test_the_next_counter_call_takes_back_the_units_of_a_rejected_request() -> None:
    """The first call reported the unit before the request was rejected."""
    driver = make_widely_shared_driver(seed=3)
    send_widely_shared_request(driver, 1)
    driver.reply_to_counter_call(Outcome.OK, 40.0)
    assert driver.final_answers[1] == "RejectRequest"
    assert driver.get_customer().report.unreported_units == -1.0
    driver.advance_to(driver.now + 1000.0)
    send_widely_shared_request(driver, 2)
    assert driver.pending_counter_calls[0].units_to_add == 0.0


@pytest.mark.parametrize("outcome", [Outcome.TIMEOUT, Outcome.REJECTED, Outcome.CONNECT_FAILED])
def test_a_held_request_is_decided_when_its_counter_call_fails(
    widely_shared_driver: PolicyDriver, outcome: Outcome
) -> None:
    """The even split of the quota replaces the sample."""
    send_widely_shared_request(widely_shared_driver, 1)
    widely_shared_driver.reply_to_counter_call(outcome)
    assert is_decided(widely_shared_driver, 1)


def test_a_held_request_is_decided_at_the_counter_timeout(widely_shared_driver: PolicyDriver) -> None:
    """A request is held no longer than the time-out of the counter call."""
    send_widely_shared_request(widely_shared_driver, 1)
    widely_shared_driver.advance_to(widely_shared_driver.now + 300.0)
    assert is_decided(widely_shared_driver, 1)


def test_a_request_that_expires_before_the_counter_timeout_is_not_held(
    widely_shared_driver: PolicyDriver,
) -> None:
    """Observed with a fleet of the target size: a retry with 18 ms left was held for 36 ms and lost."""
    send_widely_shared_request(widely_shared_driver, 1, client_timeout=18.0)
    assert is_decided(widely_shared_driver, 1)


def test_a_held_request_of_a_disconnected_client_is_not_forwarded(widely_shared_driver: PolicyDriver) -> None:
    """No client waits for the response."""
    send_widely_shared_request(widely_shared_driver, 1)
    widely_shared_driver.deliver_event(ClientDisconnected(1))
    widely_shared_driver.reply_to_counter_call(Outcome.OK, 1.0)
    assert 1 not in widely_shared_driver.sent_attempts


def test_the_call_probability_falls_while_calls_time_out_and_recovers(
    widely_shared_driver: PolicyDriver,
) -> None:
    """The load of the counter is limited by a probability, like the usage of a customer."""
    sampler = widely_shared_driver.engine.usage_sampler
    for request_id in range(40):
        widely_shared_driver.advance_to(widely_shared_driver.now + 200.0)
        send_widely_shared_request(widely_shared_driver, request_id, customer=request_id)
        widely_shared_driver.reply_to_all_counter_calls(Outcome.TIMEOUT)
    lowered_probability = sampler.call_probability
    for request_id in range(40, 400):
        widely_shared_driver.advance_to(widely_shared_driver.now + 200.0)
        send_widely_shared_request(widely_shared_driver, request_id, customer=request_id)
        widely_shared_driver.reply_to_all_counter_calls(Outcome.OK, 1.0)
    assert lowered_probability < 0.2
    assert sampler.call_probability == 1.0


def test_hundreds_of_limiters_without_a_counter_do_not_admit_a_flood() -> None:
    """A customer with a quota of 2 units per second sends 40 requests per second for 20 s.

    The test simulates each of 120 limiters separately.
    """
    forwarded_requests = 0
    received_requests = 0
    for seed in range(120):
        driver = make_widely_shared_driver(seed)
        for request_id in range(7):
            driver.advance_to(driver.now + 3000.0)
            send_widely_shared_request(driver, request_id)
            received_requests += 1
            driver.reply_to_all_counter_calls(Outcome.TIMEOUT)
            driver.complete_attempts_in_flight()
            forwarded_requests += bool(driver.sent_attempts.get(request_id))
    assert received_requests == 840
    # Each limiter forwards at most one request at first, and then its share of the rate.
    assert forwarded_requests < 0.4 * received_requests


def test_an_idle_limiter_sets_no_timer(widely_shared_driver: PolicyDriver) -> None:
    """Timers are set only while requests are open or samples are expected."""
    send_widely_shared_request(widely_shared_driver, 1)
    widely_shared_driver.reply_to_counter_call(Outcome.OK, 1.0)
    widely_shared_driver.complete_attempts_in_flight()
    widely_shared_driver.advance_to(widely_shared_driver.now + 60000.0)
    assert not widely_shared_driver.pending_timers
