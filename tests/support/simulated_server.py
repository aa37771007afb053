"""A simulated server that may start cold. Times are milliseconds.

The arithmetic of slow start is that of `scale.hollow`, but the models of a server differ on purpose. A server
of `scale.hollow` runs one job on each core, queues others and crashes of overload, which is cheap to simulate
in a large fleet. Here all attempts in flight share the cores, so that a server that gets too much is slow for
all its limiters at once, and it never crashes by itself: `peak_load` measures how near to a crash it came.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush
from typing import NamedTuple

from limiter.model.events import Endpoint
from scale.hollow.slow_start import compute_capacity_fraction, compute_tolerated_arrivals

# Length of the steps in which servers work; results are reported at the end of a step.
STEP_MS = 10.0
# Mean work of a request on one core.
MEAN_WORK_MS = 155.0
CORES = 2.0
# Number of attempts in flight at a server, above which it rejects.
MAX_IN_FLIGHT = 50
# Share of its capacity that a server has at its start.
SLOW_START_CAPACITY = 0.16
SLOW_START_MS = 16000.0
# Multiple of its present capacity that a server in slow start withstands within a window.
OVERLOAD_FACTOR = 2.0
WINDOW_MS = 1000.0
# Number of the latest arrivals among which those of one window are searched.
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
    """An attempt that reached a server."""

    at: float
    is_informed: bool  # whether its limiter knew when the server started


@dataclass(slots=True)
class SimulatedServer:
    """A server whose cores are shared evenly by the attempts in flight at it."""

    info: Endpoint
    capacity: float  # ms of work done in a ms, past the slow start
    work_per_attempt: float = 0.0  # ms of work that an attempt in flight since the start would have got
    # Heap of attempts by the value that `work_per_attempt` has when they are done.
    in_flight: list[tuple[float, Attempt]] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    is_down: bool = False

    def capacity_share(self, now: float) -> float:
        """Share of its capacity that the server has now; a start of 0 is long ago."""
        if self.info.started_at <= 0:
            return 1.0
        age = max(0.0, now - self.info.started_at)
        return compute_capacity_fraction(age, SLOW_START_MS, SLOW_START_CAPACITY)

    def accept(self, attempt: Attempt, work_ms: float) -> bool:
        """Begin work on an attempt; return False if too many are in flight."""
        if len(self.in_flight) >= MAX_IN_FLIGHT:
            return False
        heappush(self.in_flight, (self.work_per_attempt + work_ms, attempt))
        return True

    def drop(self, attempt: Attempt) -> None:
        """End the work on an attempt without a result."""
        self.in_flight = [entry for entry in self.in_flight if entry[1] != attempt]
        heapify(self.in_flight)

    def crash(self) -> list[Attempt]:
        """Go down; return the attempts that were in flight."""
        self.is_down = True
        attempts = [attempt for _, attempt in self.in_flight]
        self.in_flight = []
        return attempts

    def run_step(self, now: float) -> list[Attempt]:
        """Work through the step that ends now; return the attempts that are done."""
        done: list[Attempt] = []
        time_left = STEP_MS
        while self.in_flight and time_left > 1e-9:
            share = min(1 / CORES, 1 / len(self.in_flight))  # an attempt runs on one core at most
            pace = self.capacity * self.capacity_share(now) * share
            time_needed = (self.in_flight[0][0] - self.work_per_attempt) / pace
            if time_needed > time_left:
                self.work_per_attempt += pace * time_left
                break
            time_left -= time_needed
            self.work_per_attempt, attempt = heappop(self.in_flight)
            done.append(attempt)
        return done

    def peak_load(self) -> float:
        """Compute the highest ratio, over windows in slow start, of arrivals to those that are tolerated.

        The arrivals allowed follow from the present capacity times OVERLOAD_FACTOR. Only windows count in
        which more than two thirds of the attempts came from limiters that knew the server's start.
        """
        peak = 0.0
        for index, (end, _) in enumerate(self.arrivals):
            if end >= self.info.started_at + SLOW_START_MS:
                break
            recent = self.arrivals[max(0, index - MAX_WINDOW_ARRIVALS) : index + 1]
            window = [arrival for arrival in recent if arrival.at > end - WINDOW_MS]
            informed = sum(arrival.is_informed for arrival in window)
            expected = OVERLOAD_FACTOR * self.capacity_share(end) * self.capacity / MEAN_WORK_MS * WINDOW_MS
            tolerated = compute_tolerated_arrivals(expected)
            if informed > 2 / 3 * len(window):
                peak = max(peak, len(window) / tolerated)
        return peak
