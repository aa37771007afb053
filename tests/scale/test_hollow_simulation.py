"""Tests of simulations of hollow experiments: determinism, outcomes of requests, gossip and recovery."""

from __future__ import annotations

import json
import math
from typing import Any

import msgspec
import pytest

from scale.hollow.gossip_age import GossipMessage
from scale.hollow.plan import HollowExperiment
from scale.hollow.run import check_all_requests_ended, run
from scale.hollow.simulation import Simulation
from scale.hollow.tally import RequestOutcome, Tally
from tests.support.hollow_experiment import make_hollow_experiment

MAX_GOSSIP_DELAY_MS = 36
# There are seven other limiters. Gossip uses at most 0.8 of the receive limit of 40 messages per second, and
# the minimum interval is 200 ms.
GOSSIP_INTERVAL_MS = max(200.0, 1000 * 7 / (0.8 * 40))

FAULTS: list[dict[str, Any]] = [
    {"kind": "drain-servers", "at": 2000.0, "share": 0.5, "drain": 500.0},
    {"kind": "restart-limiters", "at": 2500.0, "share": 0.5, "batches": 2, "every": 300.0},
    {"kind": "restart-servers", "at": 3000.0, "share": 0.5, "down": 800.0},
    {"kind": "counter-outage", "at": 3500.0, "lasting": 500.0},
    {"kind": "discovery-outage", "at": 3600.0, "lasting": 800.0},
    {"kind": "lose-zone", "at": 4500.0, "zone": 1, "lasting": 700.0},
    {"kind": "cut-regions", "at": 5500.0, "region": 1, "lasting": 700.0},
]


def run_to_result_lines(experiment: HollowExperiment) -> list[str]:
    """Run the experiment and return its result lines as JSON."""
    lines: list[str] = []
    run(experiment, lambda line: lines.append(json.dumps(line)), lambda _progress: None)
    return lines


def run_simulation(experiment: HollowExperiment, unreachable_limiter: int | None = None) -> Simulation:
    """Simulate the duration of the experiment; gossip to `unreachable_limiter` is dropped."""
    simulation = Simulation(experiment)
    gossip_network = simulation.limiter_host.gossip_network
    deliver = gossip_network.deliver

    def deliver_unless_unreachable(receiver: int, message: GossipMessage) -> None:
        if receiver != unreachable_limiter:
            deliver(receiver, message)

    gossip_network.deliver = deliver_unless_unreachable
    simulation.run(experiment.duration)
    return simulation


def test_the_seed_determines_every_byte_and_each_request_has_one_outcome() -> None:
    experiment = make_hollow_experiment(faults=FAULTS, regions=3)
    lines = run_to_result_lines(experiment)
    assert lines == run_to_result_lines(experiment)
    assert lines != run_to_result_lines(msgspec.structs.replace(experiment, seed=2))
    summary = json.loads(lines[0])
    outcomes = ("served", "refused", "failed", "lost", "unreachable")
    assert sum(summary[outcome] for outcome in outcomes) == summary["tries"] > 50
    assert summary["served"] > 0
    assert summary["refused"] > 0
    assert summary["unreachable"] > 0
    assert summary["list_changes"] > 0
    assert [json.loads(line)["fault"] for line in lines[1:]] == [fault["kind"] for fault in FAULTS]


def test_a_request_with_two_outcomes_or_none_fails_the_run() -> None:
    simulation = Simulation(make_hollow_experiment())
    limiter = simulation.limiter_host.limiters[0]
    while not limiter.requests:
        simulation.run(simulation.clock.now + 10.0)
    with pytest.raises(AssertionError, match="requests have no final outcome"):
        check_all_requests_ended(simulation)
    request = next(request for request in limiter.requests.values() if request.outcome is None)
    simulation.request_tracker.end_request(request, RequestOutcome.SERVED)
    with pytest.raises(AssertionError, match="second outcome refused after served"):
        simulation.request_tracker.end_request(request, RequestOutcome.REJECTED)


def test_all_usage_is_learnt_within_the_gossip_interval_if_no_message_is_dropped() -> None:
    ages = run_simulation(make_hollow_experiment(network={"peer_loss": 0.0})).gossip_ages
    assert ages.expected_pair_count == ages.learnt_pair_count > 100
    # A random factor lengthens the interval by up to a fifth.
    assert max(ages.counts_by_age) <= 1.2 * GOSSIP_INTERVAL_MS + MAX_GOSSIP_DELAY_MS


def test_usage_never_learnt_is_counted_if_a_limiter_receives_no_gossip() -> None:
    experiment = make_hollow_experiment(network={"peer_loss": 0.0})
    assert any(0 in customer.used_limiters for customer in Simulation(experiment).customers)
    ages = run_simulation(experiment, unreachable_limiter=0).gossip_ages
    assert 0 < ages.learnt_pair_count < ages.expected_pair_count


def test_no_usage_is_learnt_if_all_messages_are_dropped() -> None:
    ages = run_simulation(make_hollow_experiment(network={"peer_loss": 1.0})).gossip_ages
    assert ages.learnt_pair_count == 0 < ages.expected_pair_count


def test_partitioned_regions_exchange_no_gossip_until_they_are_reconnected() -> None:
    simulation = Simulation(make_hollow_experiment(zones=2, regions=2, network={"peer_loss": 0.0}))
    receivers: list[int] = []
    message = GossipMessage(0, b"message", {})
    simulation.limiter_host.gossip_network.deliver = lambda receiver, _message: receivers.append(receiver)
    simulation.network.partitioned_regions.add(1)
    simulation.limiter_host.gossip_network.broadcast(0, message)
    simulation.clock.run(50.0)
    assert sorted(receivers) == [2, 4, 6]
    assert math.isinf(simulation.network.draw_delay(0, 1))
    receivers.clear()
    simulation.network.partitioned_regions.clear()
    simulation.limiter_host.gossip_network.broadcast(0, message)
    simulation.clock.run(100.0)
    assert sorted(receivers) == [1, 2, 3, 4, 5, 6, 7]


def test_recovery_is_measured_until_all_later_windows_have_recovered() -> None:
    tally = Tally(make_hollow_experiment(duration=30000.0, window=2000.0, warm_up=0.0))
    tally.units_beyond_quota_by_bin = [1.0] * 31
    assert tally.measure_recovery(10000.0) == {"before": 2.0, "worst": 2.0, "recovery_ms": 0.0}
    tally.units_beyond_quota_by_bin[11] = 5.0
    tally.units_beyond_quota_by_bin[14] = 5.0
    assert tally.measure_recovery(10000.0) == {"before": 2.0, "worst": 6.0, "recovery_ms": 7000.0}
    tally.units_beyond_quota_by_bin[29] = 5.0
    assert tally.measure_recovery(10000.0)["recovery_ms"] is None
