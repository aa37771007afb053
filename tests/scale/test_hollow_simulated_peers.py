"""The simulated peers of hollow experiments: clock, gossip intake, counter, servers, quotas and discovery."""

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
from tests.support.hollow_experiment import hollow_experiment

COUNTER_KEY = 7
WARM = -math.inf  # start of a server that is past its slow start


class CounterBench:
    """A counter in zone 0 of two, each a region of its own, and the replies that it gave."""

    def __init__(self, **parameters: Any) -> None:
        """Set keys of the experiment's table `counter`."""
        self.clock = VirtualClock()
        self.network = Network(self.clock, hollow_experiment(zones=2, regions=2))
        self.counter = SharedCounter(self.network, CounterParameters(**parameters), seed=1)
        self.replies: list[tuple[Outcome, float, float]] = []  # outcome, total, time

    def add(self, time_to_live: float, zone: int = 0) -> None:
        """Add 1 to the counter's key."""
        self.counter.add(zone, IncrementCounter(COUNTER_KEY, 1.0, time_to_live), self._replied)

    def _replied(self, outcome: Outcome, total: float) -> None:
        self.replies.append((outcome, total, self.clock.now))


class RecordedJob(ServerJob):
    """A request of mean work whose outcome is recorded."""

    def __init__(self, outcomes: list[Outcome]) -> None:
        """Add the outcome to the list."""
        super().__init__(work_ms=100.0)
        self._outcomes = outcomes

    def handle_reply(self, outcome: Outcome) -> None:
        """Record the outcome."""
        self._outcomes.append(outcome)


class ServerBench:
    """A server that works 100 ms of one core on the mean request, and the outcomes that it reported."""

    def __init__(self, started_at: float, **parameters: Any) -> None:
        """Set keys of the experiment's table `servers`."""
        self.clock = VirtualClock()
        figures = ServerParameters(per_limiter=1.0, **parameters)
        self.outcomes: list[Outcome] = []
        self.crashed: list[Server] = []
        model = ServerModel(figures, mean_work_ms=100.0)
        self.server = Server(self.clock, model, number=0, zone=0, on_crash=self.crashed.append)
        self.server.started_at = started_at

    def send(self) -> ServerJob:
        """A request of mean work arrives."""
        job = RecordedJob(self.outcomes)
        self.server.receive_job(job)
        return job


def test_a_fan_out_is_delivered_in_order_with_all_other_callbacks() -> None:
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


def test_a_gossip_intake_drops_datagrams_beyond_its_rate_and_burst() -> None:
    intake = GossipReceiveLimit(NetworkParameters(peer_intake=10.0, peer_intake_burst=2.0))
    assert [intake.admit(0.0) for _ in range(5)] == [True, True, False, False, False]
    assert not intake.admit(99.0)
    assert intake.admit(101.0)
    assert intake.dropped_datagram_count == 4


def test_the_counter_adds_in_order_and_rejects_calls_beyond_its_queue() -> None:
    bench = CounterBench(calls_per_s=1000.0, queue=4, timeout=30.0)
    for _ in range(10):
        bench.add(time_to_live=100.0)
    bench.clock.run(50.0)
    totals = sorted(total for outcome, total, _ in bench.replies if outcome is Outcome.OK)
    assert len(bench.replies) == 10
    assert 4 <= len(totals) <= 5
    assert totals == [float(number + 1) for number in range(len(totals))]
    assert bench.counter.rejected_call_count == 10 - len(totals)
    bench.add(time_to_live=100.0)
    bench.clock.run(90.0)
    assert bench.replies[-1][:2] == (Outcome.OK, len(totals) + 1.0)
    bench.clock.run(200.0)  # the key expires
    bench.add(time_to_live=100.0)
    bench.clock.run(300.0)
    assert bench.replies[-1][:2] == (Outcome.OK, 1.0)


def test_a_counter_that_is_slow_down_or_partitioned_times_out() -> None:
    bench = CounterBench(calls_per_s=20.0, timeout=30.0)
    bench.add(time_to_live=9999.0)
    bench.clock.run(100.0)
    assert bench.replies == [(Outcome.TIMEOUT, 0.0, 30.0)]
    assert bench.counter.totals_by_key[COUNTER_KEY].units == 1.0  # added all the same
    bench.counter.begin_outage()
    bench.add(time_to_live=9999.0)
    bench.counter.end_outage()
    bench.network.partitioned_regions.add(1)
    bench.add(time_to_live=9999.0, zone=1)
    bench.clock.run(200.0)
    assert bench.replies[1:] == [(Outcome.TIMEOUT, 0.0, 130.0)] * 2
    assert bench.counter.totals_by_key[COUNTER_KEY].units == 1.0


def test_a_server_runs_a_job_on_each_core_queues_some_and_rejects_the_rest() -> None:
    bench = ServerBench(WARM, cores=2, queue=3)
    jobs = [bench.send() for _ in range(8)]
    assert bench.outcomes == [Outcome.REJECTED] * 3
    bench.server.remove_job(jobs[0])  # cancelled: its core is free at once
    bench.server.remove_job(jobs[4])  # and a place in the queue
    bench.send()
    bench.clock.run(100.0)
    assert bench.outcomes[3:] == [Outcome.OK] * 2
    bench.clock.run(1000.0)
    assert bench.outcomes[3:] == [Outcome.OK] * 4


def test_a_server_that_stops_resets_its_jobs_and_takes_no_more() -> None:
    bench = ServerBench(WARM, cores=2, queue=3)
    bench.send()
    bench.server.stop()
    bench.send()
    assert bench.outcomes == [Outcome.RESET, Outcome.CONNECT_FAILED]


@pytest.mark.parametrize(("started_at", "crashes"), [(0.0, 1), (-10000.0, 0)], ids=["cold", "warm"])
def test_a_server_crashes_of_overload_while_it_is_cold(started_at: float, crashes: int) -> None:
    bench = ServerBench(
        started_at,
        cores=2,
        queue=100,
        slow_start_capacity=0.2,
        slow_start_duration=10000.0,
        slow_start_overload=2.0,
    )
    expected_jobs = 2.0 * 0.2 * 1000 * 2 / 100  # requests of mean work in a window of 1 s
    for _ in range(int(expected_jobs + 2 * math.sqrt(expected_jobs) + 2)):
        bench.send()
    assert bench.server.crash_count == 0
    assert bench.server.is_up
    bench.send()
    assert bench.server.crash_count == len(bench.crashed) == crashes
    assert bench.server.is_up is not bool(crashes)


def test_a_cold_server_is_slower() -> None:
    bench = ServerBench(0.0, slow_start_capacity=0.25, slow_start_duration=1e9)
    bench.send()
    bench.clock.run(399.0)
    assert not bench.outcomes
    bench.clock.run(401.0)
    assert bench.outcomes == [Outcome.OK]


def test_a_quota_refills_at_its_rate_and_units_beyond_it_take_nothing() -> None:
    quota = Quota(PlanParameters(share=1.0, rate=2.0, burst=3.0))
    assert [quota.take_units(0.0, 1.0) for _ in range(4)] == [True, True, True, False]
    assert not quota.is_half_free(0.0)
    assert quota.take_units(500.0, 1.0)
    assert not quota.take_units(999.0, 1.0)
    assert quota.is_half_free(500.0 + 750.0)


def test_a_quota_on_concurrency_counts_attempts_in_flight() -> None:
    quota = Quota(PlanParameters(share=1.0, rate=2.0, max_concurrency=2))
    quota.record_attempt_start()
    assert quota.take_units(0.0, 1.0)
    assert quota.is_half_free(0.0)
    quota.record_attempt_start()
    assert not quota.take_units(0.0, 1.0)
    assert not quota.is_half_free(0.0)


def test_discovery_pushes_with_a_delay_nothing_during_an_outage_and_no_outdated_change() -> None:
    clock = VirtualClock()
    pushed: list[tuple[int, EndpointState]] = []

    def deliver(limiter: int, change: EndpointsChanged) -> None:
        pushed.append((limiter, change.endpoints[0].state))

    discovery = Discovery(clock, hollow_experiment(limiters=3))
    discovery.subscribe(deliver)
    gone = Endpoint(b"a", EndpointState.GONE)
    discovery.report_changes([gone], (500.0, 500.0))
    discovery.report_changes([Endpoint(b"a", EndpointState.READY, started_at=1.0)], (100.0, 100.0))
    clock.run(100.0)
    assert not pushed
    clock.run(1000.0)
    assert sorted(pushed) == [(limiter, EndpointState.READY) for limiter in range(3)]
    assert b"a" in discovery.endpoints
    discovery.begin_outage()
    discovery.report_changes([gone], (0.0, 0.0))
    clock.run(2000.0)
    assert len(pushed) == 3
    discovery.end_outage()
    clock.run(3000.0)
    assert len(pushed) == 6
    assert not discovery.endpoints
