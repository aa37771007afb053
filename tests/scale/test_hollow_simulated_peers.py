"""Tests of the parts of a hollow simulation: clock, gossip, counter, servers, quotas and discovery."""

from __future__ import annotations

import math
from typing import Any

import pytest

from limiter.model.actions import IncrementCounter
from limiter.model.events import Endpoint, EndpointsChanged, EndpointState, Outcome
from scale.hollow.clock import FanOut, VirtualClock
from scale.hollow.counter import SharedCounter
from scale.hollow.discovery import Discovery
from scale.hollow.network import GossipReceiveLimit, Network
from scale.hollow.plan import CounterParameters, NetworkParameters, PlanParameters, ServerParameters
from scale.hollow.quota import Quota
from scale.hollow.server import Server, ServerJob, ServerModel
from tests.support.hollow_experiment import make_hollow_experiment

COUNTER_KEY = 7
# Start time of a server whose slow start is over.
WARM_SERVER_START = -math.inf


class CounterHarness:
    """A counter in zone 0 of two zones, each of which is a region, and its replies."""

    def __init__(self, **parameters: Any) -> None:
        """Create the counter; `parameters` are keys of the table `counter` of an experiment."""
        self.clock = VirtualClock()
        self.network = Network(self.clock, make_hollow_experiment(zones=2, regions=2))
        self.counter = SharedCounter(self.network, CounterParameters(**parameters), seed=1)
        # Outcome, total and time of each reply.
        self.replies: list[tuple[Outcome, float, float]] = []

    def add_unit(self, time_to_live: float, zone: int = 0) -> None:
        """Send a call from `zone` that adds 1 to the total."""
        self.counter.add(zone, IncrementCounter(COUNTER_KEY, 1.0, time_to_live), self._record_reply)

    def _record_reply(self, outcome: Outcome, total: float) -> None:
        self.replies.append((outcome, total, self.clock.now))


class RecordedJob(ServerJob):
    """A request with the mean work, whose outcome is recorded."""

    def __init__(self, outcomes: list[Outcome]) -> None:
        """Create the job; its outcome is appended to `outcomes`."""
        super().__init__(work_ms=100.0)
        self._outcomes = outcomes

    def handle_reply(self, outcome: Outcome) -> None:
        """Record the outcome."""
        self._outcomes.append(outcome)


class ServerHarness:
    """A server that needs 100 ms of one core for the mean request, and the outcomes that it reported."""

    def __init__(self, started_at: float, **parameters: Any) -> None:
        """Create the server; `parameters` are keys of the table `servers` of an experiment."""
        self.clock = VirtualClock()
        server_parameters = ServerParameters(servers_per_limiter=1.0, **parameters)
        self.outcomes: list[Outcome] = []
        self.crashed_servers: list[Server] = []
        model = ServerModel(server_parameters, mean_work_ms=100.0)
        self.server = Server(self.clock, model, number=0, zone=0, on_crash=self.crashed_servers.append)
        self.server.started_at = started_at

    def send_job(self) -> ServerJob:
        """Send a request with the mean work to the server."""
        job = RecordedJob(self.outcomes)
        self.server.receive_job(job)
        return job


def test_fan_out_deliveries_and_other_callbacks_run_in_order_of_time() -> None:
    clock = VirtualClock()
    deliveries: list[tuple[str, int]] = []
    times = [(1.0, 0), (3.0, 1), (9.0, 2)]
    FanOut(clock, times, lambda receiver, item: deliveries.append((item, receiver)), "a")
    clock.call_at(2.0, deliveries.append, ("b", 0))
    clock.run(5.0)
    assert deliveries == [("a", 0), ("b", 0), ("a", 1)]
    assert clock.now == 5.0
    clock.run(10.0)
    assert deliveries[-1] == ("a", 2)


def test_a_limiter_drops_datagrams_beyond_its_receive_rate_and_burst() -> None:
    receive_limit = GossipReceiveLimit(
        NetworkParameters(gossip_intake_per_second=10.0, gossip_intake_burst=2.0)
    )
    assert [receive_limit.admit(0.0) for _ in range(5)] == [True, True, False, False, False]
    assert not receive_limit.admit(99.0)
    assert receive_limit.admit(101.0)
    assert receive_limit.dropped_datagram_count == 4


def test_the_counter_adds_in_order_and_rejects_calls_beyond_its_queue() -> None:
    harness = CounterHarness(calls_per_s=1000.0, max_queue_length=4, timeout=30.0)
    for _ in range(10):
        harness.add_unit(time_to_live=100.0)
    harness.clock.run(50.0)
    totals = sorted(total for outcome, total, _ in harness.replies if outcome is Outcome.OK)
    assert len(harness.replies) == 10
    assert 4 <= len(totals) <= 5
    assert totals == [float(number + 1) for number in range(len(totals))]
    assert harness.counter.rejected_call_count == 10 - len(totals)
    harness.add_unit(time_to_live=100.0)
    harness.clock.run(90.0)
    assert harness.replies[-1][:2] == (Outcome.OK, len(totals) + 1.0)
    # The key expires.
    harness.clock.run(200.0)
    harness.add_unit(time_to_live=100.0)
    harness.clock.run(300.0)
    assert harness.replies[-1][:2] == (Outcome.OK, 1.0)


def test_calls_to_a_slow_stopped_or_partitioned_counter_time_out() -> None:
    harness = CounterHarness(calls_per_s=20.0, timeout=30.0)
    harness.add_unit(time_to_live=9999.0)
    harness.clock.run(100.0)
    assert harness.replies == [(Outcome.TIMEOUT, 0.0, 30.0)]
    # The counter has added the unit although the call timed out.
    assert harness.counter.totals_by_key[COUNTER_KEY].units == 1.0
    harness.counter.begin_outage()
    harness.add_unit(time_to_live=9999.0)
    harness.counter.end_outage()
    harness.network.partitioned_regions.add(1)
    harness.add_unit(time_to_live=9999.0, zone=1)
    harness.clock.run(200.0)
    assert harness.replies[1:] == [(Outcome.TIMEOUT, 0.0, 130.0)] * 2
    assert harness.counter.totals_by_key[COUNTER_KEY].units == 1.0


def test_a_server_runs_a_job_on_each_core_queues_some_and_rejects_the_rest() -> None:
    harness = ServerHarness(WARM_SERVER_START, cores=2, max_queue_length=3)
    jobs = [harness.send_job() for _ in range(8)]
    assert harness.outcomes == [Outcome.REJECTED] * 3
    # A cancelled job frees its core, or its place in the queue, at once.
    harness.server.remove_job(jobs[0])
    harness.server.remove_job(jobs[4])
    harness.send_job()
    harness.clock.run(100.0)
    assert harness.outcomes[3:] == [Outcome.OK] * 2
    harness.clock.run(1000.0)
    assert harness.outcomes[3:] == [Outcome.OK] * 4


def test_a_stopped_server_resets_its_jobs_and_accepts_no_connections() -> None:
    harness = ServerHarness(WARM_SERVER_START, cores=2, max_queue_length=3)
    harness.send_job()
    harness.server.stop()
    harness.send_job()
    assert harness.outcomes == [Outcome.RESET, Outcome.CONNECT_FAILED]


@pytest.mark.parametrize(("started_at", "crashes"), [(0.0, 1), (-10000.0, 0)], ids=["cold", "warm"])
def test_an_overloaded_server_crashes_only_while_it_is_cold(started_at: float, crashes: int) -> None:
    harness = ServerHarness(
        started_at,
        cores=2,
        max_queue_length=100,
        slow_start_capacity=0.2,
        slow_start_duration=10000.0,
        slow_start_overload=2.0,
    )
    # Number of requests with the mean work in a window of 1 s.
    expected_jobs = 2.0 * 0.2 * 1000 * 2 / 100
    for _ in range(int(expected_jobs + 2 * math.sqrt(expected_jobs) + 2)):
        harness.send_job()
    assert harness.server.crash_count == 0
    assert harness.server.is_up
    harness.send_job()
    assert harness.server.crash_count == len(harness.crashed_servers) == crashes
    assert harness.server.is_up is not bool(crashes)


def test_a_cold_server_is_slower() -> None:
    harness = ServerHarness(0.0, slow_start_capacity=0.25, slow_start_duration=1e9)
    harness.send_job()
    harness.clock.run(399.0)
    assert not harness.outcomes
    harness.clock.run(401.0)
    assert harness.outcomes == [Outcome.OK]


def test_a_quota_refills_at_its_rate_and_units_beyond_it_consume_nothing() -> None:
    quota = Quota(PlanParameters(request_share=1.0, rate=2.0, burst=3.0))
    assert [quota.take_units(0.0, 1.0) for _ in range(4)] == [True, True, True, False]
    assert not quota.is_half_free(0.0)
    assert quota.take_units(500.0, 1.0)
    assert not quota.take_units(999.0, 1.0)
    assert quota.is_half_free(500.0 + 750.0)


def test_a_quota_on_concurrency_counts_attempts_in_flight() -> None:
    quota = Quota(PlanParameters(request_share=1.0, rate=2.0, max_concurrency=2))
    quota.record_attempt_start()
    assert quota.take_units(0.0, 1.0)
    assert quota.is_half_free(0.0)
    quota.record_attempt_start()
    assert not quota.take_units(0.0, 1.0)
    assert not quota.is_half_free(0.0)


def test_discovery_pushes_changes_after_a_delay_unless_outdated_and_none_in_an_outage() -> None:
    clock = VirtualClock()
    pushed: list[tuple[int, EndpointState]] = []

    def deliver(limiter: int, change: EndpointsChanged) -> None:
        pushed.append((limiter, change.endpoints[0].state))

    discovery = Discovery(clock, make_hollow_experiment(limiters=3))
    discovery.subscribe(deliver)
    removed_endpoint = Endpoint(b"a", EndpointState.GONE)
    discovery.report_changes([removed_endpoint], (500.0, 500.0))
    discovery.report_changes([Endpoint(b"a", EndpointState.READY, started_at=1.0)], (100.0, 100.0))
    clock.run(100.0)
    assert not pushed
    clock.run(1000.0)
    assert sorted(pushed) == [(limiter, EndpointState.READY) for limiter in range(3)]
    assert b"a" in discovery.endpoints
    discovery.begin_outage()
    discovery.report_changes([removed_endpoint], (0.0, 0.0))
    clock.run(2000.0)
    assert len(pushed) == 3
    discovery.end_outage()
    clock.run(3000.0)
    assert len(pushed) == 6
    assert not discovery.endpoints
