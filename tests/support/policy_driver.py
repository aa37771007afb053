"""A small in-memory driver: feeds events to one PolicyEngine and checks that each action is allowed.

It simulates nothing: outcomes are whatever the test (or hypothesis) picks among the legal ones. Checked are:
one final answer for a request, and no attempt after it; no second run of what may run once only; attempts to
ready servers alone, within the client's time, one at once and no more than the settings allow.
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

# The driver's own list, so that a change of the model's list does not change the check.
NEVER_RAN = {Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.REQUEST_ENDED}
TIME_TOLERANCE_MS = 1e-6


def make_endpoint_id(index: int) -> bytes:
    """The id of server `index`: its address and port."""
    return bytes([10, 0, 0, index, 31, 147])


def make_endpoint(
    index: int, state: EndpointState = EndpointState.READY, start_time: float = 0.0
) -> Endpoint:
    """Server `index`; its zone is the index modulo 2, its cell the index modulo 3."""
    return Endpoint(make_endpoint_id(index), state, zone=index % 2, cell=index % 3, started_at=start_time)


def make_settings(**changes: object) -> Settings:
    """Settings of limiter 0 of 3, with a class for each idempotency and scope, but for `changes`."""
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
    """An attempt that the engine sent; `attempt` is its number among those of its request."""

    request_id: int
    attempt: int
    endpoint_id: bytes
    sent_at: float
    timeout: float
    may_have_run: bool = True  # as far as the engine can know
    in_flight: bool = True

    @property
    def times_out_at(self) -> float:
        """When the engine wants it given up."""
        return self.sent_at + self.timeout


class RequestOptions(TypedDict, total=False):
    """What a test may say of a request beyond its class, plan and customer."""

    units: float
    limiters_in_set: float  # limiters that may get the customer's requests
    first_limiter: float  # number of the first of these
    client_timeout: float  # ms until the client gives up


class EndReport(TypedDict, total=False):
    """What a server or its connection may say at the end of an attempt."""

    stale_connection: bool
    billed_units: float
    metered_utilization: float


@dataclass
class PolicyDriver:
    """One engine, the time, and what it did so far; each of its actions is checked as it comes."""

    engine: PolicyEngine
    settings: Settings
    now: float = 0.0
    endpoints: dict[bytes, Endpoint] = field(default_factory=dict)
    requests: dict[int, ClientRequest] = field(default_factory=dict)
    final_answers: dict[int, str] = field(
        default_factory=dict
    )  # by request: the action's name, "served" or "gone"
    sent_attempts: dict[int, list[SentAttempt]] = field(default_factory=dict)  # by request
    pending_counter_calls: list[IncrementCounter] = field(default_factory=list)  # not yet answered
    pending_timers: list[tuple[float, int]] = field(default_factory=list)  # time and token
    actions: list[Action] = field(default_factory=list)
    admissions: list[tuple[float, int, float]] = field(default_factory=list)  # time, customer, units

    def deliver_event(self, event: Event) -> list[Action]:
        """Hand an event to the engine now; check, keep and return its actions."""
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
            self._check(action)
        self.actions += actions
        return actions

    def _update_endpoints(self, event: EndpointsChanged) -> None:
        listed = {info.id: info for info in event.endpoints}
        if event.is_full_list:
            for key in self.endpoints.keys() - listed.keys():
                self.endpoints[key] = replace(self.endpoints[key], state=EndpointState.GONE)
        self.endpoints.update(listed)

    def _check(self, action: Action) -> None:
        match action:
            case SendAttempt():
                self._check_attempt(action)
            case RejectRequest(request_id) | FailRequest(request_id):
                assert request_id in self.requests, "answered a request that there is not"
                assert request_id not in self.final_answers, "answered twice"
                if isinstance(action, RejectRequest):
                    self._check_rejection(request_id)
                self.final_answers[request_id] = type(action).__name__
            case CancelAttempt(request_id, attempt):
                assert attempt < len(self.sent_attempts[request_id]), "cancelled an attempt never made"
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
        before = self.sent_attempts.setdefault(request_id, [])
        assert request_id not in self.final_answers, "sent after the final answer"
        assert len(before) < self.settings.max_attempts
        is_ready = self.endpoints[action.endpoint_id].state is EndpointState.READY
        assert is_ready, "sent to a draining or gone server"
        time_left = request.expires_at - self.now
        assert 0 < timeout <= time_left + TIME_TOLERANCE_MS, "time-out past the client's"
        assert self.settings.may_hedge or not any(sent.in_flight for sent in before), "two attempts at once"
        may_have_run = [sent for sent in before if sent.may_have_run]
        if may_have_run:
            self._check_resend(request, first=may_have_run[0], to=self.endpoints[action.endpoint_id])
        if not before:
            self.admissions.append((self.now, request.customer, request.units))
        before.append(SentAttempt(request_id, len(before), action.endpoint_id, self.now, timeout))

    def _check_resend(self, request: ClientRequest, first: SentAttempt, to: Endpoint) -> None:
        """Check that a request may be sent to `to` although its attempt `first` may have run."""
        request_class = self.settings.request_classes[request.request_class]
        idempotency, scope = request_class.idempotency, request_class.dedup_scope
        assert idempotency is not Idempotency.NOT_IDEMPOTENT, "resent though it may have run"
        if idempotency is Idempotency.IDEMPOTENCY_KEY:
            home = self.endpoints[first.endpoint_id]
            assert self.now <= first.sent_at + request_class.dedup_window, "resent past its window"
            assert scope is not DedupScope.ZONE or home.zone == to.zone, "resent outside its zone"
            assert scope is not DedupScope.CELL or home.cell == to.cell, "resent outside its cell"

    def _check_rejection(self, request_id: int) -> None:
        """Check that the client may be told to try again, which could run the request a second time."""
        if not any(sent.may_have_run for sent in self.sent_attempts.get(request_id, [])):
            return
        request_class = self.settings.request_classes[self.requests[request_id].request_class]
        idempotency = request_class.idempotency
        assert idempotency is not Idempotency.NOT_IDEMPOTENT, "rejected though it may have run"
        if idempotency is Idempotency.IDEMPOTENCY_KEY:
            assert request_class.dedup_scope is DedupScope.ALL, "rejected though it may have run"

    def advance_to(self, now: float) -> None:
        """Move on to a time, firing the timers due and ending the attempts whose time-out is over."""
        while True:
            timer_at, token = min(self.pending_timers, default=(math.inf, 0))
            attempt = min(self.list_attempts_in_flight(), key=_time_out_order, default=None)
            attempt_at = math.inf if attempt is None else attempt.times_out_at
            if min(timer_at, attempt_at) > now:
                break
            self.now = max(self.now, min(timer_at, attempt_at))
            if attempt is None or timer_at <= attempt_at:
                self.pending_timers.remove((timer_at, token))
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
        """Feed a request of the class with this index."""
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
        **report: Unpack[EndReport],
    ) -> list[Action]:
        """Feed the end of an attempt, after `latency` ms or the time since it was sent."""
        sent.in_flight = False
        sent.may_have_run = outcome not in NEVER_RAN
        is_finished = outcome is Outcome.OK or sent.request_id in self.final_answers
        if outcome is Outcome.OK:
            self.final_answers.setdefault(sent.request_id, "served")
        took = self.now - sent.sent_at if latency is None else latency
        return self.deliver_event(
            AttemptEnded(
                sent.request_id, sent.attempt, sent.endpoint_id, outcome, took, is_finished, **report
            )
        )

    def complete_attempts_in_flight(self) -> None:
        """End all attempts in flight well, after 50 ms each."""
        for sent in self.list_attempts_in_flight():
            self.end_attempt(sent, Outcome.OK, 50.0)

    def reply_to_counter_call(self, outcome: Outcome, total: float = 0.0) -> None:
        """Feed the reply to the oldest call of the counter, after 2 ms."""
        call = self.pending_counter_calls.pop(0)
        self.deliver_event(CounterReply(call.key, outcome, total, latency=2.0))

    def reply_to_all_counter_calls(self, outcome: Outcome, total: float = 0.0) -> None:
        """Feed the same reply to each call of the counter, also to those made meanwhile."""
        while self.pending_counter_calls:
            self.reply_to_counter_call(outcome, total)

    def get_customer(self, key: int = 1) -> Customer:
        """What the engine holds of a customer."""
        return self.engine.customers.table.records[key]

    @property
    def servers_by_id(self) -> dict[bytes, Server]:
        """What the engine holds of each server, by its id."""
        return self.engine.server_selector.table.by_id

    def get_server(self, index: int) -> Server:
        """What the engine holds of server `index`."""
        return self.servers_by_id[make_endpoint_id(index)]

    def record_remote_usage(self, customer: Customer, units: float) -> None:
        """Record now that the other limiters used `units` since the last sample."""
        customer.usage.record_sample(self.now, customer.plan, remote_units=units)

    def list_attempts_in_flight(self) -> list[SentAttempt]:
        """The attempts in flight, those of a request in the order sent."""
        return [sent for attempts in self.sent_attempts.values() for sent in attempts if sent.in_flight]


def _time_out_order(sent: SentAttempt) -> tuple[float, int, int]:
    return sent.times_out_at, sent.request_id, sent.attempt


def make_driver(server_count: int = 4, seed: int = 1, now: float = 0.0, **changes: object) -> PolicyDriver:
    """A driver of a limiter started at `now`, with servers 0 to server_count - 1 ready."""
    limiter_settings = make_settings(**changes)
    driver = PolicyDriver(PolicyEngine(limiter_settings, seed), limiter_settings, now)
    ready = tuple(make_endpoint(index) for index in range(server_count))
    driver.deliver_event(EndpointsChanged(ready, is_full_list=True))
    return driver


def list_ready_endpoint_ids(engine: PolicyEngine) -> set[bytes]:
    """Ids of the servers that the engine may send to."""
    return {server.endpoint.id for server in engine.server_selector.table.ready}
