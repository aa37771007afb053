"""Simulation of a server: cores, a queue, and a slow start in which overload makes it crash."""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from limiter.model.events import Endpoint, EndpointState, Outcome
from scale.hollow.clock import VirtualClock
from scale.hollow.plan import ServerParameters
from scale.hollow.slow_start import compute_capacity_fraction, compute_tolerated_arrivals


class ServerJob(ABC):
    """A request at a server, from its sending to its end there. The server alone writes its state."""

    __slots__ = ("is_over", "is_started", "work_ms")

    def __init__(self, work_ms: float) -> None:
        """Take `work` ms of one core of a warm server."""
        self.work_ms = work_ms
        self.is_started = False
        self.is_over = False

    @abstractmethod
    def handle_reply(self, outcome: Outcome) -> None:
        """Take the server's response, which leaves the server now."""


@dataclass(frozen=True, slots=True)
class ServerModel:
    """What all servers of an experiment have in common."""

    parameters: ServerParameters
    mean_work_ms: float  # mean work of all requests, in ms of one core


class Server:
    """Cores and a queue before them; after a start it is cold for a while and then crashes if overloaded."""

    def __init__(
        self,
        clock: VirtualClock,
        model: ServerModel,
        number: int,
        zone: int,
        on_crash: Callable[[Server], None],
    ) -> None:
        """Run since long ago, so that the slow start is over.

        The endpoint id follows from `number`; `on_crash` is called when the server crashes of overload.
        """
        self.id = number.to_bytes(6, "big")
        self.zone = zone
        self.started_at = -math.inf  # ms; start of the process
        self.is_up = True
        self.is_draining = False
        self.crash_count = 0
        self._clock = clock
        self._parameters = model.parameters
        self._mean_work = model.mean_work_ms
        self._on_crash = on_crash
        self._is_machine_lost = False  # if so, packets to it get no reply, not even a reset
        self._running_count = 0
        # Queued jobs; one that was cancelled stays in the queue until its turn comes.
        self._queue: deque[ServerJob] = deque()
        self._queued_count = 0  # number of queued jobs that were not cancelled
        self._jobs: dict[ServerJob, None] = {}  # running and queued jobs, in order of arrival
        # Times of arrivals within the overload window during slow start, in ms.
        self._recent_arrivals: deque[float] = deque()

    def endpoint(self, state: EndpointState) -> Endpoint:
        """The server's entry of the endpoint list."""
        return Endpoint(self.id, state, zone=self.zone, started_at=max(0.0, self.started_at))

    def capacity(self) -> float:
        """Present capacity as a share of the full one; during slow start it grows linearly."""
        parameters = self._parameters
        age = self._clock.now - self.started_at
        return compute_capacity_fraction(age, parameters.slow_start_duration, parameters.slow_start_capacity)

    def receive_job(self, job: ServerJob) -> None:
        """Run, queue or reject a job; one that arrives at a process that is down fails to connect."""
        if self._is_machine_lost or job.is_over:
            return
        if not self.is_up:
            _end(job, Outcome.CONNECT_FAILED)
        elif self.is_draining:
            _end(job, Outcome.REJECTED)
        elif self._is_in_slow_start() and self._is_overloaded():
            self.crash_count += 1
            self.stop()
            self._on_crash(self)
            _end(job, Outcome.CONNECT_FAILED)
        else:
            self._accept(job)

    def remove_job(self, job: ServerJob) -> None:
        """End a job, whether done or cancelled: its core or place in the queue is free at once."""
        if job.is_over:
            return
        job.is_over = True
        if job not in self._jobs:
            return
        del self._jobs[job]
        if not job.is_started:
            self._queued_count -= 1
            return
        self._running_count -= 1
        self._start_queued()

    def stop(self, is_machine_lost: bool = False) -> None:
        """End the process, which resets its connections; a lost machine resets none."""
        self.is_up = False
        self._is_machine_lost = is_machine_lost
        jobs = self._jobs
        self._jobs = {}
        self._running_count = 0
        self._queued_count = 0
        self._queue.clear()
        for job in jobs:
            if is_machine_lost:
                job.is_over = True
            else:
                _end(job, Outcome.RESET)

    def drain(self) -> None:
        """Take no more requests; those that are running or queued go on."""
        self.is_draining = True

    def start(self) -> None:
        """Start the process anew, in slow start."""
        self.is_up = True
        self.is_draining = False
        self._is_machine_lost = False
        self.started_at = self._clock.now
        self._recent_arrivals.clear()

    def _is_in_slow_start(self) -> bool:
        return self._clock.now - self.started_at < self._parameters.slow_start_duration

    def _is_overloaded(self) -> bool:
        """Count an arrival; return whether the window has more than N + 2 sqrt(N) + 2 arrivals.

        N is the number that the settings allow a server of the present capacity in that window.
        """
        parameters = self._parameters
        now = self._clock.now
        self._recent_arrivals.append(now)
        while self._recent_arrivals[0] <= now - parameters.slow_start_window:
            self._recent_arrivals.popleft()
        rate_factor = parameters.slow_start_overload * self.capacity()
        allowed = rate_factor * parameters.slow_start_window * parameters.cores / self._mean_work
        return len(self._recent_arrivals) > compute_tolerated_arrivals(allowed)

    def _accept(self, job: ServerJob) -> None:
        if self._running_count < self._parameters.cores:
            self._jobs[job] = None
            self._run(job)
        elif self._queued_count < self._parameters.queue:
            self._jobs[job] = None
            self._queue.append(job)
            self._queued_count += 1
        else:
            _end(job, Outcome.REJECTED)

    def _run(self, job: ServerJob) -> None:
        self._running_count += 1
        job.is_started = True
        self._clock.call_at(self._clock.now + job.work_ms / self.capacity(), self._finish, job)

    def _start_queued(self) -> None:
        while self._queue and self._running_count < self._parameters.cores:
            job = self._queue.popleft()
            if not job.is_over:
                self._queued_count -= 1
                self._run(job)

    def _finish(self, job: ServerJob) -> None:
        if not job.is_over:
            self.remove_job(job)
            job.handle_reply(Outcome.OK)


def _end(job: ServerJob, outcome: Outcome) -> None:
    """End a job that is not running or queued any more."""
    job.is_over = True
    job.handle_reply(outcome)
