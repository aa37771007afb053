"""Phases of load on one limiter process, and the figures of each."""

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

# Time from the last request until a missing response counts as lost: the request's deadline and a second.
RESPONSE_TIMEOUT_SECONDS = 4.0
# Highest latency that the histogram holds.
MAX_LATENCY_US = 60_000_000


class ResponseFigures(TypedDict):
    """Responses to the clients' requests of a phase."""

    requests: int
    answers: dict[str, int]  # number of responses by status
    lost: int  # requests without a response
    added_p50_ms: float | None
    added_p99_ms: float | None


class FleetFigures(TypedDict):
    """Load of a whole fleet of limiters on the roles that they share."""

    counter_calls_a_request: float
    counter_calls_per_s: float
    discovery_calls_per_s: float
    discovery_entries_per_s: float
    told_every_s: float  # interval between two gossip messages of one limiter
    datagrams_per_s: float


@dataclass(frozen=True, slots=True)
class Phase:
    """What emulated peers do in a phase, by their rates a second."""

    name: str
    datagrams: float = 0.0
    changes: float = 0.0
    requests: float = 0.0


@dataclass(frozen=True, slots=True)
class Measurement:
    """Time of a phase, processor time of the limiter, and what the emulated peers counted meanwhile."""

    seconds: float
    processor_seconds: float  # processor time of the limiter
    counts: Tally[str]  # what the emulated peers counted

    @property
    def cores(self) -> float:
        """Processor seconds of the limiter a second."""
        return round(self.processor_seconds / self.seconds, 4)


def phases_of(experiment: ProcessExperiment) -> tuple[Phase, ...]:
    """Each phase has the load of the one before and one kind more, whose cost is the difference."""
    datagrams = experiment.datagrams_per_s
    changes = experiment.changes_per_s
    return (
        Phase("idle"),
        Phase("datagrams", datagrams),
        Phase("changes", datagrams, changes),
        Phase("load", datagrams, changes, experiment.requests_per_s),
    )


async def play_phases(environment: Environment, limiter: LimiterProcess) -> list[ResultLine]:
    """Run all phases on a limiter that is ready; return the figures of each."""
    assert limiter.address is not None
    clients = environment.start_clients(limiter.address)
    lines: list[ResultLine] = []
    cores_before: float | None = None  # figure of the phase before
    for phase in phases_of(environment.experiment):
        await asyncio.sleep(environment.experiment.settle_s)
        measurement = await _play_phase(environment, limiter, clients, phase)
        await _wait_for_responses(clients)
        additional_cores = 0.0 if cores_before is None else measurement.cores - cores_before
        cores_before = measurement.cores
        lines.append(
            {
                **_cost_figures(phase, measurement, additional_cores),
                **_response_figures(clients),
                "stand_ins_late_p99_ms": _percentile_ms(environment.delays_s, 99.0),
                "tier": _fleet_figures(environment, phase, measurement.counts, clients.sent),
            }
        )
    return lines


async def _play_phase(
    environment: Environment, limiter: LimiterProcess, clients: Clients, phase: Phase
) -> Measurement:
    phase_s = environment.experiment.phase_s
    environment.delays_s.clear()
    counts_before = environment.counts()
    started_at = time.monotonic()
    processor_before = limiter.processor_seconds()
    async with asyncio.TaskGroup() as group:
        group.create_task(asyncio.sleep(phase_s))
        group.create_task(environment.repeat(environment.peers.send_message, phase.datagrams, phase_s))
        group.create_task(environment.repeat(environment.discovery.apply_next_change, phase.changes, phase_s))
        group.create_task(environment.repeat(clients.send_request, phase.requests, phase_s))
    elapsed_s = time.monotonic() - started_at
    processor_seconds = limiter.processor_seconds() - processor_before
    counts = environment.counts()
    counts.subtract(counts_before)
    return Measurement(elapsed_s, processor_seconds, counts)


async def _wait_for_responses(clients: Clients) -> None:
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(RESPONSE_TIMEOUT_SECONDS):
            await clients.wait_until_all_ended()


def _cost_figures(phase: Phase, measurement: Measurement, additional_cores: float) -> ResultLine:
    """Time, processor time and counts of a phase, and the cost of one of what it adds to the phase before."""
    figures: dict[str, object] = {
        "phase": phase.name,
        "seconds": round(measurement.seconds, 3),
        "core": measurement.cores,
    }
    for name, count in sorted(measurement.counts.items()):
        figures[name] = round(count / measurement.seconds, 1) if "bytes" in name else count
    additions = {
        "datagrams": ("processor_ms_a_datagram", phase.datagrams),
        "changes": ("processor_ms_a_change", phase.changes),
        "load": ("processor_ms_a_request", phase.requests),
    }
    for phase_name, (figure, per_s) in additions.items():
        is_added = phase_name == phase.name and per_s > 0
        figures[figure] = round(1000 * additional_cores / per_s, 4) if is_added else None
    return figures


def _response_figures(clients: Clients) -> ResponseFigures:
    """Count responses by status, and measure the latency added to served requests.

    That latency is the time from writing a request to reading its whole response, less the server's own time.
    It includes what the emulated peers take of the same machine.
    """
    return {
        "requests": clients.sent,
        "answers": {str(status): count for status, count in sorted(clients.statuses.items())},
        "lost": clients.sent - clients.statuses.total(),
        "added_p50_ms": _percentile_ms(clients.added_latencies_s, 50.0),
        "added_p99_ms": _percentile_ms(clients.added_latencies_s, 99.0),
    }


def _percentile_ms(seconds: list[float], percentile: float) -> float | None:
    """Compute a percentile in ms; None without values."""
    if not seconds:
        return None
    histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
    for value in seconds:
        histogram.record_value(max(1, round(value * 1e6)))
    value_us: float = histogram.get_value_at_percentile(percentile)
    return value_us / 1000


def _fleet_figures(
    environment: Environment, phase: Phase, counts: Tally[str], requests: int
) -> FleetFigures | None:
    """The load of a fleet of such limiters on the roles that they share; None in a phase without requests."""
    if not phase.requests:
        return None
    fleet = LimiterFleet(
        limiters=environment.limiters,
        discovery_is_pushed=environment.experiment.discovery == "pushed",
        changes_per_s=phase.changes,
        requests_per_s=phase.requests,
        counter_calls_per_request=counts["counter_calls"] / max(1, requests),
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
