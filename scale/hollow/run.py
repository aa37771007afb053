"""Runs a hollow experiment, checks that each request ended exactly once, and records the result lines."""

from __future__ import annotations

import gc
from collections.abc import Iterator
from contextlib import contextmanager

from scale.experiment import ProgressReporter, ResultRecorder
from scale.hollow.plan import HollowExperiment
from scale.hollow.result_lines import make_fault_line, make_gossip_figures, make_summary
from scale.hollow.simulation import Simulation

# Number of progress lines while requests arrive, at equal intervals of simulated time.
PROGRESS_LINES = 10


def run(experiment: HollowExperiment, record: ResultRecorder, progress: ProgressReporter) -> None:
    """Run the experiment until every request has ended.

    Args:
        experiment: The experiment.
        record: Is called with each result line.
        progress: Is called with lines of text while the experiment runs.

    Raises:
        AssertionError: A request got no final outcome or more than one.
    """
    with _disabled_garbage_collection():
        simulation = Simulation(experiment)
        servers = len(simulation.server_fleet.servers_by_id)
        size = f"{experiment.limiters} limiters, {servers} servers, {len(simulation.customers)} customers"
        progress(f"{experiment.name}: {size}")
        for step in range(1, PROGRESS_LINES + 1):
            simulation.run(experiment.duration * step / PROGRESS_LINES)
            seconds = f"{simulation.clock.now / 1000:.1f} s of {experiment.duration / 1000:.1f} s"
            progress(f"{experiment.name}: {seconds}")
        gossip = make_gossip_figures(simulation)
        max_deadline = max(request_class.deadline for request_class in experiment.classes)
        simulation.run(experiment.duration + experiment.clients.retry_delay[1] + 2 * max_deadline)
        check_all_requests_ended(simulation)
        record(make_summary(simulation, gossip))
        for fault in experiment.faults:
            record(make_fault_line(simulation, fault))


@contextmanager
def _disabled_garbage_collection() -> Iterator[None]:
    """Disable garbage collection during the context.

    The engines live until the end of the run, and scanning them would take most of the run's time.
    """
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


def check_all_requests_ended(simulation: Simulation) -> None:
    """Raise AssertionError unless each request has one final outcome and no attempt is in flight."""
    tally = simulation.tally
    if tally.open_request_count:
        message = f"{tally.open_request_count} requests have no final outcome"
        raise AssertionError(message)
    if tally.ended_request_count != simulation.clients.sent_request_count:
        message = (
            f"{simulation.clients.sent_request_count} requests sent but {tally.ended_request_count} ended"
        )
        raise AssertionError(message)
    attempts_in_flight = sum(customer.quota.in_flight_attempt_count for customer in simulation.customers)
    if attempts_in_flight:
        message = f"{attempts_in_flight} attempts are still in flight"
        raise AssertionError(message)
