"""In-memory driver of one PolicyEngine: delivers events to it and checks that each action is allowed.

The driver simulates no servers: the test, or hypothesis, chooses the outcome of each attempt. The driver
checks that:

- a request gets at most one final answer, and no attempt after it;
- a request that must not run twice is not sent again if it may have run;
- attempts go to ready servers only, and time out no later than the client does;
- a request has one attempt in flight at a time, unless the settings allow hedging, and in total no more
  attempts than the settings allow.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field, replace
from typing import TypedDict, Unpack

from limiter.model.actions import (
    Action,
    CancelAttempt,
    FailRequest,
    IncrementCounter,
    RejectRequest,
    SendAttempt,
    SetTimer,
)
from limiter.model.events import (
    AttemptEnded,
    ClientDisconnected,
    ClientRequest,
    CounterReply,
    Endpoint,
    EndpointsChanged,
    EndpointState,
    Event,
    Outcome,
    TimerFired,
)
from limiter.model.settings import DedupScope, Idempotency, QuotaPlan, RequestClass, Settings
from limiter.policy.customer import Customer
from limiter.policy.engine import PolicyEngine
from limiter.policy.server_table import Server

# Defined here independently of the model's set, so that a change there does not change the check.
# Longest time for which a limiter may be held up between reading its clock and writing.
MAX_HOLD_UP_MS = 150.0
NOT_EXECUTED_OUTCOMES = {Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.REQUEST_ENDED}
TIME_TOLERANCE_MS = 1e-6


def make_endpoint_id(index: int) -> bytes:
    """Return the id of server `index`: its IPv4 address and port."""
    return bytes([10, 0, 0, index, 31, 147])


def make_endpoint(
    index: int, state: EndpointState = EndpointState.READY, start_time: float = 0.0
) -> Endpoint:
    """Return the endpoint of server `index`; its zone is the index modulo 2, its cell the index modulo 3."""
    return Endpoint(make_endpoint_id(index), state, zone=index % 2, cell=index % 3, started_at=start_time)


def make_settings(**changes: object) -> Settings:
    """Return settings of limiter 0 of 3, with a request class for each idempotency and deduplication scope.

    Args:
        changes: values of fields that replace the default ones.
    """
    values: dict[str, object] = {
        "limiter_index": 0,
        "limiter_count": 3,
        "request_classes": (
            RequestClass(latency_objective=1000.0, deadline=4000.0),
            RequestClass(1000.0, 4000.0, Idempotency.IDEMPOTENCY_KEY, DedupScope.ZONE, dedup_window=2000.0),
            RequestClass(1000.0, 4000.0, Idempotency.IDEMPOTENCY_KEY, DedupScope.CELL, dedup_window=2000.0),
            RequestClass(1000.0, 4000.0, Idempotency.IDEMPOTENCY_KEY, DedupScope.ALL, dedup_window=2000.0),
            RequestClass(1000.0, 4000.0, Idempotency.NOT_IDEMPOTENT),
        ),
        "plans": (
            QuotaPlan(rate=10.0, burst=20.0),
            QuotaPlan(rate=10.0, burst=20.0, ceiling_rate=20.0, ceiling_burst=40.0),
            QuotaPlan(rate=10.0, burst=20.0, max_concurrency=3),
        ),
        "max_attempts": 4,
        "may_cancel": True,
        "has_counter": True,
        "slow_start_capacity": 0.2,
        "slow_start_duration": 10000.0,
        "slow_start_overload": 2.0,
        "slow_start_window": 1000.0,
    }
    values.update(changes)
    return Settings(**values)  # type: ignore[arg-type]


@dataclass
class SentAttempt:
    """An attempt that the engine sent; `attempt_number` counts the attempts of its request from 0."""

    request_id: int
    attempt_number: int
    endpoint_id: bytes
    sent_at: float
    timeout: float
    may_have_run: bool = True  # as far as the engine can tell
    is_in_flight: bool = True

    @property
    def times_out_at(self) -> float:
        """Time at which the attempt times out."""
        return self.sent_at + self.timeout


class RequestOptions(TypedDict, total=False):
    """Optional properties of a request, besides its class, plan and customer."""

    units: float
    limiters_in_set: float  # number of limiters that may get the customer's requests
    first_limiter: float  # index of the first of these limiters
    client_timeout: float  # ms until the client stops waiting


class AttemptEndOptions(TypedDict, total=False):
    """Optional fields of AttemptEnded."""

    stale_connection: bool
    billed_units: float
    metered_utilization: float


@dataclass
class PolicyDriver:
    """Drives one engine and checks each of its actions.

    Attributes:
        engine: the engine under test.
        settings: its settings.
        now: the current time, in ms.
        endpoints: the listed endpoints by id; those that were removed from the list are in state GONE.
        requests: all requests by id.
        final_answers: for each request that is over, the name of the final action, "served", or "gone" if the
            client disconnected.
        sent_attempts: the attempts of each request, in the order sent.
        pending_counter_calls: the counter calls that have no reply yet, the oldest first.
        pending_timers: time and token of each timer that has not fired.
        actions: all actions of the engine.
        admissions: time, customer and units of each admitted request.
    """

    engine: PolicyEngine
    settings: Settings
    now: float = 0.0
    endpoints: dict[bytes, Endpoint] = field(default_factory=dict)
    requests: dict[int, ClientRequest] = field(default_factory=dict)
    final_answers: dict[int, str] = field(default_factory=dict)
    sent_attempts: dict[int, list[SentAttempt]] = field(default_factory=dict)
    pending_counter_calls: list[IncrementCounter] = field(default_factory=list)
    pending_timers: list[tuple[float, int]] = field(default_factory=list)
    actions: list[Action] = field(default_factory=list)
    admissions: list[tuple[float, int, float]] = field(default_factory=list)

    def deliver_event(self, event: Event) -> list[Action]:
        """Pass an event to the engine at the current time; check, record and return the resulting actions."""
        match event:
            case EndpointsChanged():
                self._update_endpoints(event)
            case ClientRequest():
                self.requests[event.id] = event
            case ClientDisconnected():
                self.final_answers.setdefault(event.request_id, "gone")
            case _:
                pass
        actions = self.engine.handle(self.now, event)
        for action in actions:
            self._check_action(action)
        self.actions += actions
        return actions

    def _update_endpoints(self, event: EndpointsChanged) -> None:
        listed = {info.id: info for info in event.endpoints}
        if event.is_full_list:
            for key in self.endpoints.keys() - listed.keys():
                self.endpoints[key] = replace(self.endpoints[key], state=EndpointState.GONE)
        self.endpoints.update(listed)

    def _check_action(self, action: Action) -> None:
        match action:
            case SendAttempt():
                self._check_attempt(action)
            case RejectRequest(request_id) | FailRequest(request_id):
                assert request_id in self.requests, "answered an unknown request"
                assert request_id not in self.final_answers, "answered a request twice"
                if isinstance(action, RejectRequest):
                    self._check_rejection(request_id)
                self.final_answers[request_id] = type(action).__name__
            case CancelAttempt(request_id, attempt):
                assert attempt < len(self.sent_attempts[request_id]), (
                    "cancelled an attempt that was never sent"
                )
            case IncrementCounter():
                self.pending_counter_calls.append(action)
            case SetTimer(delay, token):
                self.pending_timers.append((self.now + delay, token))
            case _:
                pass

    def _check_attempt(self, action: SendAttempt) -> None:
        """Check that the attempt is allowed, and record it."""
        request_id, timeout = action.request_id, action.timeout
        request = self.requests[request_id]
        earlier_attempts = self.sent_attempts.setdefault(request_id, [])
        assert request_id not in self.final_answers, "sent an attempt after the final answer"
        assert len(earlier_attempts) < self.settings.max_attempts
        is_ready = self.endpoints[action.endpoint_id].state is EndpointState.READY
        assert is_ready, "sent an attempt to a server that is not ready"
        time_left = request.expires_at - self.now
        assert 0 < timeout <= time_left + TIME_TOLERANCE_MS, (
            "the timeout is not positive or ends after the client's"
        )
        assert self.settings.may_hedge or not any(sent.is_in_flight for sent in earlier_attempts), (
            "two attempts in flight without hedging"
        )
        may_have_run = [sent for sent in earlier_attempts if sent.may_have_run]
        if may_have_run:
            self._check_retry(request, may_have_run[0], action)
        if not earlier_attempts:
            self.admissions.append((self.now, request.customer, request.units))
        earlier_attempts.append(
            SentAttempt(request_id, len(earlier_attempts), action.endpoint_id, self.now, timeout)
        )

    def _check_retry(self, request: ClientRequest, first_attempt: SentAttempt, retry: SendAttempt) -> None:
        """Check that a request may be sent again although `first_attempt` may have run it."""
        retry_server, write_before = self.endpoints[retry.endpoint_id], retry.write_before
        request_class = self.settings.request_classes[request.request_class]
        idempotency, scope = request_class.idempotency, request_class.dedup_scope
        assert idempotency is not Idempotency.NOT_IDEMPOTENT, (
            "retried a request that may have run and is not idempotent"
        )
        if idempotency is Idempotency.IDEMPOTENCY_KEY:
            first_server = self.endpoints[first_attempt.endpoint_id]
            window_end = first_attempt.sent_at + request_class.dedup_window
            assert self.now < write_before <= window_end - MAX_HOLD_UP_MS, (
                "retried when the deduplication window may be over before the request is written"
            )
            assert scope is not DedupScope.ZONE or first_server.zone == retry_server.zone, (
                "retried outside the deduplication zone"
            )
            assert scope is not DedupScope.CELL or first_server.cell == retry_server.cell, (
                "retried outside the deduplication cell"
            )

    def _check_rejection(self, request_id: int) -> None:
        """Check that a request may be rejected, since a client may retry it then, and it may run twice."""
        if not any(sent.may_have_run for sent in self.sent_attempts.get(request_id, [])):
            return
        request_class = self.settings.request_classes[self.requests[request_id].request_class]
        idempotency = request_class.idempotency
        assert idempotency is not Idempotency.NOT_IDEMPOTENT, (
            "rejected a request that may have run and is not idempotent"
        )
        if idempotency is Idempotency.IDEMPOTENCY_KEY:
            assert request_class.dedup_scope is DedupScope.ALL, (
                "rejected a request that may have run and is not deduplicated by all servers"
            )

    def advance_to(self, now: float) -> None:
        """Advance the time to `now`; fire timers and time out attempts, in order, that are due by then."""
        while True:
            next_timer_at, token = min(self.pending_timers, default=(math.inf, 0))
            attempt = min(self.list_attempts_in_flight(), key=_timeout_sort_key, default=None)
            next_timeout_at = math.inf if attempt is None else attempt.times_out_at
            if min(next_timer_at, next_timeout_at) > now:
                break
            self.now = max(self.now, min(next_timer_at, next_timeout_at))
            if attempt is None or next_timer_at <= next_timeout_at:
                self.pending_timers.remove((next_timer_at, token))
                self.deliver_event(TimerFired(token))
            else:
                self.end_attempt(attempt, Outcome.TIMEOUT)
        self.now = now

    def send_request(
        self,
        request_id: int,
        request_class: int = 0,
        plan: int = 0,
        customer: int = 1,
        **options: Unpack[RequestOptions],
    ) -> list[Action]:
        """Deliver a request of a client to the engine, and return the resulting actions."""
        return self.deliver_event(
            ClientRequest(
                id=request_id,
                customer=customer,
                plan=plan,
                request_class=request_class,
                units=options.get("units", 1.0),
                limiter_set_size=options.get("limiters_in_set", 3.0),
                limiter_set_start=options.get("first_limiter", 0.0),
                expires_at=self.now + options.get("client_timeout", 3000.0),
            )
        )

    def end_attempt(
        self,
        sent: SentAttempt,
        outcome: Outcome,
        latency: float | None = None,
        **report: Unpack[AttemptEndOptions],
    ) -> list[Action]:
        """Deliver the end of an attempt to the engine, and return the resulting actions.

        Args:
            sent: the attempt.
            outcome: its outcome.
            latency: its latency in ms; None for the time since it was sent.
            report: further fields of the event.
        """
        sent.is_in_flight = False
        sent.may_have_run = outcome not in NOT_EXECUTED_OUTCOMES
        is_finished = outcome is Outcome.OK or sent.request_id in self.final_answers
        if outcome is Outcome.OK:
            self.final_answers.setdefault(sent.request_id, "served")
        attempt_latency = self.now - sent.sent_at if latency is None else latency
        return self.deliver_event(
            AttemptEnded(
                sent.request_id,
                sent.attempt_number,
                sent.endpoint_id,
                outcome,
                attempt_latency,
                is_finished,
                **report,
            )
        )

    def complete_attempts_in_flight(self) -> None:
        """End all attempts in flight successfully, with a latency of 50 ms each."""
        for sent in self.list_attempts_in_flight():
            self.end_attempt(sent, Outcome.OK, 50.0)

    def reply_to_counter_call(self, outcome: Outcome, total: float = 0.0) -> None:
        """Deliver the reply to the oldest pending counter call, with a latency of 2 ms."""
        call = self.pending_counter_calls.pop(0)
        self.deliver_event(CounterReply(call.key, outcome, total, latency=2.0))

    def reply_to_all_counter_calls(self, outcome: Outcome, total: float = 0.0) -> None:
        """Deliver the same reply to each pending counter call, including calls that the replies lead to."""
        while self.pending_counter_calls:
            self.reply_to_counter_call(outcome, total)

    def get_customer(self, key: int = 1) -> Customer:
        """Return the engine's record of a customer."""
        return self.engine.customers.table.records[key]

    @property
    def servers_by_id(self) -> dict[bytes, Server]:
        """The engine's records of the servers by their ids."""
        return self.engine.server_selector.table.by_id

    def get_server(self, index: int) -> Server:
        """Return the engine's record of server `index`."""
        return self.servers_by_id[make_endpoint_id(index)]

    def record_remote_usage(self, customer: Customer, units: float) -> None:
        """Record a sample by which the other limiters have used `units` since the previous sample."""
        customer.usage.record_sample(self.now, customer.plan, remote_units=units)

    def list_attempts_in_flight(self) -> list[SentAttempt]:
        """Return the attempts in flight; those of one request are in the order sent."""
        return [sent for attempts in self.sent_attempts.values() for sent in attempts if sent.is_in_flight]


def _timeout_sort_key(sent: SentAttempt) -> tuple[float, int, int]:
    return sent.times_out_at, sent.request_id, sent.attempt_number


def make_driver(server_count: int = 4, seed: int = 1, now: float = 0.0, **changes: object) -> PolicyDriver:
    """Create a driver of a limiter that started at `now`, with the ready servers 0 to `server_count` - 1.

    Args:
        server_count: number of servers.
        seed: seed of the engine's random numbers.
        now: the current time, in ms.
        changes: settings that replace the default ones.
    """
    limiter_settings = make_settings(**changes)
    driver = PolicyDriver(PolicyEngine(limiter_settings, seed), limiter_settings, now)
    ready = tuple(make_endpoint(index) for index in range(server_count))
    driver.deliver_event(EndpointsChanged(ready, is_full_list=True))
    return driver


def list_ready_endpoint_ids(engine: PolicyEngine) -> set[bytes]:
    """Return the ids of the servers to which the engine may send attempts."""
    return {server.endpoint.id for server in engine.server_selector.table.ready}
