"""Plays a hollow experiment and gives its figures: one line for the whole, one for each fault."""

from __future__ import annotations

import gc
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from typing import Any

from limiter.model.events import Outcome
from limiter.policy.usage_gossip import INTAKE_SHARE
from scale.experiment import Progress, Record
from scale.hollow.gossip_age import AGE_STEP_MS
from scale.hollow.plan import Fault, HollowExperiment
from scale.hollow.simulation import Simulation
from scale.hollow.tally import mean_and_max_rate, quantiles, ratio, rounded

# Result lines keep these names of outcomes, so that results of older runs stay comparable.
OUTCOME_RESULT_NAMES = {Outcome.REJECTED: "full", Outcome.REQUEST_OVER: "moot"}
PROGRESS_LINES = 10
QUANTILE_LEVELS = {"p50": 0.5, "p90": 0.9, "p99": 0.99}
MAX_AGE_STEPS = 10_000_000  # of the histogram
MAX_LATENCY_US = 60_000_000  # of the histogram


def run(experiment: HollowExperiment, record: Record, progress: Progress) -> None:
    """Play it until every request has ended.

    Raises:
        AssertionError: a request got no final outcome, or more than one.
    """
    with _without_garbage_collection():
        simulation = Simulation(experiment)
        servers = len(simulation.servers.servers)
        size = f"{experiment.limiters} limiters, {servers} servers, {len(simulation.customers)} customers"
        progress(f"{experiment.name}: {size}")
        for step in range(1, PROGRESS_LINES + 1):
            simulation.run(experiment.duration * step / PROGRESS_LINES)
            seconds = f"{simulation.clock.now / 1000:.1f} s of {experiment.duration / 1000:.1f} s"
            progress(f"{experiment.name}: {seconds}")
        gossip = gossip_figures(simulation)
        max_deadline = max(request_class.deadline for request_class in experiment.classes)
        simulation.run(experiment.duration + experiment.clients.retry_delay[1] + 2 * max_deadline)
        check(simulation)
        record(summary(simulation, gossip))
        for fault in experiment.faults:
            record(fault_line(simulation, fault))


@contextmanager
def _without_garbage_collection() -> Iterator[None]:
    """Pause the collector: engines live to the end, and scanning them would take most of the time."""
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


def check(simulation: Simulation) -> None:
    """Raise AssertionError unless every request has one final outcome and no attempt is left."""
    tally = simulation.tally
    if tally.open_requests:
        message = f"{tally.open_requests} requests were never answered"
        raise AssertionError(message)
    if tally.ended_requests != simulation.clients.sent_count:
        message = f"{simulation.clients.sent_count} tries and {tally.ended_requests} answers"
        raise AssertionError(message)
    in_flight = sum(customer.quota.in_flight for customer in simulation.customers)
    if in_flight:
        message = f"{in_flight} attempts are still out"
        raise AssertionError(message)


def gossip_figures(simulation: Simulation) -> dict[str, Any]:
    """Messages between limiters so far; taken at the end of the time in which requests arrive."""
    seconds = simulation.experiment.duration / 1000
    limiters = simulation.host.limiters

    def rate(counts: list[int]) -> dict[str, float]:
        return mean_and_max_rate(counts, seconds)

    return {
        "tells": simulation.tally.gossip_messages,
        "messages_sent_per_s": rate([limiter.gossip_sent for limiter in limiters]),
        "messages_heard_per_s": rate([limiter.gossip_received for limiter in limiters]),
        "bytes_sent_per_s": rate([limiter.gossip_bytes_sent for limiter in limiters]),
        "bytes_heard_per_s": rate([limiter.gossip_bytes_received for limiter in limiters]),
        "messages_dropped": sum(intake.dropped for intake in simulation.host.gossip_network.intakes),
    }


def summary(simulation: Simulation, gossip: dict[str, Any]) -> dict[str, Any]:
    """The line for the whole experiment."""
    experiment = simulation.experiment
    return {
        "experiment": experiment.name,
        "seed": experiment.seed,
        "limiters": experiment.limiters,
        "servers": len(simulation.servers.servers),
        "customers": len(simulation.customers),
        "duration_ms": experiment.duration,
        **_request_figures(simulation),
        **_counter_figures(simulation),
        **gossip,
        **_gossip_age_figures(simulation),
        "list_changes": simulation.host.discovery.changes,
        "servers_fallen": sum(server.crashes for server in simulation.servers.servers.values()),
    }


def fault_line(simulation: Simulation, fault: Fault) -> dict[str, Any]:
    """The line for one fault."""
    return {
        "experiment": simulation.experiment.name,
        "seed": simulation.experiment.seed,
        "fault": type(fault).__struct_config__.tag,
        "at_ms": fault.at,
        "ends_ms": fault.at + fault.duration(),
        **simulation.tally.recovery(fault.at),
    }


def _outcome_counts(outcomes: Mapping[Outcome, int]) -> dict[str, int]:
    """Return the count of each outcome that occurred, by its name in result lines."""
    return {
        OUTCOME_RESULT_NAMES.get(outcome, outcome.value): count
        for outcome, count in outcomes.items()
        if count
    }


def _request_figures(simulation: Simulation) -> dict[str, Any]:
    tally = simulation.tally
    outcomes = {outcome.value: count for outcome, count in tally.request_outcomes.items()}
    return {
        "tries": tally.requests,
        "retries": tally.retries,
        **outcomes,
        "by_driver": tally.ended_by_driver,
        "served_share": ratio(outcomes["served"], tally.requests),
        "refused_share": ratio(outcomes["refused"], tally.requests),
        "refused_with_room_share": ratio(tally.rejected_within_quota, tally.requests),
        "units_sent_on": tally.units,
        "units_beyond": tally.units_beyond_quota,
        "beyond_share": ratio(tally.units_beyond_quota, tally.units),
        "attempts": tally.attempts,
        "outcomes": _outcome_counts(tally.attempt_outcomes),
        "latency_ms": _named_quantiles(tally.latencies, MAX_LATENCY_US, 0.001),
    }


def _counter_figures(simulation: Simulation) -> dict[str, Any]:
    counter = simulation.host.counter
    return {
        "counter_calls": counter.calls,
        "counter_full": counter.rejected_calls,
        "counter_unanswered": counter.timed_out_calls,
        "counter_calls_a_request": ratio(counter.calls, simulation.clients.sent_count),
    }


def _gossip_age_figures(simulation: Simulation) -> dict[str, Any]:
    ages = simulation.gossip_ages
    intake = simulation.experiment.network.peer_intake
    interval_ms = 1000 * (simulation.experiment.limiters - 1) / (INTAKE_SHARE * intake)
    return {
        "telling_interval_ms": rounded(interval_ms),
        "news_pairs": ages.expected,
        "news_age_ms": _named_quantiles(ages.ages, MAX_AGE_STEPS, AGE_STEP_MS),
        "news_never_learnt": ratio(ages.expected - ages.learnt, ages.expected),
    }


def _named_quantiles(counts: dict[int, int], max_value: int, scale: float) -> dict[str, float | None]:
    values = quantiles(counts, max_value, scale, list(QUANTILE_LEVELS.values()))
    return dict(zip(QUANTILE_LEVELS, values, strict=True))
