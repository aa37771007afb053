"""Tests of server selection: pauses after rejections, cost, and servers that were removed or restarted."""

from __future__ import annotations

import pytest

from limiter.model.events import AttemptEnded, EndpointListExpired, EndpointsChanged, Outcome
from limiter.policy.server_selection import MAX_CANDIDATES
from limiter.policy.server_table import Server
from limiter.policy.throttle import SAMPLE_INTERVAL_MS
from tests.support.policy_driver import PolicyDriver, make_driver, make_endpoint, make_endpoint_id
from tests.support.policy_scenarios import PLANS_WITHOUT_QUOTA, collect_first_attempt_endpoints


@pytest.fixture
def two_servers() -> PolicyDriver:
    """Return the driver of a limiter with two servers and no quota."""
    return make_driver(server_count=2, plans=PLANS_WITHOUT_QUOTA)


def test_the_record_of_a_removed_server_is_kept_until_its_last_attempt_ends() -> None:
    """The record is needed when the last attempt at the server ends; after that it must be deleted."""
    driver = make_driver(server_count=3, plans=PLANS_WITHOUT_QUOTA)
    driver.send_request(1)
    [sent] = driver.list_attempts_in_flight()
    list_without_the_server = EndpointsChanged((make_endpoint(9),), is_full_list=True)
    driver.deliver_event(list_without_the_server)
    assert set(driver.servers_by_id) == {sent.endpoint_id, make_endpoint_id(9)}
    driver.end_attempt(sent, Outcome.OK, 50.0)
    driver.deliver_event(list_without_the_server)
    assert set(driver.servers_by_id) == {make_endpoint_id(9)}


def test_a_server_that_rejected_an_attempt_is_paused(two_servers: PolicyDriver) -> None:
    """The server gets no further attempt for one sample interval."""
    driver = two_servers
    driver.send_request(1)
    [sent] = driver.list_attempts_in_flight()
    rejecting_id = sent.endpoint_id
    driver.end_attempt(sent, Outcome.REJECTED)
    driver.complete_attempts_in_flight()
    assert rejecting_id not in collect_first_attempt_endpoints(driver, range(10, 30))
    driver.now += SAMPLE_INTERVAL_MS + 1.0
    assert rejecting_id in collect_first_attempt_endpoints(driver, range(30, 60))


def test_the_pause_doubles_with_each_rejection_in_a_row_until_an_attempt_succeeds() -> None:
    """Observed after a release: limiters with a stale list sent hundreds of attempts to draining servers."""
    driver = make_driver(server_count=1, max_attempts=1, plans=PLANS_WITHOUT_QUOTA)
    for factor in (1, 2, 4, 8, 16, 16):
        reject_next_attempt(driver)
        check_pause(driver, factor * SAMPLE_INTERVAL_MS)
    driver.send_request(len(driver.requests))
    driver.complete_attempts_in_flight()
    check_pause(driver, 0.0)
    reject_next_attempt(driver)
    check_pause(driver, SAMPLE_INTERVAL_MS)


def reject_next_attempt(driver: PolicyDriver) -> None:
    """Send a request whose attempt the server rejects."""
    driver.send_request(len(driver.requests))
    [sent] = driver.list_attempts_in_flight()
    driver.end_attempt(sent, Outcome.REJECTED)


def check_pause(driver: PolicyDriver, pause_ms: float) -> None:
    """Check that the only server gets an attempt `pause_ms` from now, and none 0.001 ms earlier."""
    ends_at = driver.now + pause_ms
    if pause_ms:
        driver.now = ends_at - 0.001
        driver.send_request(len(driver.requests))
        assert not driver.list_attempts_in_flight()
    driver.now = ends_at
    driver.send_request(len(driver.requests))
    [sent] = driver.list_attempts_in_flight()
    driver.end_attempt(sent, Outcome.CANCELLED)


def record_success(driver: PolicyDriver, index: int, latency: float) -> None:
    """Record that an attempt at server `index` succeeded now, with this latency in ms."""
    success = AttemptEnded(0, 0, make_endpoint_id(index), Outcome.OK, latency, request_finished=True)
    driver.engine.outlier_detector.record_outcome(driver.now, driver.get_server(index).health, success)


def test_an_old_latency_weighs_less_in_the_cost(two_servers: PolicyDriver) -> None:
    """The server may have recovered since the latency was measured."""
    cost = two_servers.engine.server_selector.estimate_cost
    record_success(two_servers, 1, 100.0)
    record_success(two_servers, 0, 5000.0)
    server = two_servers.get_server(0)
    assert cost(100000.0, server) < 0.1 * cost(0.0, server)


def test_an_attempt_long_in_flight_raises_the_cost_unless_it_was_overtaken(
    two_servers: PolicyDriver,
) -> None:
    """This detects an unresponsive server before its attempts time out."""
    cost = two_servers.engine.server_selector.estimate_cost
    record_success(two_servers, 1, 100.0)
    server = two_servers.get_server(0)
    server.start_attempt(1, 0, now=0.0)
    server.start_attempt(2, 0, now=2500.0)
    assert cost(3000.0, server) > 5 * cost(50.0, server)
    server.start_attempt(3, 0, now=2500.0)
    # A later attempt succeeded, so the first one is presumed lost.
    server.end_attempt(3, 0, is_success=True)
    assert cost(3000.0, server) < 5 * cost(50.0, server)


def test_a_restarted_server_starts_with_new_health_statistics(two_servers: PolicyDriver) -> None:
    """The recorded failures are those of the previous process."""
    failure = AttemptEnded(0, 0, make_endpoint_id(0), Outcome.ERROR, 1.0, request_finished=True)
    two_servers.engine.outlier_detector.record_outcome(
        two_servers.now, two_servers.get_server(0).health, failure
    )
    assert two_servers.get_server(0).health.failure_rate > 0.0
    two_servers.deliver_event(EndpointsChanged((make_endpoint(0, start_time=5.0),), is_full_list=False))
    assert two_servers.get_server(0).health.failure_rate == 0.0


def test_no_server_receives_attempts_after_the_endpoint_list_has_expired(two_servers: PolicyDriver) -> None:
    """A restarted limiter sent requests by a list that its agent of discovery had changed."""
    driver = two_servers
    driver.send_request(1)
    [sent] = driver.list_attempts_in_flight()
    driver.deliver_event(EndpointListExpired())
    driver.end_attempt(sent, Outcome.CONNECT_FAILED)  # A retry would be safe, but no server may get it.
    driver.send_request(2)
    cached_list = EndpointsChanged((make_endpoint(0),), is_full_list=True, from_cache=True)
    driver.deliver_event(cached_list)
    driver.send_request(3)
    assert driver.list_attempts_in_flight() == []
    driver.deliver_event(EndpointsChanged((make_endpoint(1),), is_full_list=True))
    driver.send_request(4)
    assert [sent.endpoint_id for sent in driver.list_attempts_in_flight()] == [make_endpoint_id(1)]


def test_fleet_capacity_is_known_as_soon_as_an_expired_list_is_replaced(two_servers: PolicyDriver) -> None:
    """With the capacity of an empty list, warming servers got too much credit until the next update."""
    driver = two_servers
    driver.deliver_event(EndpointListExpired())
    driver.engine.concurrency_limit.update(driver.now)
    assert driver.engine.slow_start.fleet_capacity == 1.0
    endpoints = tuple(make_endpoint(index) for index in range(5))
    driver.deliver_event(EndpointsChanged(endpoints, is_full_list=True))
    assert driver.engine.slow_start.fleet_capacity == 5.0


def test_server_selection_compares_at_most_the_maximum_number_of_servers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The processor time of a selection must not grow with the size of the fleet."""
    driver = make_driver(server_count=200, plans=PLANS_WITHOUT_QUOTA)
    compared_ids = []
    cost = driver.engine.server_selector.estimate_cost

    def recording_cost(now: float, server: Server) -> float:
        compared_ids.append(server.endpoint.id)
        return cost(now, server)

    monkeypatch.setattr(driver.engine.server_selector, "estimate_cost", recording_cost)
    driver.send_request(1)
    assert 0 < len(compared_ids) <= MAX_CANDIDATES
