"""Choice of a server: pauses after rejections, cost, and servers that left or restarted."""

from __future__ import annotations

import pytest

from limiter.model.events import AttemptEnded, EndpointsChanged, Outcome
from limiter.policy.server_selection import MAX_CANDIDATES
from limiter.policy.server_table import Server
from limiter.policy.throttle import SAMPLE_INTERVAL_MS
from tests.support.policy_driver import PolicyDriver, make_driver, make_endpoint, make_endpoint_id
from tests.support.policy_scenarios import PLANS_WITHOUT_QUOTA, collect_first_attempt_endpoints


@pytest.fixture
def two_servers() -> PolicyDriver:
    """A limiter with two servers and no quota."""
    return make_driver(server_count=2, plans=PLANS_WITHOUT_QUOTA)


def test_a_removed_server_is_forgotten_once_it_has_no_attempt_in_flight() -> None:
    """The end of its last attempt still has to find the record."""
    driver = make_driver(server_count=3, plans=PLANS_WITHOUT_QUOTA)
    driver.send_request(1)
    [sent] = driver.list_attempts_in_flight()
    only_server = EndpointsChanged((make_endpoint(9),), is_full_list=True)
    driver.deliver_event(only_server)
    assert set(driver.servers_by_id) == {sent.endpoint_id, make_endpoint_id(9)}
    driver.end_attempt(sent, Outcome.OK, 50.0)
    driver.deliver_event(only_server)
    assert set(driver.servers_by_id) == {make_endpoint_id(9)}


def test_a_server_that_rejected_an_attempt_is_paused(two_servers: PolicyDriver) -> None:
    """For one sample interval it gets no further attempt."""
    driver = two_servers
    driver.send_request(1)
    [sent] = driver.list_attempts_in_flight()
    rejecting = sent.endpoint_id
    driver.end_attempt(sent, Outcome.REJECTED)
    driver.complete_attempts_in_flight()
    assert rejecting not in collect_first_attempt_endpoints(driver, range(10, 30))
    driver.now += SAMPLE_INTERVAL_MS + 1.0
    assert rejecting in collect_first_attempt_endpoints(driver, range(30, 60))


def test_the_pause_doubles_with_each_rejection_in_a_row_until_an_attempt_succeeds() -> None:
    """Seen after a release: draining servers rejected hundreds of attempts, of limiters with an old list."""
    driver = make_driver(server_count=1, max_attempts=1, plans=PLANS_WITHOUT_QUOTA)
    for factor in (1, 2, 4, 8, 16, 16):
        reject_next_attempt(driver)
        assert_paused_for(driver, factor * SAMPLE_INTERVAL_MS)
    driver.send_request(len(driver.requests))
    driver.complete_attempts_in_flight()
    assert_paused_for(driver, 0.0)
    reject_next_attempt(driver)
    assert_paused_for(driver, SAMPLE_INTERVAL_MS)


def reject_next_attempt(driver: PolicyDriver) -> None:
    """Make a request, and let the server reject its attempt."""
    driver.send_request(len(driver.requests))
    [sent] = driver.list_attempts_in_flight()
    driver.end_attempt(sent, Outcome.REJECTED)


def assert_paused_for(driver: PolicyDriver, pause: float) -> None:
    """Check that the only server gets an attempt `pause` ms from now, and none a moment before."""
    ends_at = driver.now + pause
    if pause:
        driver.now = ends_at - 0.001
        driver.send_request(len(driver.requests))
        assert not driver.list_attempts_in_flight()
    driver.now = ends_at
    driver.send_request(len(driver.requests))
    [sent] = driver.list_attempts_in_flight()
    driver.end_attempt(sent, Outcome.CANCELLED)


def record_latency(driver: PolicyDriver, index: int, latency: float) -> None:
    """Let an attempt at server `index` succeed now, after this time."""
    success = AttemptEnded(0, 0, make_endpoint_id(index), Outcome.OK, latency, request_finished=True)
    driver.engine.outlier_detector.record_outcome(driver.now, driver.get_server(index).health, success)


def test_an_old_latency_weighs_less_in_the_cost(two_servers: PolicyDriver) -> None:
    """The server may have recovered since."""
    cost = two_servers.engine.server_selector.estimate_cost
    record_latency(two_servers, 1, 100.0)
    record_latency(two_servers, 0, 5000.0)
    server = two_servers.get_server(0)
    assert cost(100000.0, server) < 0.1 * cost(0.0, server)


def test_an_attempt_long_in_flight_raises_the_cost_unless_it_was_overtaken(
    two_servers: PolicyDriver,
) -> None:
    """An unresponsive server is known before its attempts time out."""
    cost = two_servers.engine.server_selector.estimate_cost
    record_latency(two_servers, 1, 100.0)
    server = two_servers.get_server(0)
    server.start_attempt(1, 0, now=0.0)
    server.start_attempt(2, 0, now=2500.0)
    assert cost(3000.0, server) > 5 * cost(50.0, server)
    server.start_attempt(3, 0, now=2500.0)
    server.end_attempt(3, 0, is_success=True)  # A later one succeeded: the first was lost on its way.
    assert cost(3000.0, server) < 5 * cost(50.0, server)


def test_a_restarted_server_starts_without_a_record(two_servers: PolicyDriver) -> None:
    """Its failures were those of the process before."""
    failure = AttemptEnded(0, 0, make_endpoint_id(0), Outcome.ERROR, 1.0, request_finished=True)
    two_servers.engine.outlier_detector.record_outcome(
        two_servers.now, two_servers.get_server(0).health, failure
    )
    assert two_servers.get_server(0).health.failure_rate > 0.0
    two_servers.deliver_event(EndpointsChanged((make_endpoint(0, start_time=5.0),), is_full_list=False))
    assert two_servers.get_server(0).health.failure_rate == 0.0


def test_server_selection_compares_a_bounded_number_of_servers(monkeypatch: pytest.MonkeyPatch) -> None:
    """The choice costs the same in a fleet of any size."""
    driver = make_driver(server_count=200, plans=PLANS_WITHOUT_QUOTA)
    compared = []
    cost = driver.engine.server_selector.estimate_cost

    def recording_cost(now: float, server: Server) -> float:
        compared.append(server.endpoint.id)
        return cost(now, server)

    monkeypatch.setattr(driver.engine.server_selector, "estimate_cost", recording_cost)
    driver.send_request(1)
    assert 0 < len(compared) <= MAX_CANDIDATES
