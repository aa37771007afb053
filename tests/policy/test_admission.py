"""Tests of admission: the Retry-After of rejections, superseded timers and polls to discovery."""

from __future__ import annotations

import pytest

from limiter.model.actions import PollDiscovery, RejectRequest
from limiter.model.events import DiscoveryPollFailed, TimerFired
from limiter.policy.context import TimerToken
from limiter.policy.customer import Customer
from tests.support.policy_driver import PolicyDriver, make_driver


def test_retry_after_is_the_time_until_the_bucket_holds_the_requested_units(
    driver: PolicyDriver, customer: Customer
) -> None:
    """The bucket refills at the rate of the quota minus the rate at which other limiters forward units."""
    customer.usage.set_tokens(0.25)
    customer.usage.set_probability(0.0)
    # Units per ms: half of the quota of 10 units per second.
    customer.usage.remote_rate = 0.005
    customer.usage.refilled_at = driver.now
    rejections = [
        action
        for request_id in range(100, 120)
        for action in driver.send_request(request_id, units=2.25)
        if isinstance(action, RejectRequest)
    ]
    assert rejections
    assert rejections[0].retry_after == pytest.approx(400.0)


def test_a_superseded_timer_does_nothing(driver: PolicyDriver, customer: Customer) -> None:
    """A timer that fires before the next round of housekeeping is due belongs to an earlier round."""
    housekeeping = driver.engine.admission.housekeeping
    housekeeping.schedule(0.0, 500.0, customer)
    driver.engine.context.take_actions()
    driver.now = 100.0
    assert driver.deliver_event(TimerFired(TimerToken.HOUSEKEEPING)) == []
    assert housekeeping.take_due(500.0) == [customer]


def test_discovery_is_polled_at_the_start_and_again_after_a_failure() -> None:
    """A failed poll is repeated within 2 s."""
    driver = make_driver(polls_discovery=True)
    assert PollDiscovery() in driver.actions
    driver.actions.clear()
    driver.deliver_event(DiscoveryPollFailed())
    driver.advance_to(driver.now + 2000.0)
    assert PollDiscovery() in driver.actions
