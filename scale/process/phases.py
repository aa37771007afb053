"""Phases of load on one limiter process, and the figures measured in each phase."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections import Counter as Tally
from dataclasses import dataclass
from typing import TypedDict

from hdrh.histogram import HdrHistogram

from scale.experiment import ResultLine
from scale.process.clients import Clients
from scale.process.environment import Environment
from scale.process.fleet import GOSSIP_INTAKE_PER_S
from scale.process.fleet_load import LimiterFleet, compute_fleet_load
from scale.process.limiter_process import LimiterProcess
from scale.process.plan import ProcessExperiment

# Time after the last request of a phase until missing responses count as lost: the deadline of a request plus
# one second.
RESPONSE_TIMEOUT_SECONDS = 4.0
# Highest latency that the histogram can record.
MAX_LATENCY_US = 60_000_000


class ResponseFigures(TypedDict):
    """Responses to the requests of a phase. `added_*` is the latency that the limiter adds."""

    requests: int
    answers: dict[str, int]  # number of responses by status
    lost: int  # requests without a response
    added_p50_ms: float | None
    added_p99_ms: float | None


class FleetFigures(TypedDict):
    """Load of a whole fleet of limiters on the services that they share."""

    counter_calls_a_request: float
    counter_calls_per_s: float
    discovery_calls_per_s: float
    discovery_entries_per_s: float
    told_every_s: float  # interval between two gossip messages of one limiter
    datagrams_per_s: float


@dataclass(frozen=True, slots=True)
class Phase:
    """A phase, with the rates per second at which the emulated peers generate load."""

    name: str
    gossip_message_rate: float = 0.0
    change_rate: float = 0.0
    request_rate: float = 0.0


@dataclass(frozen=True, slots=True)
class PhaseMeasurement:
    """Measurements during one phase."""

    duration_s: float
    processor_seconds: float  # processor time of the limiter
    counts: Tally[str]  # counts of the emulated peers, by the keys of the result lines

    @property
    def cores_used(self) -> float:
        """Processor time of the limiter, in seconds per second."""
        return round(self.processor_seconds / self.duration_s, 4)


def make_phases(experiment: ProcessExperiment) -> tuple[Phase, ...]:
    """Return the phases. Each adds a kind of load to the previous phase; the difference is its cost."""
    gossip_message_rate = experiment.datagrams_per_s
    change_rate = experiment.changes_per_s
    return (
        Phase("idle"),
        Phase("datagrams", gossip_message_rate),
        Phase("changes", gossip_message_rate, change_rate),
        Phase("load", gossip_message_rate, change_rate, experiment.requests_per_s),
    )


async def run_phases(environment: Environment, limiter: LimiterProcess) -> list[ResultLine]:
    """Run all phases on a limiter that is ready; return the figures of each phase."""
    assert limiter.address is not None
    clients = environment.start_clients(limiter.address)
    lines: list[ResultLine] = []
    previous_cores_used: float | None = None  # cores used in the previous phase
    for phase in make_phases(environment.experiment):
        await asyncio.sleep(environment.experiment.settle_s)
        measurement = await _run_phase(environment, limiter, clients, phase)
        await _wait_for_responses(clients)
        additional_cores = (
            0.0 if previous_cores_used is None else measurement.cores_used - previous_cores_used
        )
        previous_cores_used = measurement.cores_used
        lines.append(
            {
                **_compute_cost_figures(phase, measurement, additional_cores),
                **_compute_response_figures(clients),
                "stand_ins_late_p99_ms": _compute_percentile_ms(environment.action_delays_s, 99.0),
                "tier": _compute_fleet_figures(environment, phase, measurement.counts, clients.requests_sent),
            }
        )
    return lines


async def _run_phase(
    environment: Environment, limiter: LimiterProcess, clients: Clients, phase: Phase
) -> PhaseMeasurement:
    phase_s = environment.experiment.phase_s
    environment.action_delays_s.clear()
    counts_before = environment.collect_counts()
    started_at = time.monotonic()
    processor_seconds_before = limiter.read_processor_seconds()
    async with asyncio.TaskGroup() as group:
        group.create_task(asyncio.sleep(phase_s))
        group.create_task(
            environment.call_at_rate(environment.peers.send_message, phase.gossip_message_rate, phase_s)
        )
        group.create_task(
            environment.call_at_rate(environment.discovery.apply_next_change, phase.change_rate, phase_s)
        )
        group.create_task(environment.call_at_rate(clients.send_request, phase.request_rate, phase_s))
    elapsed_s = time.monotonic() - started_at
    processor_seconds = limiter.read_processor_seconds() - processor_seconds_before
    counts = environment.collect_counts()
    counts.subtract(counts_before)
    return PhaseMeasurement(elapsed_s, processor_seconds, counts)


async def _wait_for_responses(clients: Clients) -> None:
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(RESPONSE_TIMEOUT_SECONDS):
            await clients.wait_until_all_requests_ended()


def _compute_cost_figures(phase: Phase, measurement: PhaseMeasurement, additional_cores: float) -> ResultLine:
    """Return duration, processor time and counts of a phase, and the cost of one unit of the added load."""
    figures: dict[str, object] = {
        "phase": phase.name,
        "seconds": round(measurement.duration_s, 3),
        "core": measurement.cores_used,
    }
    for name, count in sorted(measurement.counts.items()):
        figures[name] = round(count / measurement.duration_s, 1) if "bytes" in name else count
    added_load_by_phase = {
        "datagrams": ("processor_ms_a_datagram", phase.gossip_message_rate),
        "changes": ("processor_ms_a_change", phase.change_rate),
        "load": ("processor_ms_a_request", phase.request_rate),
    }
    for phase_name, (cost_key, added_rate) in added_load_by_phase.items():
        is_added_by_phase = phase_name == phase.name and added_rate > 0
        figures[cost_key] = round(1000 * additional_cores / added_rate, 4) if is_added_by_phase else None
    return figures


def _compute_response_figures(clients: Clients) -> ResponseFigures:
    """Return the counts of responses by status, and the latency added to served requests.

    The added latency is the time from writing a request to reading its complete response, less the service
    time of the server. It includes the time that the emulated peers take on the same machine.
    """
    return {
        "requests": clients.requests_sent,
        "answers": {str(status): count for status, count in sorted(clients.responses_by_status.items())},
        "lost": clients.requests_sent - clients.responses_by_status.total(),
        "added_p50_ms": _compute_percentile_ms(clients.added_latencies_s, 50.0),
        "added_p99_ms": _compute_percentile_ms(clients.added_latencies_s, 99.0),
    }


def _compute_percentile_ms(durations_s: list[float], percentile: float) -> float | None:
    """Compute a percentile in milliseconds; None if there are no values."""
    if not durations_s:
        return None
    histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
    for value in durations_s:
        histogram.record_value(max(1, round(value * 1e6)))
    value_us: float = histogram.get_value_at_percentile(percentile)
    return value_us / 1000


def _compute_fleet_figures(
    environment: Environment, phase: Phase, counts: Tally[str], request_count: int
) -> FleetFigures | None:
    """Return the load of a fleet of such limiters on shared services; None in a phase without requests."""
    if not phase.request_rate:
        return None
    fleet = LimiterFleet(
        limiter_count=environment.limiter_count,
        discovery_is_pushed=environment.experiment.discovery == "pushed",
        changes_per_s=phase.change_rate,
        requests_per_s=phase.request_rate,
        counter_calls_per_request=counts["counter_calls"] / max(1, request_count),
        gossip_intake_per_s=GOSSIP_INTAKE_PER_S,
    )
    load = compute_fleet_load(fleet)
    return {
        "counter_calls_a_request": round(fleet.counter_calls_per_request, 4),
        "counter_calls_per_s": round(load.counter_call_rate, 1),
        "discovery_calls_per_s": round(load.discovery_call_rate, 1),
        "discovery_entries_per_s": round(load.discovery_entry_rate, 1),
        "told_every_s": round(load.gossip_interval_s, 2),
        "datagrams_per_s": round(load.datagram_rate, 1),
    }
