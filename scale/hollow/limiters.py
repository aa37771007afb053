"""The limiters: each passes events to a policy engine of its own, whose actions are then executed.

The code here does what the driver in limiter/transport does, but without sockets.
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
from scale.hollow.context import SimulationContext
from scale.hollow.counter import SharedCounter
from scale.hollow.discovery import Discovery
from scale.hollow.gossip_age import GossipMessage
from scale.hollow.network import GossipNetwork
from scale.hollow.plan import ClassParameters, HollowExperiment, PlanParameters
from scale.hollow.requests import Request, RequestTracker
from scale.hollow.tally import RequestOutcome


class Limiter:
    """A policy engine and the state that its driver keeps."""

    __slots__ = (
        "_clock",
        "_execute_action",
        "engine",
        "gossip_bytes_received",
        "gossip_bytes_sent",
        "gossip_datagrams_received",
        "gossip_datagrams_sent",
        "incarnation",
        "is_up",
        "last_state_change_at",
        "number",
        "requests",
        "zone",
    )

    def __init__(
        self,
        number: int,
        zone: int,
        clock: VirtualClock,
        execute_action: Callable[[Limiter, PolicyEngine, Action], None],
    ) -> None:
        """Create a limiter that is down; `execute_action` is called for each action of its policy engine."""
        self._clock = clock
        self._execute_action = execute_action
        self.number = number
        self.zone = zone
        self.engine: PolicyEngine | None = None  # None while the limiter is down
        self.is_up = False
        self.last_state_change_at = 0.0  # ms; time of the last start or kill
        # Number of starts so far. Timers and counter replies of an earlier incarnation are discarded.
        self.incarnation = 0
        self.requests: dict[int, Request] = {}
        self.gossip_datagrams_sent = 0
        self.gossip_datagrams_received = 0
        self.gossip_bytes_sent = 0
        self.gossip_bytes_received = 0

    def start(self, engine: PolicyEngine) -> None:
        """Bring the limiter up with a new policy engine."""
        self.engine = engine
        self.is_up = True
        self.last_state_change_at = self._clock.now
        self.incarnation += 1

    def kill(self) -> list[Request]:
        """Take the limiter down and discard its state; return the requests that it still had."""
        self.engine = None
        self.is_up = False
        self.last_state_change_at = self._clock.now
        lost_requests = list(self.requests.values())
        self.requests = {}
        return lost_requests

    def process_event(self, event: Event) -> None:
        """Pass an event to the policy engine and execute the actions; ignore it while the limiter is down."""
        engine = self.engine
        if engine is None:
            return
        for action in engine.handle(self._clock.now, event):
            self._execute_action(self, engine, action)

    def count_gossip_sent(self, datagrams: int, body: bytes) -> None:
        """Count a message that was sent in that many datagrams."""
        self.gossip_datagrams_sent += datagrams
        self.gossip_bytes_sent += datagrams * len(body)

    def count_gossip_received(self, body: bytes) -> None:
        """Count a message that was received from another limiter."""
        self.gossip_datagrams_received += 1
        self.gossip_bytes_received += len(body)


class RejectionHandler(Protocol):
    """Handles rejections by the policy engines, after which clients may retry."""

    def handle_rejection(self, limiter: Limiter, request_id: int) -> None:
        """End a request as rejected."""


class LimiterHost:
    """Starts and kills limiters, passes events to them and executes their actions."""

    def __init__(
        self,
        context: SimulationContext,
        request_tracker: RequestTracker,
        discovery: Discovery,
        attempt_driver: AttemptDriver,
    ) -> None:
        """Create the limiters, all of them down, and the gossip network and counter that they use."""
        experiment = context.experiment
        self._clock = context.clock
        self._rng = context.rng
        self._tally = context.tally
        self._gossip_ages = context.gossip_ages
        self._request_tracker = request_tracker
        self._settings = make_limiter_settings(experiment)
        self.gossip_network = GossipNetwork(context.network, experiment, self._handle_gossip)
        self.counter = SharedCounter(context.network, experiment.counter, experiment.seed)
        self._discovery = discovery
        self._attempt_driver = attempt_driver
        self._rejection_handler: RejectionHandler | None = None
        discovery.subscribe(self._handle_endpoint_change)
        get_zone = context.network.topology.get_zone
        self.limiters = [
            Limiter(number, get_zone(number), context.clock, self._execute_action)
            for number in range(experiment.limiters)
        ]

    def set_rejection_handler(self, handler: RejectionHandler) -> None:
        """Set the handler of rejections: the clients, which are created after the limiters."""
        self._rejection_handler = handler

    def start_limiter(self, limiter: Limiter) -> None:
        """Start a limiter, whose only state is the endpoint list; do nothing if it is up."""
        if limiter.is_up:
            return
        settings = replace(self._settings, limiter_index=limiter.number, zone=limiter.zone)
        limiter.start(PolicyEngine(settings, self._rng.getrandbits(63)))
        limiter.process_event(self._discovery.make_full_list())

    def kill_limiter(self, limiter: Limiter) -> None:
        """Kill a limiter, which loses its requests and all other state; do nothing if it is down."""
        if not limiter.is_up:
            return
        lost_requests = limiter.kill()
        self._gossip_ages.discard_unreported_usage(limiter.number)
        for request in lost_requests:
            for attempt in request.attempts_in_flight[:]:
                self._attempt_driver.release_attempt(attempt)
            if request.outcome is None:
                self._request_tracker.end_request(request, RequestOutcome.KILLED)

    def _execute_action(self, limiter: Limiter, engine: PolicyEngine, action: Action) -> None:
        match action:
            case SetTimer():
                due = self._clock.now + action.delay
                self._clock.call_at(due, self._handle_timer, limiter, limiter.incarnation, action.token)
            case SendAttempt():
                self._attempt_driver.send_attempt(limiter, action)
            case RejectRequest():
                assert self._rejection_handler is not None
                self._rejection_handler.handle_rejection(limiter, action.request_id)
            case FailRequest():
                self._request_tracker.apply_engine_outcome(limiter, action.request_id, RequestOutcome.FAILED)
            case IncrementCounter():
                self._increment_counter(limiter, action)
            case BroadcastGossip():
                self._broadcast_gossip(limiter, engine, action.body)
            case CancelAttempt():
                request = limiter.requests.get(action.request_id)
                if request is not None:
                    self._attempt_driver.cancel_attempt(request, action.attempt)

    def _handle_timer(self, limiter: Limiter, incarnation: int, token: int) -> None:
        if limiter.incarnation == incarnation:
            limiter.process_event(TimerFired(token))

    def _increment_counter(self, limiter: Limiter, call: IncrementCounter) -> None:
        called_at = self._clock.now
        incarnation = limiter.incarnation

        def handle_counter_reply(outcome: Outcome, total: float) -> None:
            if limiter.incarnation == incarnation:
                limiter.process_event(CounterReply(call.key, outcome, total, self._clock.now - called_at))

        self.counter.add(limiter.zone, call, handle_counter_reply)

    def _broadcast_gossip(self, limiter: Limiter, engine: PolicyEngine, body: bytes) -> None:
        message = self._gossip_ages.track_sent_message(limiter.number, engine, body)
        datagrams = self.gossip_network.broadcast(limiter.number, message)
        limiter.count_gossip_sent(datagrams, body)
        self._tally.record_gossip_message()

    def _handle_gossip(self, receiver: int, message: GossipMessage) -> None:
        limiter = self.limiters[receiver]
        if not limiter.is_up:
            return
        limiter.count_gossip_received(message.body)
        self._gossip_ages.record_received_message(self._clock.now, receiver, message)
        limiter.process_event(GossipReceived(message.sender, message.body))

    def _handle_endpoint_change(self, receiver: int, change: EndpointsChanged) -> None:
        self.limiters[receiver].process_event(change)


def make_limiter_settings(experiment: HollowExperiment) -> Settings:
    """Return the settings of limiter 0 of the experiment, which is in the first zone."""
    servers = experiment.servers
    return Settings(
        limiter_index=0,
        limiter_count=experiment.limiters,
        request_classes=tuple(_make_request_class(parameters) for parameters in experiment.classes),
        plans=tuple(_make_quota_plan(parameters) for parameters in experiment.plans),
        max_attempts=experiment.max_attempts,
        may_cancel=True,
        has_counter=True,
        may_gossip=True,
        gossip_intake_per_second=experiment.network.gossip_intake_per_second,
        counter_timeout=experiment.counter.timeout,
        slow_start_capacity=servers.slow_start_capacity,
        slow_start_duration=servers.slow_start_duration,
        slow_start_overload=servers.slow_start_overload,
        slow_start_window=servers.slow_start_window,
    )


def _make_request_class(parameters: ClassParameters) -> RequestClass:
    return RequestClass(
        parameters.latency_objective,
        parameters.deadline,
        Idempotency.IDEMPOTENT if parameters.is_idempotent else Idempotency.NOT_IDEMPOTENT,
        priority_weight=parameters.priority_weight,
        late_weight=parameters.late_weight,
    )


def _make_quota_plan(parameters: PlanParameters) -> QuotaPlan:
    has_concurrency_limit = parameters.max_concurrency > 0
    return QuotaPlan(
        rate=0.0 if has_concurrency_limit else parameters.rate,
        burst=0.0 if has_concurrency_limit else parameters.burst,
        max_concurrency=parameters.max_concurrency,
        price=parameters.request_priority_factor,
    )
