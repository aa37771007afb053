"""Outlier detection: silent and failing servers, stale connections, ejection and the way back."""

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
FAST_MS = 1.0  # Latency of a server that the cost prefers,
SLOW_MS = 1e6  # and of one that it avoids.

ROUND_MS = 50.0
ATTEMPTS_IN_FLIGHT = 6
SERVED_MS = 100.0
SERVER_SHARE_LIMIT = 0.15  # of the attempts; an even share is 0.25


class Traffic:
    """Requests to four servers, one each round, whose attempts end some rounds after they were sent."""

    def __init__(self) -> None:
        """Make the limiter, a lone one without retries."""
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
        self, rounds: int, outcome_at_first: Outcome = Outcome.OK, *, stale_connection: bool = False
    ) -> float:
        """Run the rounds; attempts at server 0 end in this way, all others well.

        Returns:
            Server 0's share of the attempts.
        """
        attempts: Counter[bytes] = Counter()
        for _ in range(rounds):
            for sent in self._send_request():
                attempts[sent.endpoint_id] += 1
                is_first = sent.endpoint_id == make_endpoint_id(0)
                outcome = outcome_at_first if is_first else Outcome.OK
                self.pending.append((sent, outcome, is_first and stale_connection))
            while len(self.pending) > ATTEMPTS_IN_FLIGHT:
                self._end_oldest()
        return attempts[make_endpoint_id(0)] / attempts.total()

    def lose_a_response(self) -> None:
        """Send requests until one goes to server 0; that attempt never ends, while those after it do."""
        for _ in range(100):
            for sent in self._send_request():
                if sent.endpoint_id == make_endpoint_id(0):
                    return
                self.pending.append((sent, Outcome.OK, False))
            while len(self.pending) > ATTEMPTS_IN_FLIGHT:
                self._end_oldest()
        pytest.fail("no attempt was sent to server 0")

    def _send_request(self) -> list[SentAttempt]:
        self.driver.now += ROUND_MS
        request_id = len(self.driver.requests) + 1
        self.driver.send_request(
            request_id, customer=request_id % 5, limiters_in_set=1.0, client_timeout=2000.0
        )
        return self.driver.sent_attempts.get(request_id, [])

    def _end_oldest(self) -> None:
        sent, outcome, is_stale = self.pending.pop(0)
        latency = 2000.0 if outcome is Outcome.TIMEOUT else SERVED_MS
        self.driver.end_attempt(sent, outcome, latency, stale_connection=is_stale)


@pytest.fixture
def traffic() -> Traffic:
    """Traffic that has run for 100 rounds without a fault."""
    traffic = Traffic()
    traffic.run(100)
    return traffic


def test_a_server_that_was_silent_gets_attempts_soon_after_its_recovery(traffic: Traffic) -> None:
    """Its record ages, so that it is tried again without a health check."""
    assert traffic.run(100, Outcome.TIMEOUT) < SERVER_SHARE_LIMIT  # five seconds of silence
    traffic.run(200)  # ten seconds
    assert traffic.run(200) > SERVER_SHARE_LIMIT


def test_one_lost_response_does_not_exclude_its_server(traffic: Traffic) -> None:
    """Later attempts overtook it, so it was lost on its way."""
    traffic.lose_a_response()
    assert traffic.run(100) > 0.05  # for all that the lost one is still in flight
    assert traffic.driver.engine.concurrency_limit.stalled_attempts >= 1  # and it is no sign of load


def test_resets_of_stale_connections_do_not_exclude_a_server(traffic: Traffic) -> None:
    """The server closed an idle connection, which says nothing of its health."""
    assert traffic.run(200, Outcome.RESET, stale_connection=True) > SERVER_SHARE_LIMIT
    assert traffic.run(200, Outcome.RESET) < SERVER_SHARE_LIMIT


@pytest.fixture
def four_servers() -> PolicyDriver:
    """A lone limiter with four servers, without a quota and without retries."""
    return make_driver(server_count=4, limiter_count=1, max_attempts=1, plans=PLANS_WITHOUT_QUOTA)


def fill_servers(driver: PolicyDriver) -> list[SentAttempt]:
    """Make requests until each server has attempts in flight that would eject it if they all failed."""
    for _ in range(500):
        request_id = len(driver.requests) + 1
        driver.send_request(request_id, customer=request_id)
        counts = Counter(sent.endpoint_id for sent in driver.list_attempts_in_flight())
        if all(counts[server] >= FAILURES_TO_EJECT for server in driver.endpoints):
            return driver.list_attempts_in_flight()
    pytest.fail("some server gets too few attempts")


def eject(driver: PolicyDriver, indexes: Collection[int]) -> None:
    """Let these servers fail at once, and all others be so slow that the cost alone would choose these.

    After 4 failures in a row, at weight 0.2 each, the failure rate is 0.59: it ejects, after 3 it would not.
    """
    ejected = {make_endpoint_id(index) for index in indexes}
    for sent in fill_servers(driver):
        driver.end_attempt(sent, Outcome.OK, FAST_MS)
    failures: Counter[bytes] = Counter()
    for sent in fill_servers(driver):
        failures[sent.endpoint_id] += 1
        if sent.endpoint_id not in ejected:
            driver.end_attempt(sent, Outcome.OK, SLOW_MS)
        elif failures[sent.endpoint_id] <= FAILURES_TO_EJECT:
            driver.end_attempt(sent, Outcome.ERROR, FAST_MS)
        else:
            driver.end_attempt(sent, Outcome.CANCELLED)


def send_one(driver: PolicyDriver) -> SentAttempt:
    """Make a request; return its attempt."""
    request_id = len(driver.requests) + 1
    driver.send_request(request_id, customer=request_id)
    [sent] = driver.sent_attempts[request_id]
    return sent


def test_a_failing_server_is_ejected_and_then_gets_one_probe_attempt(four_servers: PolicyDriver) -> None:
    """The probe attempt decides whether the ejection ends."""
    driver = four_servers
    eject(driver, {0})
    for _ in range(20):
        sent = send_one(driver)
        assert sent.endpoint_id != make_endpoint_id(0)
        driver.end_attempt(sent, Outcome.OK, SLOW_MS)
    driver.now += MAX_EJECTION_JITTER * FIRST_EJECTION_MS + 1.0
    assert send_one(driver).endpoint_id == make_endpoint_id(0)
    assert send_one(driver).endpoint_id != make_endpoint_id(0)  # There is one probe at a time.


def test_no_server_is_excluded_where_most_are_outliers(four_servers: PolicyDriver) -> None:
    """A fault that most share is not theirs."""
    eject(four_servers, {0, 1, 2})
    assert collect_first_attempt_endpoints(four_servers, range(1000, 1020)) - {make_endpoint_id(3)}


@pytest.mark.parametrize("seed", range(20))
def test_an_ejection_doubles_with_each_failed_probe_up_to_its_cap(seed: int) -> None:
    """Each lasts its nominal length, 1 s at first and 8 s at most, times a draw from 0.8 to 1.2."""
    driver = make_driver(
        server_count=2, seed=seed, limiter_count=1, max_attempts=1, plans=PLANS_WITHOUT_QUOTA
    )
    eject(driver, {0})
    for seconds in (1, 2, 4, 8, 8, 8):
        ejected_at = driver.now
        driver.now = ejected_at + 800.0 * seconds - 0.001
        other = send_one(driver)
        assert other.endpoint_id == make_endpoint_id(1), "the ejection is too short"
        # With this attempt still in flight the other server costs more.
        driver.now = ejected_at + 1200.0 * seconds
        probe = send_one(driver)
        assert probe.endpoint_id == make_endpoint_id(0), "the ejection is too long"
        driver.end_attempt(other, Outcome.OK, SLOW_MS)
        driver.end_attempt(probe, Outcome.ERROR, FAST_MS)
