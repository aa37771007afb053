"""Experiments of the kind `module`: processor time of the policy engine's events, and its memory.

Each size has a fresh interpreter, so that nothing of the size before is counted. Times are processor time of
the thread in microseconds, as the median and the 99th percentile. A garbage collection counts in the event
during which it happens.

A round is the engine's periodic update of its estimates. The result lines count it apart from other
events: `round_idle` before any gossip or request, `round_between` during the sweep, `round` at its end.
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
from scale.process.engine_benchmark import LATENCY_MS, EngineBenchmark
from scale.process.fleet import (
    CUSTOMER_IDS,
    GOSSIP_INTAKE_PER_S,
    SERVERS_PER_CELL,
    ZONES,
    encode_gossip_message,
)
from scale.process.limiter_process import status_mb
from scale.process.plan import PolicyEngineExperiment
from scale.process.slopes import fit_slopes

CHANGE_INTERVAL_MS = 1.0
FIRST_GOSSIP_INTERVAL_MS = 2.0
# All customers send their requests within this time, so that the engine does not forget the first customers
# before the last ones have sent theirs.
ALL_REQUESTS_MS = 50_000.0
# Interval between two messages that the engine receives, from whichever peers.
GOSSIP_INTERVAL_MS = 1000.0 / (MAX_INTAKE_FRACTION * GOSSIP_INTAKE_PER_S)
# Requests to send for each attempt that is to stay in flight, at most, as some requests are rejected.
MAX_REQUESTS_PER_IN_FLIGHT = 4

TIMED_EVENTS = ("round_idle", "round", "change", "message", "request", "ended")
SLOPE_FIGURES = (
    *(f"{name}_us" for name in TIMED_EVENTS),
    "servers_mb",
    "heard_mb",
    "asked_mb",
    "resident_mb",
    "peak_mb",
)


class MemoryAndCounts(TypedDict):
    """Memory of the policy engine in MB of 10**6 bytes, and what it took in."""

    servers_mb: float  # growth by the list of servers
    heard_mb: float  # growth by gossip on all customers
    asked_mb: float  # growth by a request of each customer
    resident_mb: float
    peak_mb: float
    refused: int  # requests
    attempts_out: int  # attempts in flight in the last rounds
    senders_heard: int  # limiters whose gossip was taken in


@dataclass(frozen=True, slots=True)
class Size:
    """One size of a sweep."""

    servers: int
    limiters: int
    customers: int


def run(experiment: PolicyEngineExperiment, record: ResultRecorder, progress: ProgressReporter) -> None:
    """Run all sizes; record a line for each, then the slopes over what was swept."""
    lines: list[ResultLine] = []
    spawn = multiprocessing.get_context("spawn")
    for sizes in itertools.product(experiment.servers, experiment.limiters, experiment.customers):
        size = Size(*sizes)
        progress(f"module: {size.servers} servers, {size.limiters} limiters, {size.customers} customers")
        with ProcessPoolExecutor(1, mp_context=spawn) as pool:
            line = pool.submit(measure, experiment, size).result()
        lines.append(line)
        record(line)
    for swept in ("servers", "limiters", "customers"):
        for slope in fit_slopes("module", swept, lines, SLOPE_FIGURES):
            record(slope)


def measure(experiment: PolicyEngineExperiment, size: Size) -> ResultLine:
    """Measure one size, in an interpreter of its own; return its result line."""
    figures: ResultLine = {
        "kind": "module",
        "line": "size",
        "servers": size.servers,
        "limiters": size.limiters,
        "customers": size.customers,
        "seed": experiment.seed,
        **SizeRun(experiment, size).play(),
    }
    return {key: round(value, 3) if isinstance(value, float) else value for key, value in figures.items()}


class SizeRun:
    """One size: the list, rounds, changes, gossip on each customer, a request of each, and rounds again."""

    def __init__(self, experiment: PolicyEngineExperiment, size: Size) -> None:
        """Make the policy engine, with nothing listed yet."""
        self._experiment = experiment
        self._size = size
        self._rng = Random(f"{experiment.seed} {size.servers} {size.limiters} {size.customers}")
        self._bench = EngineBenchmark(experiment.seed, size.limiters)
        self._senders = itertools.cycle(range(1, size.limiters))
        self._population: list[int] = []

    def play(self) -> ResultLine:
        """Play the size once; return memory, counts, and the time of each kind of event."""
        empty_mb = _resident_mb()
        self._list_servers()
        with_servers_mb = _resident_mb()
        self._play_rounds("round_idle")
        self._change_servers()
        self._population = self._rng.sample(range(CUSTOMER_IDS), self._size.customers)
        before_gossip_mb = _resident_mb()
        self._receive_gossip_of_all()
        after_gossip_mb = _resident_mb()
        rejected = self._request_of_each()
        after_requests_mb = _resident_mb()
        in_flight = self._fill_in_flight()
        self._play_rounds("round")
        figures: MemoryAndCounts = {
            "servers_mb": with_servers_mb - empty_mb,
            "heard_mb": after_gossip_mb - before_gossip_mb,
            "asked_mb": after_requests_mb - after_gossip_mb,
            "resident_mb": after_requests_mb,
            "peak_mb": status_mb(os.getpid(), "VmHWM"),
            "refused": rejected,
            "attempts_out": in_flight,
            "senders_heard": len(self._bench.gossip_senders),
        }
        return {**figures, **self._event_figures()}

    def _list_servers(self) -> None:
        restarted = round(self._experiment.restarted * self._size.servers)
        endpoints = tuple(
            _endpoint(number, EndpointState.READY, self._bench.now if number < restarted else 0.0)
            for number in range(self._size.servers)
        )
        self._bench.feed("list", EndpointsChanged(endpoints, is_full_list=True))

    def _play_rounds(self, name: str) -> None:
        for _ in range(self._experiment.rounds):
            self._bench.play_round(name)

    def _change_servers(self) -> None:
        for endpoint in _changes(self._size.servers, self._experiment.changes, self._bench.now):
            self._bench.advance(CHANGE_INTERVAL_MS)
            self._bench.feed("change", EndpointsChanged((endpoint,), is_full_list=False))

    def _receive_gossip_of_all(self) -> None:
        """Hand over messages that report on each customer, at least one of each other limiter."""
        entries = self._experiment.entries
        messages = max(math.ceil(self._size.customers / entries), self._size.limiters - 1)
        for index in range(messages):
            self._bench.advance(FIRST_GOSSIP_INTERVAL_MS)
            first = index * entries % self._size.customers
            body = encode_gossip_message(self._rng, self._population[first : first + entries])
            self._bench.receive_gossip(next(self._senders), body)

    def _request_of_each(self) -> int:
        """Send a request of each customer, with gossip meanwhile; return how many were rejected."""
        bench = self._bench
        rejected = 0
        interval_ms = min(LATENCY_MS, ALL_REQUESTS_MS / self._size.customers)
        next_gossip_at = bench.now
        for number, customer in enumerate(self._population):
            while bench.now >= next_gossip_at:
                next_gossip_at += GOSSIP_INTERVAL_MS
                self._receive_gossip_of_some()
            attempts = bench.request(number, customer)
            bench.advance(interval_ms)
            rejected += not attempts
            for attempt in attempts:
                bench.end_attempt(attempt)
        return rejected

    def _receive_gossip_of_some(self) -> None:
        entries = min(self._experiment.entries, self._size.customers)
        body = encode_gossip_message(self._rng, self._rng.sample(self._population, entries))
        self._bench.receive_gossip(next(self._senders), body)

    def _fill_in_flight(self) -> int:
        """Send requests until as many attempts as wanted stay in flight; return how many do."""
        wanted = self._experiment.in_flight
        first_number = self._size.customers
        in_flight = 0
        for number in range(first_number, first_number + MAX_REQUESTS_PER_IN_FLIGHT * wanted):
            in_flight += len(self._bench.request(number, self._population[number % self._size.customers]))
            if in_flight >= wanted:
                break
        return in_flight

    def _event_figures(self) -> dict[str, float]:
        """Number, median and 99th percentile, in microseconds, of each of EVENT_NAMES."""
        figures: dict[str, float] = {}
        for name, processor_ns in self._bench.processor_ns.items():
            figures[f"{name}_n"] = processor_ns.get_total_count()
            figures[f"{name}_us"] = processor_ns.get_value_at_percentile(50.0) / 1000
            figures[f"{name}_p99_us"] = processor_ns.get_value_at_percentile(99.0) / 1000
        return figures


def _endpoint(number: int, state: EndpointState, started_at: float) -> Endpoint:
    zone = number % len(ZONES)
    cell = number // SERVERS_PER_CELL
    return Endpoint(b"s-%08x" % number, state, zone=zone, cell=cell, started_at=started_at)


def _changes(servers: int, count: int, started_at: float) -> Iterator[Endpoint]:
    """Changed entries: in turn a server joins, the oldest one drains, and it leaves."""
    for index in range(count):
        oldest, step = divmod(index, 3)
        if step == 0:
            yield _endpoint(servers + oldest, EndpointState.READY, started_at)
        else:
            yield _endpoint(oldest, EndpointState.DRAINING if step == 1 else EndpointState.GONE, 0.0)


def _resident_mb() -> float:
    """Resident memory after a garbage collection, in MB of 10**6 bytes."""
    gc.collect()
    return status_mb(os.getpid(), "VmRSS")
