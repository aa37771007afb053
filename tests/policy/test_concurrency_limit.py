"""The limit on attempts in flight, and the load that it is derived from."""

from __future__ import annotations

import pytest

from limiter.model.events import EndpointsChanged, Outcome
from limiter.model.settings import RequestClass
from limiter.policy.concurrency_limit import MIN_CONCURRENCY_LIMIT
from tests.support.policy_driver import PolicyDriver, make_driver, make_endpoint, make_endpoint_id
from tests.support.policy_scenarios import PLANS_WITHOUT_QUOTA

UPDATE_AFTER_MS = 400.0


def pass_time(driver: PolicyDriver, until: float) -> None:
    """Let the engine measure up to this time: the endpoint list says that nothing changed."""
    while driver.now < until:
        driver.now = min(until, driver.now + UPDATE_AFTER_MS / 4)
        driver.deliver_event(EndpointsChanged((), is_full_list=False))


def test_one_attempt_is_admitted_until_the_fleet_is_overloaded() -> None:
    """Each of many limiters may have one in flight, whatever its share of the capacity."""
    driver = make_driver(server_count=4, limiter_count=100, plans=PLANS_WITHOUT_QUOTA)
    concurrency = driver.engine.concurrency_limit
    driver.send_request(1)
    driver.send_request(2, customer=2)
    assert len(driver.list_attempts_in_flight()) == 2
    assert concurrency.max_in_flight == MIN_CONCURRENCY_LIMIT
    pass_time(driver, 2900.0)  # Neither attempt ends.
    assert concurrency.max_in_flight < MIN_CONCURRENCY_LIMIT


def utilization_rise_after(completed: int) -> float:
    """Rise of the utilization in an interval in which this many attempts ended, each of them slow."""
    driver = make_driver(server_count=20, limiter_count=1, plans=PLANS_WITHOUT_QUOTA)
    driver.send_request(1)
    driver.now += 100.0
    driver.complete_attempts_in_flight()
    pass_time(driver, UPDATE_AFTER_MS)
    before = driver.engine.concurrency_limit.utilization
    for request_id in range(10, 10 + completed):
        driver.send_request(request_id, customer=request_id)
    assert len(driver.list_attempts_in_flight()) == completed
    driver.now += 350.0
    driver.complete_attempts_in_flight()
    pass_time(driver, 2 * UPDATE_AFTER_MS)
    return driver.engine.concurrency_limit.utilization - before


def test_utilization_moves_less_on_one_attempt_than_on_many() -> None:
    """A single slow answer is weak evidence of load."""
    assert 0.0 < utilization_rise_after(completed=1) < 0.5 * utilization_rise_after(completed=20)


def test_the_concurrency_limit_is_shared_by_the_limiters() -> None:
    """Recorded incident ief8163: each limiter filled the servers as if it had them alone."""
    in_flight = {}
    for limiter_count in (2, 8):
        driver = make_driver(server_count=8, limiter_count=limiter_count, plans=PLANS_WITHOUT_QUOTA)
        for request_id in range(200):
            driver.send_request(request_id, customer=request_id)
        in_flight[limiter_count] = len(driver.list_attempts_in_flight())
    assert 8 * in_flight[8] <= 2 * in_flight[2] * 1.5


def test_a_warming_server_adds_little_to_the_concurrency_limit(driver: PolicyDriver) -> None:
    """Recorded incident icc5a2a: new servers counted in full and the warm ones got the surplus."""
    concurrency = driver.engine.concurrency_limit
    before = concurrency.max_in_flight
    driver.advance_to(1000.0)
    started = tuple(make_endpoint(index, start_time=1000.0) for index in range(10, 14))
    driver.deliver_event(EndpointsChanged(started, is_full_list=False))
    driver.advance_to(1500.0)
    driver.send_request(1)
    assert before < concurrency.max_in_flight < 1.5 * before


@pytest.mark.parametrize(("unresponsive_servers", "is_stalled"), [(1, True), (4, False)])
def test_attempts_at_one_unresponsive_server_are_no_fleet_load_but_at_many_they_are(
    unresponsive_servers: int, is_stalled: bool
) -> None:
    """Recorded incidents ie77502 and ic1606d: one unresponsive server made the whole fleet look full."""
    late_answers_count = RequestClass(latency_objective=1000.0, deadline=60000.0, late_weight=0.2)
    driver = make_driver(
        server_count=8, plans=PLANS_WITHOUT_QUOTA, max_attempts=1, request_classes=(late_answers_count,)
    )
    unresponsive = {make_endpoint_id(index) for index in range(unresponsive_servers)}
    for request_id in range(400):
        driver.advance_to(driver.now + 10.0)
        driver.send_request(request_id, customer=request_id, client_timeout=60000.0)
        for sent in driver.list_attempts_in_flight():
            if sent.endpoint_id not in unresponsive:
                driver.end_attempt(sent, Outcome.OK, 50.0)
    assert (driver.engine.concurrency_limit.stalled_attempts > 0) == is_stalled
