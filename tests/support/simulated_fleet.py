"""Many policy engines on one virtual clock, before simulated servers of which some start cold.

Nothing is real but the engines: clients, network and servers are drawn from one seeded generator, so that a
run is the same each time. Times are milliseconds.

The virtual clock and the arithmetic of slow start are those of `scale.hollow`. The models of clients, network
and gossip are simpler than there on purpose: delays are constant and nothing is lost, so that the load on a
server in slow start is due to the limiters' decisions alone. See `simulated_server` for how servers differ.
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

START_MS = 1000.0
# Time from a limiter to a server; results come back at once.
NETWORK_DELAY_MS = 1.0
GOSSIP_DELAY_MS = 5.0
# Time after which a client gives up.
CLIENT_TIMEOUT_MS = 3000.0
CUSTOMERS = 200
# Share of the rejected first requests that their clients send again.
RETRY_SHARE = 0.5
RETRY_DELAY_MS = (50, 400)
REQUEST_CLASSES = (
    RequestClass(1200.0, CLIENT_TIMEOUT_MS, late_weight=0.2),
    RequestClass(1000.0, CLIENT_TIMEOUT_MS, Idempotency.NOT_IDEMPOTENT),
)


@dataclass(frozen=True, slots=True)
class LoadBurst:
    """A time in which clients send `factor` times the requests; `start` and `end` in ms."""

    start: float
    end: float
    load_factor: float


class SimulatedFleet:
    """Limiters, servers and clients; the test lets time pass, crashes servers and adds them again."""

    def __init__(self, limiters: int, servers: int, load: float, seed: int, burst: LoadBurst) -> None:
        """Start with servers past their slow start, known to all limiters.

        The rate of first requests, but for the burst, is the share `load` of all servers' capacity.
        """
        self.servers: dict[bytes, SimulatedServer] = {}
        # Delay, in ms, until a limiter learns of a changed list of servers; 0 if it is not in here.
        self.announcement_delays_ms: dict[int, float] = {}
        self.served = 0
        self.rejected = 0
        self.failed = 0
        self.new_requests = 0
        self._rng = Random(seed)
        self._clock = VirtualClock(START_MS)
        self._capacity_per_ms = servers * CORES / MEAN_WORK_MS  # requests a ms
        self._load = load
        self._burst = burst
        self._engines = _make_engines(limiters, self._rng)
        # For each limiter, the starts of servers that it knows, by endpoint id.
        self._known_starts: list[dict[bytes, float]] = [{} for _ in self._engines]
        self._open: dict[int, ClientRequest] = {}
        self._last_request_id = 0
        self._attempts_made: dict[int, int] = {}  # number of attempts by request id
        self._in_flight: set[Attempt] = set()  # attempts that have reached their server and have not ended
        # Some limiters get several times the mean share of the requests.
        self._weights = [self._rng.lognormvariate(0.0, 0.8) for _ in self._engines]
        for number in range(servers):
            self.add_server(number, started_at=0.0)
        self.announce_servers()
        self._clock.call_at(self.now, self._send_new_request)

    @property
    def now(self) -> float:
        """Present time, in ms."""
        return self._clock.now

    def add_server(self, number: int, started_at: float) -> SimulatedServer:
        """Start a server in place of the one with that number; if it started at 0, its slow start is over."""
        capacity = CORES * self._rng.uniform(0.9, 1.1)
        info = Endpoint(_endpoint_id(number), EndpointState.READY, started_at=started_at)
        server = SimulatedServer(info, capacity)
        self.servers[info.id] = server
        return server

    def crash_server(self, number: int) -> None:
        """Let a server go down: the attempts in flight at it are reset."""
        for attempt in self.servers[_endpoint_id(number)].crash():
            self._end_attempt(attempt, Outcome.RESET)

    def announce_servers(self) -> None:
        """Send the whole endpoint list to all limiters, to those in `announcement_delays` later."""
        ready = tuple(server.info for server in self.servers.values() if not server.is_down)
        change = EndpointsChanged(ready, is_full_list=True)
        for limiter in range(len(self._engines)):
            delay = self.announcement_delays_ms.get(limiter, 0.0)
            self._clock.call_at(self.now + delay, self._feed, limiter, change)

    def run_until(self, end: float) -> None:
        """Let time pass in whole steps, up to `end`."""
        step_end = self.now + STEP_MS
        while step_end <= end:
            self._clock.run(step_end)
            for server in list(self.servers.values()):
                for attempt in server.run_step(step_end):
                    self._end_attempt(attempt, Outcome.OK)
            step_end += STEP_MS

    def _send_new_request(self) -> None:
        """Send a first request of some client; the next follows by a Poisson process."""
        self.new_requests += 1
        self._send_request(is_retry=False)
        next_at = self.now + self._rng.expovariate(self._requests_per_ms())
        self._clock.call_at(next_at, self._send_new_request)

    def _send_retry(self) -> None:
        self._send_request(is_retry=True)

    def _requests_per_ms(self) -> float:
        in_burst = self._burst.start <= self.now < self._burst.end
        return self._capacity_per_ms * self._load * (self._burst.load_factor if in_burst else 1.0)

    def _send_request(self, is_retry: bool) -> None:
        limiters = len(self._engines)
        limiter = self._rng.choices(range(limiters), self._weights)[0]
        self._last_request_id += 1
        request = ClientRequest(
            id=self._last_request_id,
            customer=self._rng.randrange(CUSTOMERS),
            plan=0,
            request_class=self._rng.randrange(len(REQUEST_CLASSES)),
            units=1.0,
            limiter_set_size=float(limiters),
            limiter_set_start=0.0,
            expires_at=self.now + CLIENT_TIMEOUT_MS,
            is_retry=is_retry,
        )
        self._open[request.id] = request
        self._feed(limiter, request)

    def _arrive(self, attempt: Attempt) -> None:
        self._in_flight.add(attempt)
        server = self.servers[attempt.endpoint_id]
        if server.is_down:
            self._end_attempt(attempt, Outcome.CONNECT_FAILED)
            return
        work_ms = self._rng.expovariate(1 / MEAN_WORK_MS)
        known_start = self._known_starts[attempt.limiter].get(attempt.endpoint_id)
        server.arrivals.append(Arrival(self.now, is_informed=known_start == server.info.started_at))
        if not server.accept(attempt, work_ms):
            self._end_attempt(attempt, Outcome.REJECTED)

    def _time_out(self, attempt: Attempt) -> None:
        """Give an attempt up, unless it has ended."""
        if attempt in self._in_flight:
            self.servers[attempt.endpoint_id].drop(attempt)
            self._end_attempt(attempt, Outcome.TIMEOUT)

    def _end_attempt(self, attempt: Attempt, outcome: Outcome) -> None:
        if attempt not in self._in_flight:
            return
        self._in_flight.discard(attempt)
        is_served = outcome is Outcome.OK
        if is_served and self._open.pop(attempt.request_id, None) is not None:
            self.served += 1
        ended = AttemptEnded(
            attempt.request_id,
            attempt.number,
            attempt.endpoint_id,
            outcome,
            self.now - attempt.sent_at,
            is_served,
        )
        self._feed(attempt.limiter, ended)

    def _feed(self, limiter: int, event: Event) -> None:
        if isinstance(event, EndpointsChanged):
            self._known_starts[limiter].update({info.id: info.started_at for info in event.endpoints})
        for action in self._engines[limiter].handle(self.now, event):
            self._carry_out(limiter, action)

    def _carry_out(self, limiter: int, action: Action) -> None:
        match action:
            case SendAttempt(request_id, endpoint_id, timeout):
                number = self._attempts_made.get(request_id, 0)
                self._attempts_made[request_id] = number + 1
                attempt = Attempt(limiter, request_id, number, endpoint_id, self.now)
                self._clock.call_at(self.now + NETWORK_DELAY_MS, self._arrive, attempt)
                self._clock.call_at(self.now + timeout, self._time_out, attempt)
            case RejectRequest(request_id):
                self.rejected += 1
                self._maybe_repeat(self._open.pop(request_id))
            case FailRequest(request_id):
                self.failed += 1
                self._open.pop(request_id)
            case SetTimer(delay, token):
                self._clock.call_at(self.now + delay, self._feed, limiter, TimerFired(token))
            case BroadcastGossip(body):
                self._broadcast(GossipReceived(limiter, body))
            case _:
                pass

    def _maybe_repeat(self, request: ClientRequest) -> None:
        if self._rng.random() < RETRY_SHARE and not request.is_retry:
            delay = self._rng.uniform(*RETRY_DELAY_MS)
            self._clock.call_at(self.now + delay, self._send_retry)

    def _broadcast(self, message: GossipReceived) -> None:
        for receiver in range(len(self._engines)):
            if receiver != message.sender:
                self._clock.call_at(self.now + GOSSIP_DELAY_MS, self._feed, receiver, message)


def _make_engines(limiters: int, rng: Random) -> list[PolicyEngine]:
    return [
        PolicyEngine(_limiter_settings(limiter, limiters), rng.getrandbits(32)) for limiter in range(limiters)
    ]


def _endpoint_id(number: int) -> bytes:
    return b"server %d" % number


def _limiter_settings(limiter: int, limiters: int) -> Settings:
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
