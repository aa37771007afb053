"""The result lines of hollow experiments: one for the whole run and one for each fault.

The keys of the lines keep the terms of earlier runs (`tells`, `news`, `refused`), so that results stay
comparable.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import TypedDict

from limiter.model.events import Outcome
from limiter.policy.usage_gossip import MAX_INTAKE_FRACTION
from scale.hollow.gossip_age import AGE_STEP_MS
from scale.hollow.plan import Fault
from scale.hollow.simulation import Simulation
from scale.hollow.tally import (
    RequestOutcome,
    compute_mean_and_max_rate,
    compute_quantiles,
    compute_ratio,
    round_to_six_digits,
)

# Names of outcomes in result lines, where they differ from the current values of the enumeration.
OUTCOME_RESULT_NAMES = {Outcome.REJECTED: "full", Outcome.REQUEST_ENDED: "moot"}
QUANTILE_LEVELS = {"p50": 0.5, "p90": 0.9, "p99": 0.99}
# Maximum values of the histograms; a higher value is counted as the maximum.
MAX_AGE_STEPS = 10_000_000
MAX_LATENCY_US = 60_000_000

# Quantiles by the names of QUANTILE_LEVELS; each is None if there are no values.
Quantiles = dict[str, float | None]


class RequestFigures(TypedDict):
    """Outcomes of the requests that arrived after the warm-up, and figures on units and attempts."""

    tries: int  # requests, including retries
    retries: int
    served: int
    refused: int
    failed: int
    lost: int  # requests whose limiter was killed
    unreachable: int  # requests that were sent to a limiter that was down
    by_driver: int  # requests that the driver ended at their deadline, not the policy engine
    served_share: float | None
    refused_share: float | None
    refused_with_room_share: float | None  # share rejected while at least half the quota was unused
    units_sent_on: float
    units_beyond: float
    beyond_share: float | None
    attempts: int
    outcomes: dict[str, int]  # number of attempts by outcome
    latency_ms: Quantiles  # latency of served requests


class CounterFigures(TypedDict):
    """Numbers of calls of the shared counter."""

    counter_calls: int
    counter_full: int  # calls rejected because the queue was full
    counter_unanswered: int  # calls that timed out
    counter_calls_a_request: float | None


class GossipFigures(TypedDict):
    """Number and rate of gossip messages between limiters."""

    tells: int  # number of messages, each of which goes to all other limiters
    messages_sent_per_s: dict[str, float]  # datagrams: mean and maximum over limiters
    messages_heard_per_s: dict[str, float]
    bytes_sent_per_s: dict[str, float]
    bytes_heard_per_s: dict[str, float]
    messages_dropped: int  # datagrams dropped by the rate limit of their receivers


class GossipAgeFigures(TypedDict):
    """Delay until a customer's other limiters learn of its usage at one limiter."""

    telling_interval_ms: float
    news_pairs: int  # pairs of a forwarded request and a limiter that should learn of its usage
    news_age_ms: Quantiles
    news_never_learnt: float | None  # share of the pairs whose limiter never learnt of the usage


class Summary(RequestFigures, CounterFigures, GossipFigures, GossipAgeFigures):
    """The result line for the whole experiment."""

    experiment: str
    seed: int
    limiters: int
    servers: int
    customers: int
    duration_ms: float
    list_changes: int
    servers_fallen: int  # number of crashes due to overload during slow start


class FaultLine(TypedDict):
    """The result line for one fault."""

    experiment: str
    seed: int
    fault: str
    at_ms: float
    ends_ms: float
    # Units beyond quotas in a window: mean before the fault, and maximum after it.
    before: float | None
    worst: float | None
    recovery_ms: float | None


def make_summary(simulation: Simulation, gossip: GossipFigures) -> Summary:
    """Make the line for the whole experiment; `gossip` has the figures as of the end of `duration`."""
    experiment = simulation.experiment
    servers = simulation.server_fleet.servers_by_id
    return {
        "experiment": experiment.name,
        "seed": experiment.seed,
        "limiters": experiment.limiters,
        "servers": len(servers),
        "customers": len(simulation.customers),
        "duration_ms": experiment.duration,
        **_make_request_figures(simulation),
        **_make_counter_figures(simulation),
        **gossip,
        **_make_gossip_age_figures(simulation),
        "list_changes": simulation.discovery.pushed_change_count,
        "servers_fallen": sum(server.crash_count for server in servers.values()),
    }


def make_fault_line(simulation: Simulation, fault: Fault) -> FaultLine:
    """Make the line for one fault."""
    return {
        "experiment": simulation.experiment.name,
        "seed": simulation.experiment.seed,
        "fault": str(type(fault).__struct_config__.tag),
        "at_ms": fault.starts_at,
        "ends_ms": fault.starts_at + fault.compute_total_duration(),
        **simulation.tally.measure_recovery(fault.starts_at),
    }


def make_gossip_figures(simulation: Simulation) -> GossipFigures:
    """Make the figures of gossip so far; rates are per second of the experiment's `duration`."""
    seconds = simulation.experiment.duration / 1000
    limiters = simulation.limiter_host.limiters

    def compute_rates(counts: list[int]) -> dict[str, float]:
        return compute_mean_and_max_rate(counts, seconds)

    return {
        "tells": simulation.tally.gossip_message_count,
        "messages_sent_per_s": compute_rates([limiter.gossip_datagrams_sent for limiter in limiters]),
        "messages_heard_per_s": compute_rates([limiter.gossip_datagrams_received for limiter in limiters]),
        "bytes_sent_per_s": compute_rates([limiter.gossip_bytes_sent for limiter in limiters]),
        "bytes_heard_per_s": compute_rates([limiter.gossip_bytes_received for limiter in limiters]),
        "messages_dropped": sum(
            intake.dropped_datagram_count for intake in simulation.limiter_host.gossip_network.receive_limits
        ),
    }


def _make_request_figures(simulation: Simulation) -> RequestFigures:
    tally = simulation.tally
    requests_by_outcome = tally.counts_by_request_outcome
    return {
        "tries": tally.request_count,
        "retries": tally.retry_count,
        "served": requests_by_outcome[RequestOutcome.SERVED],
        "refused": requests_by_outcome[RequestOutcome.REJECTED],
        "failed": requests_by_outcome[RequestOutcome.FAILED],
        "lost": requests_by_outcome[RequestOutcome.KILLED],
        "unreachable": requests_by_outcome[RequestOutcome.UNREACHABLE],
        "by_driver": tally.requests_ended_by_driver,
        "served_share": compute_ratio(requests_by_outcome[RequestOutcome.SERVED], tally.request_count),
        "refused_share": compute_ratio(requests_by_outcome[RequestOutcome.REJECTED], tally.request_count),
        "refused_with_room_share": compute_ratio(tally.requests_rejected_within_quota, tally.request_count),
        "units_sent_on": tally.forwarded_units,
        "units_beyond": tally.forwarded_units_beyond_quota,
        "beyond_share": compute_ratio(tally.forwarded_units_beyond_quota, tally.forwarded_units),
        "attempts": tally.attempt_count,
        "outcomes": _make_outcome_counts(tally.counts_by_attempt_outcome),
        "latency_ms": _compute_named_quantiles(tally.counts_by_latency, MAX_LATENCY_US, 0.001),
    }


def _make_outcome_counts(outcomes: Mapping[Outcome, int]) -> dict[str, int]:
    """Return the number of attempts for each outcome that occurred, by the name in result lines."""
    return {
        OUTCOME_RESULT_NAMES.get(outcome, outcome.value): count
        for outcome, count in outcomes.items()
        if count
    }


def _make_counter_figures(simulation: Simulation) -> CounterFigures:
    counter = simulation.limiter_host.counter
    return {
        "counter_calls": counter.call_count,
        "counter_full": counter.rejected_call_count,
        "counter_unanswered": counter.timed_out_call_count,
        "counter_calls_a_request": compute_ratio(counter.call_count, simulation.clients.sent_request_count),
    }


def _make_gossip_age_figures(simulation: Simulation) -> GossipAgeFigures:
    ages = simulation.gossip_ages
    intake = simulation.experiment.network.gossip_intake_per_second
    interval_ms = 1000 * (simulation.experiment.limiters - 1) / (MAX_INTAKE_FRACTION * intake)
    return {
        "telling_interval_ms": round_to_six_digits(interval_ms),
        "news_pairs": ages.expected_pair_count,
        "news_age_ms": _compute_named_quantiles(ages.counts_by_age, MAX_AGE_STEPS, AGE_STEP_MS),
        "news_never_learnt": compute_ratio(
            ages.expected_pair_count - ages.learnt_pair_count, ages.expected_pair_count
        ),
    }


def _compute_named_quantiles(counts: dict[int, int], max_value: int, scale: float) -> Quantiles:
    values = compute_quantiles(counts, max_value, scale, list(QUANTILE_LEVELS.values()))
    return dict(zip(QUANTILE_LEVELS, values, strict=True))
