"""The limiters: a policy engine each, which is fed with events and whose actions are carried out.

A limiter here does what the driver in limiter/transport does around the engine, without the sockets.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

from limiter.model.actions import (
    Action,
    BroadcastGossip,
    CancelAttempt,
    FailRequest,
    IncrementCounter,
    RejectRequest,
    SendAttempt,
    SetTimer,
)
from limiter.model.events import (
    CounterReply,
    EndpointsChanged,
    Event,
    GossipReceived,
    Outcome,
    TimerFired,
)
from limiter.model.settings import Idempotency, QuotaPlan, RequestClass, Settings
from limiter.policy.engine import PolicyEngine
from scale.hollow.attempts import AttemptDriver
from scale.hollow.clock import VirtualClock
from scale.hollow.context import Context
from scale.hollow.counter import SharedCounter
from scale.hollow.discovery import Discovery
from scale.hollow.gossip_age import GossipMessage
from scale.hollow.network import GossipNetwork
from scale.hollow.plan import ClassParameters, HollowExperiment, PlanParameters
from scale.hollow.requests import Request, RequestTracker
from scale.hollow.tally import RequestOutcome


class Limiter:
    """One policy engine, and what its driver keeps."""

    __slots__ = (
        "_carry_out",
        "_clock",
        "engine",
        "gossip_bytes_received",
        "gossip_bytes_sent",
        "gossip_received",
        "gossip_sent",
        "incarnation",
        "is_up",
        "number",
        "requests",
        "state_since",
        "zone",
    )

    def __init__(
        self,
        number: int,
        zone: int,
        clock: VirtualClock,
        carry_out: Callable[[Limiter, PolicyEngine, Action], None],
    ) -> None:
        """Be down until it is started; `carry_out` gets each action of the limiter's policy engine."""
        self._clock = clock
        self._carry_out = carry_out
        self.number = number
        self.zone = zone
        self.engine: PolicyEngine | None = None  # None while down
        self.is_up = False
        self.state_since = 0.0  # ms; time at which it went up or down
        # Number of starts so far; timers and counter replies of an earlier incarnation are dropped.
        self.incarnation = 0
        self.requests: dict[int, Request] = {}
        self.gossip_sent = 0  # datagrams, as in gossip_received
        self.gossip_received = 0
        self.gossip_bytes_sent = 0
        self.gossip_bytes_received = 0

    def start(self, engine: PolicyEngine) -> None:
        """Come up with a new policy engine."""
        self.engine = engine
        self.is_up = True
        self.state_since = self._clock.now
        self.incarnation += 1

    def kill(self) -> list[Request]:
        """Go down and lose all state; return the requests that were not over."""
        self.engine = None
        self.is_up = False
        self.state_since = self._clock.now
        lost_requests = list(self.requests.values())
        self.requests = {}
        return lost_requests

    def feed(self, event: Event) -> None:
        """Hand an event to the policy engine and carry out its actions; nothing while the limiter is down."""
        engine = self.engine
        if engine is None:
            return
        for action in engine.handle(self._clock.now, event):
            self._carry_out(self, engine, action)

    def count_gossip_sent(self, datagrams: int, body: bytes) -> None:
        """Count a message that was sent as that many datagrams."""
        self.gossip_sent += datagrams
        self.gossip_bytes_sent += datagrams * len(body)

    def count_gossip_received(self, body: bytes) -> None:
        """Count a message of another limiter."""
        self.gossip_received += 1
        self.gossip_bytes_received += len(body)


class RejectionHandler(Protocol):
    """Takes the policy engines' rejections: clients may retry."""

    def request_rejected(self, limiter: Limiter, request_id: int) -> None:
        """Give the request its final outcome."""


class LimiterHost:
    """Starts and kills limiters, hands them events and carries out their actions."""

    def __init__(
        self, context: Context, ledger: RequestTracker, discovery: Discovery, attempts: AttemptDriver
    ) -> None:
        """Make the limiters, all down, and the gossip network and the counter that they talk to."""
        experiment = context.experiment
        self._clock = context.clock
        self._rng = context.rng
        self._tally = context.tally
        self._gossip_ages = context.gossip_ages
        self._ledger = ledger
        self._settings = limiter_settings(experiment)
        self.gossip_network = GossipNetwork(context.network, experiment, self._gossip_received)
        self.counter = SharedCounter(context.network, experiment.counter, experiment.seed)
        self._discovery = discovery
        self._attempts = attempts
        self._rejection_handler: RejectionHandler | None = None
        discovery.subscribe(self._endpoints_changed)
        zone = context.network.topology.zone
        self.limiters = [
            Limiter(number, zone(number), context.clock, self._carry_out)
            for number in range(experiment.limiters)
        ]

    def handle_rejections(self, handler: RejectionHandler) -> None:
        """Hand rejections to the clients, which are made after the limiters."""
        self._rejection_handler = handler

    def start(self, limiter: Limiter) -> None:
        """Start a limiter with the endpoint list and nothing else; nothing if it is up."""
        if limiter.is_up:
            return
        settings = replace(self._settings, limiter_index=limiter.number, zone=limiter.zone)
        limiter.start(PolicyEngine(settings, self._rng.getrandbits(63)))
        limiter.feed(self._discovery.full_list())

    def kill(self, limiter: Limiter) -> None:
        """Kill a limiter: its requests and all its state are lost; nothing if it is down."""
        if not limiter.is_up:
            return
        lost_requests = limiter.kill()
        self._gossip_ages.discard(limiter.number)
        for request in lost_requests:
            for attempt in request.in_flight[:]:
                self._attempts.release(attempt)
            if request.outcome is None:
                self._ledger.end_request(request, RequestOutcome.KILLED)

    def _carry_out(self, limiter: Limiter, engine: PolicyEngine, action: Action) -> None:
        match action:
            case SetTimer():
                due = self._clock.now + action.delay
                self._clock.call_at(due, self._timer_fired, limiter, limiter.incarnation, action.token)
            case SendAttempt():
                self._attempts.send(limiter, action)
            case RejectRequest():
                assert self._rejection_handler is not None
                self._rejection_handler.request_rejected(limiter, action.request_id)
            case FailRequest():
                self._ledger.finish(limiter, action.request_id, RequestOutcome.FAILED)
            case IncrementCounter():
                self._increment_counter(limiter, action)
            case BroadcastGossip():
                self._broadcast_gossip(limiter, engine, action.body)
            case CancelAttempt():
                request = limiter.requests.get(action.request_id)
                if request is not None:
                    self._attempts.cancel(request, action.attempt)

    def _timer_fired(self, limiter: Limiter, incarnation: int, token: int) -> None:
        if limiter.incarnation == incarnation:
            limiter.feed(TimerFired(token))

    def _increment_counter(self, limiter: Limiter, call: IncrementCounter) -> None:
        called_at = self._clock.now
        incarnation = limiter.incarnation

        def replied(outcome: Outcome, total: float) -> None:
            if limiter.incarnation == incarnation:
                limiter.feed(CounterReply(call.key, outcome, total, self._clock.now - called_at))

        self.counter.add(limiter.zone, call, replied)

    def _broadcast_gossip(self, limiter: Limiter, engine: PolicyEngine, body: bytes) -> None:
        message = self._gossip_ages.message_sent(limiter.number, engine, body)
        datagrams = self.gossip_network.broadcast(limiter.number, message)
        limiter.count_gossip_sent(datagrams, body)
        self._tally.gossip_sent()

    def _gossip_received(self, receiver: int, message: GossipMessage) -> None:
        limiter = self.limiters[receiver]
        if not limiter.is_up:
            return
        limiter.count_gossip_received(message.body)
        self._gossip_ages.message_received(self._clock.now, receiver, message)
        limiter.feed(GossipReceived(message.sender, message.body))

    def _endpoints_changed(self, receiver: int, change: EndpointsChanged) -> None:
        self.limiters[receiver].feed(change)


def limiter_settings(experiment: HollowExperiment) -> Settings:
    """Settings of limiter 0 of the experiment's fleet, in its first zone."""
    servers = experiment.servers
    return Settings(
        limiter_index=0,
        limiter_count=experiment.limiters,
        request_classes=tuple(_request_class(parameters) for parameters in experiment.classes),
        plans=tuple(_quota_plan(parameters) for parameters in experiment.plans),
        max_attempts=experiment.max_attempts,
        may_cancel=True,
        has_counter=True,
        may_gossip=True,
        gossip_intake_per_second=experiment.network.peer_intake,
        counter_timeout=experiment.counter.timeout,
        slow_start_capacity=servers.slow_start_capacity,
        slow_start_duration=servers.slow_start_duration,
        slow_start_overload=servers.slow_start_overload,
        slow_start_window=servers.slow_start_window,
    )


def _request_class(parameters: ClassParameters) -> RequestClass:
    return RequestClass(
        parameters.latency_objective,
        parameters.deadline,
        Idempotency.IDEMPOTENT if parameters.is_idempotent else Idempotency.NOT_IDEMPOTENT,
        priority_weight=parameters.priority_weight,
        late_weight=parameters.late_weight,
    )


def _quota_plan(parameters: PlanParameters) -> QuotaPlan:
    is_capped = parameters.max_concurrency > 0
    return QuotaPlan(
        rate=0.0 if is_capped else parameters.rate,
        burst=0.0 if is_capped else parameters.burst,
        max_concurrency=parameters.max_concurrency,
        price=parameters.price,
    )
