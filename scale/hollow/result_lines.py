"""The result lines of hollow experiments: one for the whole run, and one for each fault.

Their keys keep the words of older runs (`tells`, `news`, `refused`), so that results stay comparable.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import TypedDict

from limiter.model.events import Outcome
from limiter.policy.usage_gossip import MAX_INTAKE_FRACTION
from scale.hollow.gossip_age import AGE_STEP_MS
from scale.hollow.plan import Fault
from scale.hollow.simulation import Simulation
from scale.hollow.tally import RequestOutcome, mean_and_max_rate, quantiles, ratio, rounded

# Names of outcomes in result lines that differ from the enumeration's values of today.
OUTCOME_RESULT_NAMES = {Outcome.REJECTED: "full", Outcome.REQUEST_ENDED: "moot"}
QUANTILE_LEVELS = {"p50": 0.5, "p90": 0.9, "p99": 0.99}
# Highest values that the histograms hold; a higher one counts as this one.
MAX_AGE_STEPS = 10_000_000
MAX_LATENCY_US = 60_000_000

# Quantiles by the names of QUANTILE_LEVELS; each is None if there are no values.
Quantiles = dict[str, float | None]


class RequestFigures(TypedDict):
    """What became of requests and attempts that arrived after the warm-up."""

    tries: int  # requests, retries included
    retries: int
    served: int
    refused: int
    failed: int
    lost: int  # requests whose limiter was killed
    unreachable: int  # requests whose limiter was down
    by_driver: int  # requests that the driver ended at their deadline, before the policy engine did
    served_share: float | None
    refused_share: float | None
    refused_with_room_share: float | None  # share rejected while half the quota or more was free
    units_sent_on: float
    units_beyond: float
    beyond_share: float | None
    attempts: int
    outcomes: dict[str, int]  # number of attempts by outcome
    latency_ms: Quantiles  # latency of served requests


class CounterFigures(TypedDict):
    """Calls of the shared counter."""

    counter_calls: int
    counter_full: int  # calls rejected by a full queue
    counter_unanswered: int  # calls that timed out
    counter_calls_a_request: float | None


class GossipFigures(TypedDict):
    """Number and rate of gossip messages between limiters."""

    tells: int  # messages, each sent to all other limiters
    messages_sent_per_s: dict[str, float]  # datagrams; mean and maximum over limiters
    messages_heard_per_s: dict[str, float]
    bytes_sent_per_s: dict[str, float]
    bytes_heard_per_s: dict[str, float]
    messages_dropped: int  # datagrams beyond what their receivers take in


class GossipAgeFigures(TypedDict):
    """Delay until other limiters learn of a customer's usage."""

    telling_interval_ms: float
    news_pairs: int  # pairs of a usage and a limiter that should learn of it
    news_age_ms: Quantiles
    news_never_learnt: float | None  # share of the pairs


class Summary(RequestFigures, CounterFigures, GossipFigures, GossipAgeFigures):
    """The line for the whole experiment."""

    experiment: str
    seed: int
    limiters: int
    servers: int
    customers: int
    duration_ms: float
    list_changes: int
    servers_fallen: int  # crashes of overload during slow start


class FaultLine(TypedDict):
    """The line for one fault."""

    experiment: str
    seed: int
    fault: str
    at_ms: float
    ends_ms: float
    # Units beyond quotas in a window: mean before the fault, and the most after it.
    before: float | None
    worst: float | None
    recovery_ms: float | None


def summary(simulation: Simulation, gossip: GossipFigures) -> Summary:
    """Make the line for the whole experiment; `gossip` was taken when the last requests had arrived."""
    experiment = simulation.experiment
    servers = simulation.servers.servers
    return {
        "experiment": experiment.name,
        "seed": experiment.seed,
        "limiters": experiment.limiters,
        "servers": len(servers),
        "customers": len(simulation.customers),
        "duration_ms": experiment.duration,
        **_request_figures(simulation),
        **_counter_figures(simulation),
        **gossip,
        **_gossip_age_figures(simulation),
        "list_changes": simulation.discovery.changes,
        "servers_fallen": sum(server.crash_count for server in servers.values()),
    }


def fault_line(simulation: Simulation, fault: Fault) -> FaultLine:
    """Make the line for one fault."""
    return {
        "experiment": simulation.experiment.name,
        "seed": simulation.experiment.seed,
        "fault": str(type(fault).__struct_config__.tag),
        "at_ms": fault.at,
        "ends_ms": fault.at + fault.duration(),
        **simulation.tally.measure_recovery(fault.at),
    }


def gossip_figures(simulation: Simulation) -> GossipFigures:
    """Count the messages between limiters so far, by seconds in which requests arrive."""
    seconds = simulation.experiment.duration / 1000
    limiters = simulation.limiter_host.limiters

    def rate(counts: list[int]) -> dict[str, float]:
        return mean_and_max_rate(counts, seconds)

    return {
        "tells": simulation.tally.gossip_messages,
        "messages_sent_per_s": rate([limiter.gossip_sent for limiter in limiters]),
        "messages_heard_per_s": rate([limiter.gossip_received for limiter in limiters]),
        "bytes_sent_per_s": rate([limiter.gossip_bytes_sent for limiter in limiters]),
        "bytes_heard_per_s": rate([limiter.gossip_bytes_received for limiter in limiters]),
        "messages_dropped": sum(
            intake.dropped_datagram_count for intake in simulation.limiter_host.gossip_network.intakes
        ),
    }


def _request_figures(simulation: Simulation) -> RequestFigures:
    tally = simulation.tally
    ended = tally.request_outcomes
    return {
        "tries": tally.requests,
        "retries": tally.retries,
        "served": ended[RequestOutcome.SERVED],
        "refused": ended[RequestOutcome.REJECTED],
        "failed": ended[RequestOutcome.FAILED],
        "lost": ended[RequestOutcome.KILLED],
        "unreachable": ended[RequestOutcome.UNREACHABLE],
        "by_driver": tally.ended_by_driver,
        "served_share": ratio(ended[RequestOutcome.SERVED], tally.requests),
        "refused_share": ratio(ended[RequestOutcome.REJECTED], tally.requests),
        "refused_with_room_share": ratio(tally.rejected_within_quota, tally.requests),
        "units_sent_on": tally.units,
        "units_beyond": tally.units_beyond_quota,
        "beyond_share": ratio(tally.units_beyond_quota, tally.units),
        "attempts": tally.attempts,
        "outcomes": _outcome_counts(tally.attempt_outcomes),
        "latency_ms": _named_quantiles(tally.latencies, MAX_LATENCY_US, 0.001),
    }


def _outcome_counts(outcomes: Mapping[Outcome, int]) -> dict[str, int]:
    """Return the count of each outcome that occurred, by its name in result lines."""
    return {
        OUTCOME_RESULT_NAMES.get(outcome, outcome.value): count
        for outcome, count in outcomes.items()
        if count
    }


def _counter_figures(simulation: Simulation) -> CounterFigures:
    counter = simulation.limiter_host.counter
    return {
        "counter_calls": counter.calls,
        "counter_full": counter.rejected_call_count,
        "counter_unanswered": counter.timed_out_calls,
        "counter_calls_a_request": ratio(counter.calls, simulation.clients.sent_count),
    }


def _gossip_age_figures(simulation: Simulation) -> GossipAgeFigures:
    ages = simulation.gossip_ages
    intake = simulation.experiment.network.peer_intake
    interval_ms = 1000 * (simulation.experiment.limiters - 1) / (MAX_INTAKE_FRACTION * intake)
    return {
        "telling_interval_ms": rounded(interval_ms),
        "news_pairs": ages.expected_pair_count,
        "news_age_ms": _named_quantiles(ages.counts_by_age, MAX_AGE_STEPS, AGE_STEP_MS),
        "news_never_learnt": ratio(
            ages.expected_pair_count - ages.learnt_pair_count, ages.expected_pair_count
        ),
    }


def _named_quantiles(counts: dict[int, int], max_value: int, scale: float) -> Quantiles:
    values = quantiles(counts, max_value, scale, list(QUANTILE_LEVELS.values()))
    return dict(zip(QUANTILE_LEVELS, values, strict=True))
