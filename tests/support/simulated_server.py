"""A simulated server with slow start. Times are in milliseconds.

The slow start formulas are those of `scale.hollow`, but the models of a server deliberately differ. A server
of `scale.hollow` runs one job on each core, queues other jobs and crashes when overloaded, which is cheap to
simulate in a large fleet. Here all attempts in flight share the cores, so that an overloaded server is slow
for all limiters at the same time. It never crashes because of its load; `compute_peak_load_ratio` measures
how close to a crash it came.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush
from typing import NamedTuple

from limiter.model.events import Endpoint
from scale.hollow.slow_start import compute_capacity_fraction, compute_tolerated_arrivals

# Duration of a simulation step; attempts that complete in a step end when the step ends.
STEP_MS = 10.0
# Mean time that a request takes on one core.
MEAN_WORK_MS = 155.0
CORES = 2.0
# Maximum number of attempts in flight at a server; it rejects further ones.
MAX_IN_FLIGHT = 50
# Fraction of its capacity that a server has when it starts.
SLOW_START_CAPACITY = 0.16
SLOW_START_MS = 16000.0
# Load that a server in slow start withstands within a window, as a multiple of its current capacity.
OVERLOAD_FACTOR = 2.0
WINDOW_MS = 1000.0
# Maximum number of most recent arrivals that are searched for those within one window.
MAX_WINDOW_ARRIVALS = 400


@dataclass(frozen=True, slots=True, order=True)
class Attempt:
    """One attempt of a request, sent by a limiter to a server."""

    limiter: int
    request_id: int
    number: int
    endpoint_id: bytes
    sent_at: float


class Arrival(NamedTuple):
    """The arrival of an attempt at a server."""

    arrived_at: float
    is_from_informed_limiter: bool  # whether the sender knew the server's start time


@dataclass(slots=True)
class SimulatedServer:
    """A server whose cores are shared evenly by its attempts in flight."""

    info: Endpoint
    capacity: float  # ms of work done per ms after the slow start
    # Work, in ms, that an attempt would have received if it had been in flight since the start.
    work_per_attempt_ms: float = 0.0
    # Heap of the attempts, ordered by the value of `work_per_attempt_ms` at which each one is complete.
    in_flight: list[tuple[float, Attempt]] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    is_down: bool = False

    def capacity_fraction_at(self, now: float) -> float:
        """Return the fraction of its capacity that the server has at `now`; a start time of 0 is long ago."""
        if self.info.started_at <= 0:
            return 1.0
        age = max(0.0, now - self.info.started_at)
        return compute_capacity_fraction(age, SLOW_START_MS, SLOW_START_CAPACITY)

    def accept(self, attempt: Attempt, work_ms: float) -> bool:
        """Start to process an attempt; return False, and reject it, if too many are in flight."""
        if len(self.in_flight) >= MAX_IN_FLIGHT:
            return False
        heappush(self.in_flight, (self.work_per_attempt_ms + work_ms, attempt))
        return True

    def discard_attempt(self, attempt: Attempt) -> None:
        """Stop processing an attempt, which gets no result."""
        self.in_flight = [entry for entry in self.in_flight if entry[1] != attempt]
        heapify(self.in_flight)

    def crash(self) -> list[Attempt]:
        """Crash, and return the attempts that were in flight."""
        self.is_down = True
        attempts = [attempt for _, attempt in self.in_flight]
        self.in_flight = []
        return attempts

    def run_step(self, now: float) -> list[Attempt]:
        """Process attempts for the step that ends at `now`; return those that are complete."""
        completed_attempts: list[Attempt] = []
        remaining_ms = STEP_MS
        while self.in_flight and remaining_ms > 1e-9:
            core_fraction = min(1 / CORES, 1 / len(self.in_flight))  # an attempt uses at most one core
            work_rate = self.capacity * self.capacity_fraction_at(now) * core_fraction
            needed_ms = (self.in_flight[0][0] - self.work_per_attempt_ms) / work_rate
            if needed_ms > remaining_ms:
                self.work_per_attempt_ms += work_rate * remaining_ms
                break
            remaining_ms -= needed_ms
            self.work_per_attempt_ms, attempt = heappop(self.in_flight)
            completed_attempts.append(attempt)
        return completed_attempts

    def compute_peak_load_ratio(self) -> float:
        """Compute the highest ratio of arrivals to tolerated arrivals in any window during the slow start.

        The tolerated arrivals follow from OVERLOAD_FACTOR times the current capacity. A window counts only if
        more than two thirds of its attempts came from limiters that knew the server's start time.
        """
        peak_ratio = 0.0
        for index, (end, _) in enumerate(self.arrivals):
            if end >= self.info.started_at + SLOW_START_MS:
                break
            recent = self.arrivals[max(0, index - MAX_WINDOW_ARRIVALS) : index + 1]
            window = [arrival for arrival in recent if arrival.arrived_at > end - WINDOW_MS]
            informed_arrivals = sum(arrival.is_from_informed_limiter for arrival in window)
            expected_arrivals = (
                OVERLOAD_FACTOR * self.capacity_fraction_at(end) * self.capacity / MEAN_WORK_MS * WINDOW_MS
            )
            max_tolerated_arrivals = compute_tolerated_arrivals(expected_arrivals)
            if informed_arrivals > 2 / 3 * len(window):
                peak_ratio = max(peak_ratio, len(window) / max_tolerated_arrivals)
        return peak_ratio
