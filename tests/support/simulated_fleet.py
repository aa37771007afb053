"""A fleet of policy engines on one virtual clock, with simulated clients, network and servers in slow start.

Only the engines are real; clients, network and servers are simulated with one seeded random number
generator, so that a run with the same seed is reproducible. Times are in milliseconds.

The virtual clock and the slow start formulas are those of `scale.hollow`. The models of clients, network
and gossip are deliberately simpler than there: delays are constant and nothing is lost, so that only the
limiters' decisions determine the load on a server in slow start. `simulated_server` describes how its model
of a server differs.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from limiter.model.actions import Action, BroadcastGossip, FailRequest, RejectRequest, SendAttempt, SetTimer
from limiter.model.events import (
    AttemptEnded,
    ClientRequest,
    Endpoint,
    EndpointsChanged,
    EndpointState,
    Event,
    GossipReceived,
    Outcome,
    TimerFired,
)
from limiter.model.settings import Idempotency, QuotaPlan, RequestClass, Settings
from limiter.policy.engine import PolicyEngine
from scale.hollow.clock import VirtualClock
from tests.support.simulated_server import (
    CORES,
    MEAN_WORK_MS,
    OVERLOAD_FACTOR,
    SLOW_START_CAPACITY,
    SLOW_START_MS,
    STEP_MS,
    WINDOW_MS,
    Arrival,
    Attempt,
    SimulatedServer,
)

START_TIME_MS = 1000.0
# Delay of an attempt from a limiter to a server; responses have no delay.
NETWORK_DELAY_MS = 1.0
GOSSIP_DELAY_MS = 5.0
# Time after which a client stops waiting for a response.
CLIENT_TIMEOUT_MS = 3000.0
CUSTOMER_COUNT = 200
# Probability that a client retries a new request that was rejected; retries are not retried again.
RETRY_PROBABILITY = 0.5
RETRY_DELAY_RANGE_MS = (50, 400)
REQUEST_CLASSES = (
    RequestClass(1200.0, CLIENT_TIMEOUT_MS, late_weight=0.2),
    RequestClass(1000.0, CLIENT_TIMEOUT_MS, Idempotency.NOT_IDEMPOTENT),
)


@dataclass(frozen=True, slots=True)
class LoadBurst:
    """A period, from `start` to `end` in ms, in which the request rate is multiplied by `load_factor`."""

    start: float
    end: float
    load_factor: float


class SimulatedFleet:
    """Limiters, servers and clients; a test runs the clock, crashes servers and starts new ones.

    Attributes:
        servers: the servers by their endpoint ids.
        announcement_delays_ms: delay with which a limiter receives an endpoint list; 0 for a limiter without
            an entry.
        served_requests: number of requests with a successful response.
        rejected_requests: number of requests that ended with RejectRequest.
        failed_requests: number of requests that ended with FailRequest.
        new_requests: number of requests, without retries.
    """

    def __init__(self, limiters: int, servers: int, load: float, seed: int, burst: LoadBurst) -> None:
        """Start the fleet; all servers are past their slow start and known to all limiters.

        Args:
            limiters: number of limiters.
            servers: number of servers.
            load: rate of new requests outside the burst, as a fraction of the capacity of all servers.
            seed: seed of the random number generator.
            burst: a period with a higher request rate.
        """
        self.servers: dict[bytes, SimulatedServer] = {}
        self.announcement_delays_ms: dict[int, float] = {}
        self.served_requests = 0
        self.rejected_requests = 0
        self.failed_requests = 0
        self.new_requests = 0
        self._rng = Random(seed)
        self._clock = VirtualClock(START_TIME_MS)
        self._capacity_per_ms = servers * CORES / MEAN_WORK_MS  # in requests per ms
        self._load_fraction = load
        self._burst = burst
        self._engines = _make_engines(limiters, self._rng)
        # For each limiter, the start times of the servers in its endpoint list, by endpoint id.
        self._known_start_times: list[dict[bytes, float]] = [{} for _ in self._engines]
        self._open_requests: dict[int, ClientRequest] = {}
        self._last_request_id = 0
        self._attempts_made: dict[int, int] = {}  # number of attempts sent, by request id
        # Attempts that have reached their server and have not ended.
        self._attempts_in_flight: set[Attempt] = set()
        # The request rates of limiters differ: some get several times the mean rate.
        self._limiter_weights = [self._rng.lognormvariate(0.0, 0.8) for _ in self._engines]
        for number in range(servers):
            self.add_server(number, started_at=0.0)
        self.announce_servers()
        self._clock.call_at(self.now, self._send_new_request)

    @property
    def now(self) -> float:
        """Current time, in ms."""
        return self._clock.now

    def add_server(self, number: int, started_at: float) -> SimulatedServer:
        """Start a server, which replaces the one with that number.

        Args:
            number: number of the server.
            started_at: its start time, in ms; 0 for a server that is past its slow start.
        """
        capacity = CORES * self._rng.uniform(0.9, 1.1)
        info = Endpoint(_make_endpoint_id(number), EndpointState.READY, started_at=started_at)
        server = SimulatedServer(info, capacity)
        self.servers[info.id] = server
        return server

    def crash_server(self, number: int) -> None:
        """Crash a server; its attempts in flight end with a reset."""
        for attempt in self.servers[_make_endpoint_id(number)].crash():
            self._end_attempt(attempt, Outcome.RESET)

    def announce_servers(self) -> None:
        """Send the full endpoint list to all limiters, after the delays in `announcement_delays_ms`."""
        ready = tuple(server.info for server in self.servers.values() if not server.is_down)
        change = EndpointsChanged(ready, is_full_list=True)
        for limiter in range(len(self._engines)):
            delay = self.announcement_delays_ms.get(limiter, 0.0)
            self._clock.call_at(self.now + delay, self._deliver_event, limiter, change)

    def run_until(self, end: float) -> None:
        """Run the simulation in whole steps, up to the time `end` in ms."""
        step_end = self.now + STEP_MS
        while step_end <= end:
            self._clock.run(step_end)
            for server in list(self.servers.values()):
                for attempt in server.run_step(step_end):
                    self._end_attempt(attempt, Outcome.OK)
            step_end += STEP_MS

    def _send_new_request(self) -> None:
        """Send a new request, and schedule the next one; new requests form a Poisson process."""
        self.new_requests += 1
        self._send_request(is_retry=False)
        next_at = self.now + self._rng.expovariate(self._compute_requests_per_ms())
        self._clock.call_at(next_at, self._send_new_request)

    def _send_retry(self) -> None:
        self._send_request(is_retry=True)

    def _compute_requests_per_ms(self) -> float:
        in_burst = self._burst.start <= self.now < self._burst.end
        return self._capacity_per_ms * self._load_fraction * (self._burst.load_factor if in_burst else 1.0)

    def _send_request(self, is_retry: bool) -> None:
        limiters = len(self._engines)
        limiter = self._rng.choices(range(limiters), self._limiter_weights)[0]
        self._last_request_id += 1
        request = ClientRequest(
            id=self._last_request_id,
            customer=self._rng.randrange(CUSTOMER_COUNT),
            plan=0,
            request_class=self._rng.randrange(len(REQUEST_CLASSES)),
            units=1.0,
            limiter_set_size=float(limiters),
            limiter_set_start=0.0,
            expires_at=self.now + CLIENT_TIMEOUT_MS,
            is_retry=is_retry,
        )
        self._open_requests[request.id] = request
        self._deliver_event(limiter, request)

    def _handle_arrival(self, attempt: Attempt) -> None:
        self._attempts_in_flight.add(attempt)
        server = self.servers[attempt.endpoint_id]
        if server.is_down:
            self._end_attempt(attempt, Outcome.CONNECT_FAILED)
            return
        work_ms = self._rng.expovariate(1 / MEAN_WORK_MS)
        known_start = self._known_start_times[attempt.limiter].get(attempt.endpoint_id)
        server.arrivals.append(
            Arrival(self.now, is_from_informed_limiter=known_start == server.info.started_at)
        )
        if not server.accept(attempt, work_ms):
            self._end_attempt(attempt, Outcome.REJECTED)

    def _time_out_attempt(self, attempt: Attempt) -> None:
        """End an attempt with a timeout, unless it has already ended."""
        if attempt in self._attempts_in_flight:
            self.servers[attempt.endpoint_id].discard_attempt(attempt)
            self._end_attempt(attempt, Outcome.TIMEOUT)

    def _end_attempt(self, attempt: Attempt, outcome: Outcome) -> None:
        if attempt not in self._attempts_in_flight:
            return
        self._attempts_in_flight.discard(attempt)
        is_served = outcome is Outcome.OK
        if is_served and self._open_requests.pop(attempt.request_id, None) is not None:
            self.served_requests += 1
        ended = AttemptEnded(
            attempt.request_id,
            attempt.number,
            attempt.endpoint_id,
            outcome,
            self.now - attempt.sent_at,
            is_served,
        )
        self._deliver_event(attempt.limiter, ended)

    def _deliver_event(self, limiter: int, event: Event) -> None:
        if isinstance(event, EndpointsChanged):
            self._known_start_times[limiter].update({info.id: info.started_at for info in event.endpoints})
        for action in self._engines[limiter].handle(self.now, event):
            self._execute_action(limiter, action)

    def _execute_action(self, limiter: int, action: Action) -> None:
        match action:
            case SendAttempt(request_id, endpoint_id, timeout):
                number = self._attempts_made.get(request_id, 0)
                self._attempts_made[request_id] = number + 1
                attempt = Attempt(limiter, request_id, number, endpoint_id, self.now)
                self._clock.call_at(self.now + NETWORK_DELAY_MS, self._handle_arrival, attempt)
                self._clock.call_at(self.now + timeout, self._time_out_attempt, attempt)
            case RejectRequest(request_id):
                self.rejected_requests += 1
                self._maybe_schedule_retry(self._open_requests.pop(request_id))
            case FailRequest(request_id):
                self.failed_requests += 1
                self._open_requests.pop(request_id)
            case SetTimer(delay, token):
                self._clock.call_at(self.now + delay, self._deliver_event, limiter, TimerFired(token))
            case BroadcastGossip(body):
                self._broadcast(GossipReceived(limiter, body))
            case _:
                pass

    def _maybe_schedule_retry(self, request: ClientRequest) -> None:
        if self._rng.random() < RETRY_PROBABILITY and not request.is_retry:
            delay = self._rng.uniform(*RETRY_DELAY_RANGE_MS)
            self._clock.call_at(self.now + delay, self._send_retry)

    def _broadcast(self, message: GossipReceived) -> None:
        for receiver in range(len(self._engines)):
            if receiver != message.sender:
                self._clock.call_at(self.now + GOSSIP_DELAY_MS, self._deliver_event, receiver, message)


def _make_engines(limiters: int, rng: Random) -> list[PolicyEngine]:
    return [
        PolicyEngine(_make_settings(limiter, limiters), rng.getrandbits(32)) for limiter in range(limiters)
    ]


def _make_endpoint_id(number: int) -> bytes:
    return b"server %d" % number


def _make_settings(limiter: int, limiters: int) -> Settings:
    return Settings(
        limiter_index=limiter,
        limiter_count=limiters,
        request_classes=REQUEST_CLASSES,
        plans=(QuotaPlan(),),
        max_attempts=4,
        may_cancel=True,
        may_gossip=True,
        gossip_intake_per_second=40.0,
        slow_start_capacity=SLOW_START_CAPACITY,
        slow_start_duration=SLOW_START_MS,
        slow_start_overload=OVERLOAD_FACTOR,
        slow_start_window=WINDOW_MS,
    )
