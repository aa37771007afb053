"""Measurement of the processor time that one policy engine takes for each event, on a simulated clock."""

from __future__ import annotations

import time

from hdrh.histogram import HdrHistogram

from limiter.configuration.config_parser import parse_config
from limiter.model.actions import Action, IncrementCounter, SendAttempt, SetTimer
from limiter.model.events import (
    AttemptEnded,
    ClientRequest,
    CounterReply,
    Event,
    GossipReceived,
    Outcome,
    TimerFired,
)
from limiter.policy.context import TimerToken
from limiter.policy.engine import PolicyEngine
from limiter.policy.throttle import UPDATE_INTERVAL_MS
from scale.process.fleet import MAX_LIMITER_SET_SIZE, build_settings, get_plan_index

# The engine has no timer with this token, so the event causes the periodic update and nothing else.
UNKNOWN_TIMER_FIRED = TimerFired(99)
START_TIME_MS = 1000.0
# Time from sending an attempt to its response.
ATTEMPT_LATENCY_MS = 20.0
REQUEST_TIMEOUT_MS = 3000.0
COUNTER_LATENCY_MS = 1.0
# Highest processor time of an event that the histograms can record.
MAX_EVENT_PROCESSOR_NS = 60_000_000_000
# Names of the timed events in result lines. `list` is the full endpoint list, `round*` are periodic updates,
# and `tell` is the timer for usage gossip.
EVENT_NAMES = (
    "list",
    "round_idle",
    "round_between",
    "round",
    "change",
    "message",
    "request",
    "ended",
    "counter_reply",
    "tell",
)


class EngineBenchmark:
    """Passes events to a policy engine and records the processor time of each under one of EVENT_NAMES."""

    def __init__(self, seed: int, limiter_count: int) -> None:
        """Create the policy engine of limiter 0 in a fleet of `limiter_count` limiters."""
        document = {
            "listen": "127.0.0.1:1",
            "discovery": "127.0.0.1:2",
            "counter": "127.0.0.1:3",
            "peer_listen": "127.0.0.1:4",
            "peers": ["127.0.0.1:4"] * limiter_count,
            "seed": "1",
            "settings": build_settings(limiter_count, "pushed"),
        }
        self.now_ms = START_TIME_MS
        self.accepted_senders: set[int] = set()  # limiters whose messages the engine accepted
        self.processor_ns_by_event = {
            name: HdrHistogram(1, MAX_EVENT_PROCESSOR_NS, 3) for name in EVENT_NAMES
        }
        self._engine = PolicyEngine(parse_config(document).settings, seed)
        self._limiter_set_size = min(float(MAX_LIMITER_SET_SIZE), float(limiter_count))
        self._last_update_at_ms = -UPDATE_INTERVAL_MS

    def advance_clock(self, duration_ms: float) -> None:
        """Advance the clock of the engine without an event."""
        self.now_ms += duration_ms

    def handle_event(self, event_name: str, event: Event) -> list[Action]:
        """Handle an event, after a periodic update if one is due, which is recorded as `round_between`."""
        if self.now_ms - self._last_update_at_ms >= UPDATE_INTERVAL_MS:
            self.run_periodic_update("round_between")
        return self._handle_timed(event_name, event)

    def run_periodic_update(self, event_name: str) -> None:
        """Run the engine's periodic update, at least UPDATE_INTERVAL_MS after the previous one."""
        self.now_ms = max(self.now_ms, self._last_update_at_ms + UPDATE_INTERVAL_MS)
        self._last_update_at_ms = self.now_ms
        self._handle_timed(event_name, UNKNOWN_TIMER_FIRED)

    def receive_gossip(self, sender: int, body: bytes) -> None:
        """Pass a message of another limiter to the engine, and record its sender if the engine accepts it."""
        self.handle_event("message", GossipReceived(sender, body))
        gossip = self._engine.usage_gossip
        if gossip.last_message_at == self.now_ms:
            self.accepted_senders.add(sender)

    def send_request(self, request_number: int, customer: int) -> list[SendAttempt]:
        """Send a request of a customer. The counter replies immediately to the calls that it causes.

        Returns:
            The attempts that the request causes, at most one.
        """
        event = ClientRequest(
            id=request_number,
            customer=customer,
            plan=get_plan_index(customer),
            request_class=request_number % 2,
            units=1.0,
            limiter_set_size=self._limiter_set_size,
            limiter_set_start=0.0,
            expires_at=self.now_ms + REQUEST_TIMEOUT_MS,
        )
        attempts: list[SendAttempt] = []
        actions = self.handle_event("request", event)
        while actions:
            action = actions.pop(0)
            if isinstance(action, SendAttempt):
                attempts.append(action)
            elif isinstance(action, IncrementCounter):
                total_units = max(1.0, action.units_to_add)
                reply = CounterReply(action.key, Outcome.OK, total_units, COUNTER_LATENCY_MS)
                actions += self.handle_event("counter_reply", reply)
            elif isinstance(action, SetTimer) and action.token == TimerToken.USAGE_GOSSIP:
                # Usage is gossiped immediately, so that no unreported usage accumulates.
                self.handle_event("tell", TimerFired(TimerToken.USAGE_GOSSIP))
        return attempts

    def complete_attempt(self, attempt: SendAttempt) -> None:
        """Complete an attempt and its request successfully."""
        event = AttemptEnded(
            request_id=attempt.request_id,
            attempt=0,
            endpoint_id=attempt.endpoint_id,
            outcome=Outcome.OK,
            latency=ATTEMPT_LATENCY_MS,
            request_finished=True,
        )
        self.handle_event("ended", event)

    def _handle_timed(self, event_name: str, event: Event) -> list[Action]:
        started_at = time.thread_time_ns()
        actions = self._engine.handle(self.now_ms, event)
        self.processor_ns_by_event[event_name].record_value(max(1, time.thread_time_ns() - started_at))
        return actions
