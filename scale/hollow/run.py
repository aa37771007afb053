"""Runs a hollow experiment, checks that every request ended once, and records its result lines."""

from __future__ import annotations

import gc
from collections.abc import Iterator
from contextlib import contextmanager

from scale.experiment import ProgressReporter, ResultRecorder
from scale.hollow.plan import HollowExperiment
from scale.hollow.result_lines import fault_line, gossip_figures, summary
from scale.hollow.simulation import Simulation

# Number of progress lines while requests arrive, at even distances of simulated time.
PROGRESS_LINES = 10


def run(experiment: HollowExperiment, record: ResultRecorder, progress: ProgressReporter) -> None:
    """Run the experiment until every request has ended.

    Args:
        experiment: what to run.
        record: takes the result lines.
        progress: takes lines of text while the experiment runs.

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
        check_all_requests_ended(simulation)
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


def check_all_requests_ended(simulation: Simulation) -> None:
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
