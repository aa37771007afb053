"""Tests of the concurrency limit and of the utilization of the fleet, from which the limit is derived."""

from __future__ import annotations

import pytest

from limiter.model.events import EndpointsChanged, Outcome
from limiter.model.settings import RequestClass
from limiter.policy.concurrency_limit import MIN_CONCURRENCY_LIMIT
from tests.support.policy_driver import PolicyDriver, make_driver, make_endpoint, make_endpoint_id
from tests.support.policy_scenarios import PLANS_WITHOUT_QUOTA

UPDATE_INTERVAL_MS = 400.0


def advance_with_updates(driver: PolicyDriver, until: float) -> None:
    """Advance the time to `until` with an update of the limit in each interval.

    The updates are triggered by endpoint lists without changes.
    """
    while driver.now < until:
        driver.now = min(until, driver.now + UPDATE_INTERVAL_MS / 4)
        driver.deliver_event(EndpointsChanged((), is_full_list=False))


def test_one_attempt_is_admitted_until_the_fleet_is_overloaded() -> None:
    """Each of many limiters may have one attempt in flight, even if its share of the capacity is smaller."""
    driver = make_driver(server_count=4, limiter_count=100, plans=PLANS_WITHOUT_QUOTA)
    concurrency = driver.engine.concurrency_limit
    driver.send_request(1)
    driver.send_request(2, customer=2)
    assert len(driver.list_attempts_in_flight()) == 2
    assert concurrency.max_in_flight == MIN_CONCURRENCY_LIMIT
    # Neither attempt ends, so the fleet counts as overloaded.
    advance_with_updates(driver, 2900.0)
    assert concurrency.max_in_flight < MIN_CONCURRENCY_LIMIT


def measure_utilization_rise(completed_attempts: int) -> float:
    """Return the rise of the utilization in an interval in which this number of slow attempts ended."""
    driver = make_driver(server_count=20, limiter_count=1, plans=PLANS_WITHOUT_QUOTA)
    driver.send_request(1)
    driver.now += 100.0
    driver.complete_attempts_in_flight()
    advance_with_updates(driver, UPDATE_INTERVAL_MS)
    utilization_before = driver.engine.concurrency_limit.utilization
    for request_id in range(10, 10 + completed_attempts):
        driver.send_request(request_id, customer=request_id)
    assert len(driver.list_attempts_in_flight()) == completed_attempts
    driver.now += 350.0
    driver.complete_attempts_in_flight()
    advance_with_updates(driver, 2 * UPDATE_INTERVAL_MS)
    return driver.engine.concurrency_limit.utilization - utilization_before


def test_one_slow_attempt_raises_the_utilization_less_than_many_do() -> None:
    """A single slow response is weak evidence of load."""
    assert (
        0.0
        < measure_utilization_rise(completed_attempts=1)
        < 0.5 * measure_utilization_rise(completed_attempts=20)
    )


def test_the_concurrency_limit_is_shared_by_the_limiters() -> None:
    """Recorded incident ief8163: each limiter used the whole capacity of the servers, as if it were alone."""
    in_flight_by_limiter_count = {}
    for limiter_count in (2, 8):
        driver = make_driver(server_count=8, limiter_count=limiter_count, plans=PLANS_WITHOUT_QUOTA)
        for request_id in range(200):
            driver.send_request(request_id, customer=request_id)
        in_flight_by_limiter_count[limiter_count] = len(driver.list_attempts_in_flight())
    assert 8 * in_flight_by_limiter_count[8] <= 2 * in_flight_by_limiter_count[2] * 1.5


def test_a_warming_server_adds_little_to_the_concurrency_limit(driver: PolicyDriver) -> None:
    """Recorded incident icc5a2a: new servers counted with full capacity; warm ones got the excess load."""
    concurrency = driver.engine.concurrency_limit
    limit_before = concurrency.max_in_flight
    driver.advance_to(1000.0)
    started_servers = tuple(make_endpoint(index, start_time=1000.0) for index in range(10, 14))
    driver.deliver_event(EndpointsChanged(started_servers, is_full_list=False))
    driver.advance_to(1500.0)
    driver.send_request(1)
    assert limit_before < concurrency.max_in_flight < 1.5 * limit_before


@pytest.mark.parametrize(("unresponsive_servers", "is_stalled"), [(1, True), (4, False)])
def test_unresponsive_servers_count_as_load_of_the_fleet_only_if_there_are_many(
    unresponsive_servers: int, is_stalled: bool
) -> None:
    """Recorded incidents ie77502 and ic1606d: one unresponsive server made the whole fleet count as loaded.

    Attempts to one unresponsive server are stalled and say nothing about the load. If half of the servers do
    not respond, the fleet counts as loaded.
    """
    class_with_late_weight = RequestClass(latency_objective=1000.0, deadline=60000.0, late_weight=0.2)
    driver = make_driver(
        server_count=8, plans=PLANS_WITHOUT_QUOTA, max_attempts=1, request_classes=(class_with_late_weight,)
    )
    unresponsive_ids = {make_endpoint_id(index) for index in range(unresponsive_servers)}
    for request_id in range(400):
        driver.advance_to(driver.now + 10.0)
        driver.send_request(request_id, customer=request_id, client_timeout=60000.0)
        for sent in driver.list_attempts_in_flight():
            if sent.endpoint_id not in unresponsive_ids:
                driver.end_attempt(sent, Outcome.OK, 50.0)
    assert (driver.engine.concurrency_limit.stalled_attempts > 0) == is_stalled
