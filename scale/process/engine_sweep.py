"""Experiments of the kind `module`: processor time of the policy engine's events, and memory of the engine.

Each size runs in a new interpreter, so that it is not affected by the previous size. Times are processor time
of the thread in microseconds, as the median and the 99th percentile. A garbage collection counts as part of
the event during which it happens.

The engine updates its estimates periodically. The result lines state these updates separately from other
events: `round_idle` before any gossip or request, `round_between` during gossip and requests, and `round` at
the end.
"""

from __future__ import annotations

import gc
import itertools
import math
import multiprocessing
import os
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from random import Random
from typing import TypedDict

from limiter.model.events import Endpoint, EndpointsChanged, EndpointState
from limiter.policy.usage_gossip import MAX_INTAKE_FRACTION
from scale.experiment import ProgressReporter, ResultLine, ResultRecorder
from scale.process.engine_benchmark import ATTEMPT_LATENCY_MS, EngineBenchmark
from scale.process.fleet import (
    CUSTOMER_ID_BOUND,
    GOSSIP_INTAKE_PER_S,
    SERVERS_PER_CELL,
    ZONES,
    encode_gossip_message,
)
from scale.process.limiter_process import read_status_mb
from scale.process.plan import PolicyEngineExperiment
from scale.process.slopes import fit_slopes

CHANGE_INTERVAL_MS = 1.0
INITIAL_GOSSIP_INTERVAL_MS = 2.0
# All customers send their requests within this time. Otherwise the engine would evict the first customers
# before the last ones have sent their requests.
MAX_REQUEST_PHASE_MS = 50_000.0
# Interval between two gossip messages, from all peers together, while customers send requests.
GOSSIP_INTERVAL_MS = 1000.0 / (MAX_INTAKE_FRACTION * GOSSIP_INTAKE_PER_S)
# Maximum number of requests to send for each attempt to keep in flight, because some requests are rejected.
MAX_REQUESTS_PER_ATTEMPT_IN_FLIGHT = 4

TIMED_EVENTS = ("round_idle", "round", "change", "message", "request", "ended")
SLOPE_FIGURE_KEYS = (
    *(f"{name}_us" for name in TIMED_EVENTS),
    "servers_mb",
    "heard_mb",
    "asked_mb",
    "resident_mb",
    "peak_mb",
)


class MemoryAndCountFigures(TypedDict):
    """Memory of the policy engine in MB of 10**6 bytes, and counts of what it handled."""

    servers_mb: float  # growth caused by the endpoint list
    heard_mb: float  # growth caused by gossip on all customers
    asked_mb: float  # growth caused by one request of each customer
    resident_mb: float
    peak_mb: float
    refused: int  # rejected requests
    attempts_out: int  # attempts in flight during the last periodic updates
    senders_heard: int  # limiters whose gossip was accepted


@dataclass(frozen=True, slots=True)
class SweepSize:
    """One size of a sweep."""

    servers: int
    limiters: int
    customers: int


def run(experiment: PolicyEngineExperiment, record: ResultRecorder, progress: ProgressReporter) -> None:
    """Run all sizes. Record a result line for each, then the slopes over each of the swept sizes."""
    lines: list[ResultLine] = []
    spawn = multiprocessing.get_context("spawn")
    for counts in itertools.product(experiment.servers, experiment.limiters, experiment.customers):
        size = SweepSize(*counts)
        progress(f"module: {size.servers} servers, {size.limiters} limiters, {size.customers} customers")
        with ProcessPoolExecutor(1, mp_context=spawn) as pool:
            line = pool.submit(measure_size, experiment, size).result()
        lines.append(line)
        record(line)
    for swept_key in ("servers", "limiters", "customers"):
        for slope in fit_slopes("module", swept_key, lines, SLOPE_FIGURE_KEYS):
            record(slope)


def measure_size(experiment: PolicyEngineExperiment, size: SweepSize) -> ResultLine:
    """Measure one size and return its result line. Runs in an interpreter of its own."""
    figures: ResultLine = {
        "kind": "module",
        "line": "size",
        "servers": size.servers,
        "limiters": size.limiters,
        "customers": size.customers,
        "seed": experiment.seed,
        **SizeBenchmark(experiment, size).run_steps(),
    }
    return {key: round(value, 3) if isinstance(value, float) else value for key, value in figures.items()}


class SizeBenchmark:
    """Benchmark of one size, with all steps of an experiment in `run_steps`."""

    def __init__(self, experiment: PolicyEngineExperiment, size: SweepSize) -> None:
        """Create the policy engine, with an empty endpoint list."""
        self._experiment = experiment
        self._size = size
        self._rng = Random(f"{experiment.seed} {size.servers} {size.limiters} {size.customers}")
        self._benchmark = EngineBenchmark(experiment.seed, size.limiters)
        self._sender_numbers = itertools.cycle(range(1, size.limiters))
        self._customer_ids: list[int] = []

    def run_steps(self) -> ResultLine:
        """Run all steps; return memory, counts and the processor time of each kind of event.

        The steps are the endpoint list, periodic updates, changes to the list, gossip on each customer, a
        request of each customer, and periodic updates with attempts in flight.
        """
        empty_mb = _measure_resident_mb()
        self._add_initial_servers()
        with_servers_mb = _measure_resident_mb()
        self._run_periodic_updates("round_idle")
        self._apply_endpoint_changes()
        self._customer_ids = self._rng.sample(range(CUSTOMER_ID_BOUND), self._size.customers)
        before_gossip_mb = _measure_resident_mb()
        self._receive_gossip_on_all_customers()
        after_gossip_mb = _measure_resident_mb()
        rejected_requests = self._send_request_of_each_customer()
        after_requests_mb = _measure_resident_mb()
        attempts_in_flight = self._start_attempts_in_flight()
        self._run_periodic_updates("round")
        figures: MemoryAndCountFigures = {
            "servers_mb": with_servers_mb - empty_mb,
            "heard_mb": after_gossip_mb - before_gossip_mb,
            "asked_mb": after_requests_mb - after_gossip_mb,
            "resident_mb": after_requests_mb,
            "peak_mb": read_status_mb(os.getpid(), "VmHWM"),
            "refused": rejected_requests,
            "attempts_out": attempts_in_flight,
            "senders_heard": len(self._benchmark.accepted_senders),
        }
        return {**figures, **self._compute_event_figures()}

    def _add_initial_servers(self) -> None:
        restarted_count = round(self._experiment.restarted_fraction * self._size.servers)
        endpoints = tuple(
            _make_endpoint(
                server_number,
                EndpointState.READY,
                self._benchmark.now_ms if server_number < restarted_count else 0.0,
            )
            for server_number in range(self._size.servers)
        )
        self._benchmark.handle_event("list", EndpointsChanged(endpoints, is_full_list=True))

    def _run_periodic_updates(self, event_name: str) -> None:
        for _ in range(self._experiment.periodic_updates):
            self._benchmark.run_periodic_update(event_name)

    def _apply_endpoint_changes(self) -> None:
        for endpoint in _generate_endpoint_changes(
            self._size.servers, self._experiment.endpoint_changes, self._benchmark.now_ms
        ):
            self._benchmark.advance_clock(CHANGE_INTERVAL_MS)
            self._benchmark.handle_event("change", EndpointsChanged((endpoint,), is_full_list=False))

    def _receive_gossip_on_all_customers(self) -> None:
        """Receive gossip on each customer, with at least one message from each other limiter."""
        customers_per_message = self._experiment.customers_per_message
        message_count = max(math.ceil(self._size.customers / customers_per_message), self._size.limiters - 1)
        for index in range(message_count):
            self._benchmark.advance_clock(INITIAL_GOSSIP_INTERVAL_MS)
            first_index = index * customers_per_message % self._size.customers
            body = encode_gossip_message(
                self._rng, self._customer_ids[first_index : first_index + customers_per_message]
            )
            self._benchmark.receive_gossip(next(self._sender_numbers), body)

    def _send_request_of_each_customer(self) -> int:
        """Send a request of each customer, with gossip in between; return the number of rejected requests."""
        benchmark = self._benchmark
        rejected_requests = 0
        interval_ms = min(ATTEMPT_LATENCY_MS, MAX_REQUEST_PHASE_MS / self._size.customers)
        next_gossip_at_ms = benchmark.now_ms
        for request_number, customer in enumerate(self._customer_ids):
            while benchmark.now_ms >= next_gossip_at_ms:
                next_gossip_at_ms += GOSSIP_INTERVAL_MS
                self._receive_gossip_on_some_customers()
            attempts = benchmark.send_request(request_number, customer)
            benchmark.advance_clock(interval_ms)
            rejected_requests += not attempts
            for attempt in attempts:
                benchmark.complete_attempt(attempt)
        return rejected_requests

    def _receive_gossip_on_some_customers(self) -> None:
        customers_per_message = min(self._experiment.customers_per_message, self._size.customers)
        body = encode_gossip_message(self._rng, self._rng.sample(self._customer_ids, customers_per_message))
        self._benchmark.receive_gossip(next(self._sender_numbers), body)

    def _start_attempts_in_flight(self) -> int:
        """Send requests until enough attempts are in flight; return the number of attempts in flight."""
        wanted_attempts = self._experiment.attempts_in_flight
        first_request_number = self._size.customers
        attempts_in_flight = 0
        for request_number in range(
            first_request_number, first_request_number + MAX_REQUESTS_PER_ATTEMPT_IN_FLIGHT * wanted_attempts
        ):
            attempts_in_flight += len(
                self._benchmark.send_request(
                    request_number, self._customer_ids[request_number % self._size.customers]
                )
            )
            if attempts_in_flight >= wanted_attempts:
                break
        return attempts_in_flight

    def _compute_event_figures(self) -> dict[str, float]:
        """Return the number, median and 99th percentile, in microseconds, of each of EVENT_NAMES."""
        figures: dict[str, float] = {}
        for event_name, histogram in self._benchmark.processor_ns_by_event.items():
            figures[f"{event_name}_n"] = histogram.get_total_count()
            figures[f"{event_name}_us"] = histogram.get_value_at_percentile(50.0) / 1000
            figures[f"{event_name}_p99_us"] = histogram.get_value_at_percentile(99.0) / 1000
        return figures


def _make_endpoint(server_number: int, state: EndpointState, started_at: float) -> Endpoint:
    zone = server_number % len(ZONES)
    cell = server_number // SERVERS_PER_CELL
    return Endpoint(b"s-%08x" % server_number, state, zone=zone, cell=cell, started_at=started_at)


def _generate_endpoint_changes(server_count: int, change_count: int, started_at: float) -> Iterator[Endpoint]:
    """Generate changed entries. In rotation, a server joins, the oldest one drains, and that one leaves."""
    for index in range(change_count):
        oldest_number, step = divmod(index, 3)
        if step == 0:
            yield _make_endpoint(server_count + oldest_number, EndpointState.READY, started_at)
        else:
            yield _make_endpoint(
                oldest_number, EndpointState.DRAINING if step == 1 else EndpointState.GONE, 0.0
            )


def _measure_resident_mb() -> float:
    """Collect garbage, then return the resident memory in MB of 10**6 bytes."""
    gc.collect()
    return read_status_mb(os.getpid(), "VmRSS")
