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
from scale.hollow.rig import Rig
from scale.hollow.tally import mean_and_max_rate, quantiles, ratio, rounded

# Result lines keep these names of outcomes, so that results of older runs stay comparable.
OUTCOME_RESULT_NAMES = {Outcome.REJECTED: "full", Outcome.REQUEST_OVER: "moot"}
PROGRESS_LINES = 10
QUANTILE_LEVELS = {"p50": 0.5, "p90": 0.9, "p99": 0.99}
MAX_AGE_STEPS = 10_000_000  # of the histogram
MAX_LATENCY_US = 60_000_000  # of the histogram


def run(experiment: HollowExperiment, record: Record, progress: Progress) -> None:
    """Play it to the last answer. Raises AssertionError if a request got none or more than one."""
    with _without_garbage_collection():
        rig = Rig(experiment)
        servers = len(rig.servers.servers)
        size = f"{experiment.limiters} limiters, {servers} servers, {len(rig.customers)} customers"
        progress(f"{experiment.name}: {size}")
        for step in range(1, PROGRESS_LINES + 1):
            rig.run(experiment.duration * step / PROGRESS_LINES)
            seconds = f"{rig.clock.now / 1000:.1f} s of {experiment.duration / 1000:.1f} s"
            progress(f"{experiment.name}: {seconds}")
        gossip = gossip_figures(rig)
        max_deadline = max(request_class.deadline for request_class in experiment.classes)
        rig.run(experiment.duration + experiment.clients.retry_delay[1] + 2 * max_deadline)
        check(rig)
        record(summary(rig, gossip))
        for fault in experiment.faults:
            record(fault_line(rig, fault))


@contextmanager
def _without_garbage_collection() -> Iterator[None]:
    """Modules live to the end; looking through them again and again would take most of the time."""
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


def check(rig: Rig) -> None:
    """Raise AssertionError unless every request has one final answer and no attempt is left."""
    tally = rig.tally
    if tally.open_requests:
        message = f"{tally.open_requests} requests were never answered"
        raise AssertionError(message)
    if tally.all_answers != rig.clients.sent_count:
        message = f"{rig.clients.sent_count} tries and {tally.all_answers} answers"
        raise AssertionError(message)
    in_flight = sum(customer.quota.in_flight for customer in rig.customers)
    if in_flight:
        message = f"{in_flight} attempts are still out"
        raise AssertionError(message)


def gossip_figures(rig: Rig) -> dict[str, Any]:
    """Messages between limiters so far; taken at the end of the time in which requests arrive."""
    seconds = rig.experiment.duration / 1000
    limiters = rig.host.limiters

    def rate(counts: list[int]) -> dict[str, float]:
        return mean_and_max_rate(counts, seconds)

    return {
        "tells": rig.tally.gossip_messages,
        "messages_sent_per_s": rate([limiter.gossip_sent for limiter in limiters]),
        "messages_heard_per_s": rate([limiter.gossip_received for limiter in limiters]),
        "bytes_sent_per_s": rate([limiter.gossip_bytes_sent for limiter in limiters]),
        "bytes_heard_per_s": rate([limiter.gossip_bytes_received for limiter in limiters]),
        "messages_dropped": sum(intake.dropped for intake in rig.host.gossip_network.intakes),
    }


def summary(rig: Rig, gossip: dict[str, Any]) -> dict[str, Any]:
    """The line for the whole experiment."""
    experiment = rig.experiment
    return {
        "experiment": experiment.name,
        "seed": experiment.seed,
        "limiters": experiment.limiters,
        "servers": len(rig.servers.servers),
        "customers": len(rig.customers),
        "duration_ms": experiment.duration,
        **_request_figures(rig),
        **_counter_figures(rig),
        **gossip,
        **_gossip_age_figures(rig),
        "list_changes": rig.host.discovery.changes,
        "servers_fallen": sum(server.crashes for server in rig.servers.servers.values()),
    }


def fault_line(rig: Rig, fault: Fault) -> dict[str, Any]:
    """The line for one fault."""
    return {
        "experiment": rig.experiment.name,
        "seed": rig.experiment.seed,
        "fault": type(fault).__struct_config__.tag,
        "at_ms": fault.at,
        "ends_ms": fault.at + fault.duration(),
        **rig.tally.recovery(fault.at),
    }


def _outcome_counts(outcomes: Mapping[Outcome, int]) -> dict[str, int]:
    """Return the count of each outcome that occurred, by its name in result lines."""
    return {
        OUTCOME_RESULT_NAMES.get(outcome, outcome.value): count
        for outcome, count in outcomes.items()
        if count
    }


def _request_figures(rig: Rig) -> dict[str, Any]:
    tally = rig.tally
    answers = {answer.value: count for answer, count in tally.answers.items()}
    return {
        "tries": tally.requests,
        "retries": tally.retries,
        **answers,
        "by_driver": tally.answered_by_driver,
        "served_share": ratio(answers["served"], tally.requests),
        "refused_share": ratio(answers["refused"], tally.requests),
        "refused_with_room_share": ratio(tally.rejected_within_quota, tally.requests),
        "units_sent_on": tally.units,
        "units_beyond": tally.units_beyond_quota,
        "beyond_share": ratio(tally.units_beyond_quota, tally.units),
        "attempts": tally.attempts,
        "outcomes": _outcome_counts(tally.outcomes),
        "latency_ms": _named_quantiles(tally.latencies, MAX_LATENCY_US, 0.001),
    }


def _counter_figures(rig: Rig) -> dict[str, Any]:
    counter = rig.host.counter
    return {
        "counter_calls": counter.calls,
        "counter_full": counter.rejected_calls,
        "counter_unanswered": counter.timed_out_calls,
        "counter_calls_a_request": ratio(counter.calls, rig.clients.sent_count),
    }


def _gossip_age_figures(rig: Rig) -> dict[str, Any]:
    ages = rig.gossip_ages
    intake = rig.experiment.network.peer_intake
    interval_ms = 1000 * (rig.experiment.limiters - 1) / (INTAKE_SHARE * intake)
    return {
        "telling_interval_ms": rounded(interval_ms),
        "news_pairs": ages.expected,
        "news_age_ms": _named_quantiles(ages.ages, MAX_AGE_STEPS, AGE_STEP_MS),
        "news_never_learnt": ratio(ages.expected - ages.learnt, ages.expected),
    }


def _named_quantiles(counts: dict[int, int], max_value: int, scale: float) -> dict[str, float | None]:
    values = quantiles(counts, max_value, scale, list(QUANTILE_LEVELS.values()))
    return dict(zip(QUANTILE_LEVELS, values, strict=True))
