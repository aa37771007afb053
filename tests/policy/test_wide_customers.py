"""Customers spread so thin that a limiter's share of the burst is below one request."""

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
    """Whether the request was forwarded or answered, so is not held any more."""
    return request_id in driver.sent_attempts or request_id in driver.final_answers


def test_a_request_is_held_for_the_reply_and_passes_below_the_quota(wide_driver: PolicyDriver) -> None:
    """The limiter alone cannot know whether there is quota left."""
    send_widely_shared_request(wide_driver, 1)
    assert 1 not in wide_driver.sent_attempts
    assert 1 not in wide_driver.final_answers
    wide_driver.reply_to_counter_call(Outcome.OK, 3.0)
    assert wide_driver.sent_attempts[1]


def test_a_request_beyond_the_quota_is_rejected_on_the_reply() -> None:
    """By chance, as each limiter decides on its own."""
    rejected = 0
    for seed in range(100):
        driver = make_widely_shared_driver(seed)
        send_widely_shared_request(driver, 1)
        driver.reply_to_counter_call(Outcome.OK, 40.0)  # 40 units in 2 s, of a burst of 8 and 2 a second
        rejected += driver.final_answers.get(1) == "RejectRequest"
    assert rejected > 80


def test_a_flood_after_a_quiet_start_of_an_epoch_is_limited_to_about_the_burst() -> None:
    """Seen with 40 limiters: a fifth of the units forwarded were beyond quotas, admitted late in an epoch."""
    forwarded = 0
    for used_units in range(40):  # one request each at 40 limiters, the total growing by each
        driver = make_widely_shared_driver(seed=used_units, now=11 * WIDELY_SHARED_EPOCH_MS - 100.0)
        send_widely_shared_request(driver, 1)
        driver.reply_to_counter_call(Outcome.OK, used_units + 1.0)
        forwarded += 1 in driver.sent_attempts
    assert forwarded <= 2.5 * WIDELY_SHARED_PLAN.burst


def test_units_reported_ahead_of_a_rejection_are_taken_back_with_the_next_call() -> None:
    """The call reported the unit before the decision."""
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
    wide_driver: PolicyDriver, outcome: Outcome
) -> None:
    """The local split stands for the sample."""
    send_widely_shared_request(wide_driver, 1)
    wide_driver.reply_to_counter_call(outcome)
    assert is_decided(wide_driver, 1)


def test_a_held_request_is_decided_without_a_reply(wide_driver: PolicyDriver) -> None:
    """The request is held no longer than the counter's time-out."""
    send_widely_shared_request(wide_driver, 1)
    wide_driver.advance_to(wide_driver.now + 300.0)
    assert is_decided(wide_driver, 1)


def test_a_request_with_less_time_left_than_the_counter_may_take_is_not_held(
    wide_driver: PolicyDriver,
) -> None:
    """Found at full size: a retry with 18 ms left was held for a reply after 36 ms, and was lost."""
    send_widely_shared_request(wide_driver, 1, client_timeout=18.0)
    assert is_decided(wide_driver, 1)


def test_a_held_request_of_a_disconnected_client_is_not_forwarded(wide_driver: PolicyDriver) -> None:
    """Nobody waits for the response."""
    send_widely_shared_request(wide_driver, 1)
    wide_driver.deliver_event(ClientDisconnected(1))
    wide_driver.reply_to_counter_call(Outcome.OK, 1.0)
    assert 1 not in wide_driver.sent_attempts


def test_the_call_probability_falls_while_calls_time_out_and_recovers(wide_driver: PolicyDriver) -> None:
    """The counter's load is controlled like a customer's."""
    sampler = wide_driver.engine.usage_sampler
    for request_id in range(40):
        wide_driver.advance_to(wide_driver.now + 200.0)
        send_widely_shared_request(wide_driver, request_id, customer=request_id)
        wide_driver.reply_to_all_counter_calls(Outcome.TIMEOUT)
    lowered = sampler.call_probability
    for request_id in range(40, 400):
        wide_driver.advance_to(wide_driver.now + 200.0)
        send_widely_shared_request(wide_driver, request_id, customer=request_id)
        wide_driver.reply_to_all_counter_calls(Outcome.OK, 1.0)
    assert lowered < 0.2
    assert sampler.call_probability == 1.0


def test_hundreds_of_limiters_without_a_counter_do_not_admit_a_flood() -> None:
    """40 requests a second of a customer with a quota of 2: each limiter's part, for 20 seconds."""
    forwarded = 0
    received = 0
    for seed in range(120):
        driver = make_widely_shared_driver(seed)
        for request_id in range(7):
            driver.advance_to(driver.now + 3000.0)
            send_widely_shared_request(driver, request_id)
            received += 1
            driver.reply_to_all_counter_calls(Outcome.TIMEOUT)
            driver.complete_attempts_in_flight()
            forwarded += bool(driver.sent_attempts.get(request_id))
    assert received == 840
    assert forwarded < 0.4 * received  # one a limiter at most, then its share of the rate


def test_an_idle_limiter_sets_no_timer(wide_driver: PolicyDriver) -> None:
    """Timers run only while there are requests or samples to expect."""
    send_widely_shared_request(wide_driver, 1)
    wide_driver.reply_to_counter_call(Outcome.OK, 1.0)
    wide_driver.complete_attempts_in_flight()
    wide_driver.advance_to(wide_driver.now + 60000.0)
    assert not wide_driver.pending_timers
