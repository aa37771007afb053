"""Simulation of a server with cores, a queue, and a slow start during which overload crashes it."""

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
    """A request at a server, from when it is sent until it ends there. Only the server changes its state."""

    __slots__ = ("has_started", "is_ended_at_server", "work_ms")

    def __init__(self, work_ms: float) -> None:
        """Create a job that takes `work_ms` of one core of a server after its slow start."""
        self.work_ms = work_ms
        self.has_started = False
        self.is_ended_at_server = False

    @abstractmethod
    def handle_reply(self, outcome: Outcome) -> None:
        """Handle the server's response, which the server sends now."""


@dataclass(frozen=True, slots=True)
class ServerModel:
    """The parameters that all servers of an experiment share."""

    parameters: ServerParameters
    mean_work_ms: float  # over all requests, in ms of one core


class Server:
    """A server that runs one job per core and queues others; during slow start, overload crashes it."""

    def __init__(
        self,
        clock: VirtualClock,
        model: ServerModel,
        number: int,
        zone: int,
        on_crash: Callable[[Server], None],
    ) -> None:
        """Create a running server whose slow start is over.

        The endpoint id is made from `number`. `on_crash` is called when the server crashes due to overload.
        """
        self.id = number.to_bytes(6, "big")
        self.zone = zone
        self.started_at = -math.inf  # ms; time at which the process started
        self.is_up = True
        self.is_draining = False
        self.crash_count = 0
        self._clock = clock
        self._parameters = model.parameters
        self._mean_work_ms = model.mean_work_ms
        self._on_crash = on_crash
        self._is_machine_lost = False  # if true, packets to the server get no reply, not even a reset
        self._running_job_count = 0
        # Queued jobs. A cancelled job stays here until it reaches the head of the queue.
        self._queue: deque[ServerJob] = deque()
        self._queued_job_count = 0  # without cancelled jobs
        self._jobs: dict[ServerJob, None] = {}  # running and queued jobs, in order of arrival
        # Times of arrivals within the overload window during slow start, in ms.
        self._recent_arrivals: deque[float] = deque()

    def make_endpoint(self, state: EndpointState) -> Endpoint:
        """Return the server's entry in the endpoint list."""
        return Endpoint(self.id, state, zone=self.zone, started_at=max(0.0, self.started_at))

    def get_capacity_fraction(self) -> float:
        """Return the present capacity as a fraction of the full one; it grows linearly during slow start."""
        parameters = self._parameters
        age = self._clock.now - self.started_at
        return compute_capacity_fraction(age, parameters.slow_start_duration, parameters.slow_start_capacity)

    def receive_job(self, job: ServerJob) -> None:
        """Run, queue or reject a job that arrives; it fails to connect if the process is down."""
        if self._is_machine_lost or job.is_ended_at_server:
            return
        if not self.is_up:
            _end_job(job, Outcome.CONNECT_FAILED)
        elif self.is_draining:
            _end_job(job, Outcome.REJECTED)
        elif self._is_in_slow_start() and self._record_arrival_and_check_overload():
            self.crash_count += 1
            self.stop()
            self._on_crash(self)
            _end_job(job, Outcome.CONNECT_FAILED)
        else:
            self._accept_job(job)

    def remove_job(self, job: ServerJob) -> None:
        """End a job that is done or cancelled; its core or its place in the queue becomes free at once."""
        if job.is_ended_at_server:
            return
        job.is_ended_at_server = True
        if job not in self._jobs:
            return
        del self._jobs[job]
        if not job.has_started:
            self._queued_job_count -= 1
            return
        self._running_job_count -= 1
        self._start_queued_jobs()

    def stop(self, is_machine_lost: bool = False) -> None:
        """Stop the process; its connections are reset, unless the machine is lost."""
        self.is_up = False
        self._is_machine_lost = is_machine_lost
        jobs = self._jobs
        self._jobs = {}
        self._running_job_count = 0
        self._queued_job_count = 0
        self._queue.clear()
        for job in jobs:
            if is_machine_lost:
                job.is_ended_at_server = True
            else:
                _end_job(job, Outcome.RESET)

    def drain(self) -> None:
        """Reject new requests from now on; running and queued ones continue."""
        self.is_draining = True

    def start(self) -> None:
        """Restart the process, which is then in slow start."""
        self.is_up = True
        self.is_draining = False
        self._is_machine_lost = False
        self.started_at = self._clock.now
        self._recent_arrivals.clear()

    def _is_in_slow_start(self) -> bool:
        return self._clock.now - self.started_at < self._parameters.slow_start_duration

    def _record_arrival_and_check_overload(self) -> bool:
        """Record an arrival; return whether the window has more than N + 2 sqrt(N) + 2 arrivals.

        N is the number of arrivals within the window that the parameters allow at the present capacity.
        """
        parameters = self._parameters
        now = self._clock.now
        self._recent_arrivals.append(now)
        while self._recent_arrivals[0] <= now - parameters.slow_start_window:
            self._recent_arrivals.popleft()
        rate_factor = parameters.slow_start_overload * self.get_capacity_fraction()
        allowed_arrivals = rate_factor * parameters.slow_start_window * parameters.cores / self._mean_work_ms
        return len(self._recent_arrivals) > compute_tolerated_arrivals(allowed_arrivals)

    def _accept_job(self, job: ServerJob) -> None:
        if self._running_job_count < self._parameters.cores:
            self._jobs[job] = None
            self._start_job(job)
        elif self._queued_job_count < self._parameters.max_queue_length:
            self._jobs[job] = None
            self._queue.append(job)
            self._queued_job_count += 1
        else:
            _end_job(job, Outcome.REJECTED)

    def _start_job(self, job: ServerJob) -> None:
        self._running_job_count += 1
        job.has_started = True
        self._clock.call_at(
            self._clock.now + job.work_ms / self.get_capacity_fraction(), self._finish_job, job
        )

    def _start_queued_jobs(self) -> None:
        while self._queue and self._running_job_count < self._parameters.cores:
            job = self._queue.popleft()
            if not job.is_ended_at_server:
                self._queued_job_count -= 1
                self._start_job(job)

    def _finish_job(self, job: ServerJob) -> None:
        if not job.is_ended_at_server:
            self.remove_job(job)
            job.handle_reply(Outcome.OK)


def _end_job(job: ServerJob, outcome: Outcome) -> None:
    """End a job that is neither running nor queued."""
    job.is_ended_at_server = True
    job.handle_reply(outcome)
