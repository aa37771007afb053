"""Tests of outlier detection: unresponsive and failing servers, stale connections and ejection."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection

import pytest

from limiter.model.events import Outcome
from limiter.model.settings import RequestClass
from limiter.policy.outlier_detection import FIRST_EJECTION_MS, MAX_EJECTION_JITTER
from tests.support.policy_driver import PolicyDriver, SentAttempt, make_driver, make_endpoint_id
from tests.support.policy_scenarios import PLANS_WITHOUT_QUOTA, collect_first_attempt_endpoints

FAILURES_TO_EJECT = 4
# Latency of a server that server selection prefers by cost, and of one that it avoids.
FAST_LATENCY_MS = 1.0
SLOW_LATENCY_MS = 1e6

ROUND_INTERVAL_MS = 50.0
MAX_PENDING_ATTEMPTS = 6
SUCCESS_LATENCY_MS = 100.0
# Share of the attempts below which one of four servers counts as avoided; an even share is 0.25.
AVOIDED_SERVER_SHARE = 0.15


class Traffic:
    """Sends one request per round to four servers; the attempts end some rounds after they were sent."""

    def __init__(self) -> None:
        """Create the driver of a single limiter without retries."""
        self.driver = make_driver(
            seed=7,
            now=1000.0,
            limiter_count=1,
            max_attempts=1,
            slow_start_duration=0.0,
            request_classes=(RequestClass(500.0, 2000.0),),
            plans=PLANS_WITHOUT_QUOTA,
        )
        self.pending: list[tuple[SentAttempt, Outcome, bool]] = []

    def run(
        self, rounds: int, server_0_outcome: Outcome = Outcome.OK, *, stale_connection: bool = False
    ) -> float:
        """Run the rounds. Attempts at server 0 end with the given outcome, all others succeed.

        Returns:
            Share of the attempts that were sent to server 0.
        """
        attempts_by_server: Counter[bytes] = Counter()
        for _ in range(rounds):
            for sent in self._send_request():
                attempts_by_server[sent.endpoint_id] += 1
                is_server_0 = sent.endpoint_id == make_endpoint_id(0)
                outcome = server_0_outcome if is_server_0 else Outcome.OK
                self.pending.append((sent, outcome, is_server_0 and stale_connection))
            while len(self.pending) > MAX_PENDING_ATTEMPTS:
                self._end_oldest_attempt()
        return attempts_by_server[make_endpoint_id(0)] / attempts_by_server.total()

    def lose_response(self) -> None:
        """Send requests until an attempt goes to server 0. That attempt never ends, while the others do."""
        for _ in range(100):
            for sent in self._send_request():
                if sent.endpoint_id == make_endpoint_id(0):
                    return
                self.pending.append((sent, Outcome.OK, False))
            while len(self.pending) > MAX_PENDING_ATTEMPTS:
                self._end_oldest_attempt()
        pytest.fail("no attempt was sent to server 0 in 100 requests")

    def _send_request(self) -> list[SentAttempt]:
        self.driver.now += ROUND_INTERVAL_MS
        request_id = len(self.driver.requests) + 1
        self.driver.send_request(
            request_id, customer=request_id % 5, limiters_in_set=1.0, client_timeout=2000.0
        )
        return self.driver.sent_attempts.get(request_id, [])

    def _end_oldest_attempt(self) -> None:
        sent, outcome, is_stale = self.pending.pop(0)
        latency = 2000.0 if outcome is Outcome.TIMEOUT else SUCCESS_LATENCY_MS
        self.driver.end_attempt(sent, outcome, latency, stale_connection=is_stale)


@pytest.fixture
def traffic() -> Traffic:
    """Return traffic that has run for 100 rounds without a fault."""
    traffic = Traffic()
    traffic.run(100)
    return traffic


def test_a_server_that_timed_out_gets_attempts_again_soon_after_its_recovery(traffic: Traffic) -> None:
    """The health statistics of the server decay, so it is tried again without a health check."""
    # The server does not respond for 5 s.
    assert traffic.run(100, Outcome.TIMEOUT) < AVOIDED_SERVER_SHARE
    # The server responds again for 10 s.
    traffic.run(200)
    assert traffic.run(200) > AVOIDED_SERVER_SHARE


def test_one_lost_response_does_not_exclude_its_server(traffic: Traffic) -> None:
    """Later attempts at the server succeeded, so the response was lost and the server is healthy."""
    traffic.lose_response()
    # The server gets attempts although the lost one is still in flight.
    assert traffic.run(100) > 0.05
    # The lost attempt does not count as load.
    assert traffic.driver.engine.concurrency_limit.stalled_attempts >= 1


def test_resets_of_stale_connections_do_not_exclude_a_server(traffic: Traffic) -> None:
    """The server closed an idle connection, which gives no information about its health."""
    assert traffic.run(200, Outcome.RESET, stale_connection=True) > AVOIDED_SERVER_SHARE
    assert traffic.run(200, Outcome.RESET) < AVOIDED_SERVER_SHARE


@pytest.fixture
def four_servers() -> PolicyDriver:
    """Return the driver of a single limiter with four servers, without a quota and without retries."""
    return make_driver(server_count=4, limiter_count=1, max_attempts=1, plans=PLANS_WITHOUT_QUOTA)


def fill_servers(driver: PolicyDriver) -> list[SentAttempt]:
    """Send requests until each server has enough attempts in flight to be ejected if they all fail."""
    for _ in range(500):
        request_id = len(driver.requests) + 1
        driver.send_request(request_id, customer=request_id)
        in_flight_by_server = Counter(sent.endpoint_id for sent in driver.list_attempts_in_flight())
        if all(in_flight_by_server[server] >= FAILURES_TO_EJECT for server in driver.endpoints):
            return driver.list_attempts_in_flight()
    pytest.fail("some server got fewer than 4 attempts in 500 requests")


def eject_servers(driver: PolicyDriver, indexes: Collection[int]) -> None:
    """Let these servers fail fast, and all others respond so slowly that these servers have the lowest cost.

    After 4 consecutive failures, each with weight 0.2, the failure rate is 0.59, which ejects the server;
    3 failures would not eject it.
    """
    ejected_ids = {make_endpoint_id(index) for index in indexes}
    for sent in fill_servers(driver):
        driver.end_attempt(sent, Outcome.OK, FAST_LATENCY_MS)
    failures_by_server: Counter[bytes] = Counter()
    for sent in fill_servers(driver):
        failures_by_server[sent.endpoint_id] += 1
        if sent.endpoint_id not in ejected_ids:
            driver.end_attempt(sent, Outcome.OK, SLOW_LATENCY_MS)
        elif failures_by_server[sent.endpoint_id] <= FAILURES_TO_EJECT:
            driver.end_attempt(sent, Outcome.ERROR, FAST_LATENCY_MS)
        else:
            driver.end_attempt(sent, Outcome.CANCELLED)


def send_single_attempt(driver: PolicyDriver) -> SentAttempt:
    """Send a request and return its only attempt."""
    request_id = len(driver.requests) + 1
    driver.send_request(request_id, customer=request_id)
    [sent] = driver.sent_attempts[request_id]
    return sent


def test_a_failing_server_is_ejected_and_then_gets_one_probe_attempt(four_servers: PolicyDriver) -> None:
    """The probe attempt decides whether the ejection ends."""
    driver = four_servers
    eject_servers(driver, {0})
    for _ in range(20):
        sent = send_single_attempt(driver)
        assert sent.endpoint_id != make_endpoint_id(0)
        driver.end_attempt(sent, Outcome.OK, SLOW_LATENCY_MS)
    driver.now += MAX_EJECTION_JITTER * FIRST_EJECTION_MS + 1.0
    assert send_single_attempt(driver).endpoint_id == make_endpoint_id(0)
    assert send_single_attempt(driver).endpoint_id != make_endpoint_id(0)  # Only one probe is in flight.


def test_no_server_is_excluded_if_most_are_outliers(four_servers: PolicyDriver) -> None:
    """A fault that most servers show is not caused by the servers themselves."""
    eject_servers(four_servers, {0, 1, 2})
    assert collect_first_attempt_endpoints(four_servers, range(1000, 1020)) - {make_endpoint_id(3)}


@pytest.mark.parametrize("seed", range(20))
def test_the_ejection_doubles_with_each_failed_probe_up_to_its_maximum(seed: int) -> None:
    """The nominal duration is 1 s at first and 8 s at most. It is multiplied by a random 0.8 to 1.2."""
    driver = make_driver(
        server_count=2, seed=seed, limiter_count=1, max_attempts=1, plans=PLANS_WITHOUT_QUOTA
    )
    eject_servers(driver, {0})
    for nominal_seconds in (1, 2, 4, 8, 8, 8):
        ejected_at = driver.now
        driver.now = ejected_at + 800.0 * nominal_seconds - 0.001
        other_attempt = send_single_attempt(driver)
        assert other_attempt.endpoint_id == make_endpoint_id(1), "the ejection is too short"
        # While this attempt is in flight, the other server has the higher cost.
        driver.now = ejected_at + 1200.0 * nominal_seconds
        probe = send_single_attempt(driver)
        assert probe.endpoint_id == make_endpoint_id(0), "the ejection is too long"
        driver.end_attempt(other_attempt, Outcome.OK, SLOW_LATENCY_MS)
        driver.end_attempt(probe, Outcome.ERROR, FAST_LATENCY_MS)
