"""One policy engine on a clock of its own, with the processor time of each event that it handles."""

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

# The engine has no timer with this token, so that handling the event runs the due round and nothing else.
UNKNOWN_TIMER = TimerFired(99)
START_MS = 1000.0
# Time from sending an attempt to its end.
LATENCY_MS = 20.0
DEADLINE_MS = 3000.0
COUNTER_LATENCY_MS = 1.0
# Highest processor time that the histograms hold.
MAX_EVENT_NS = 60_000_000_000
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
    """Hands events to a policy engine one by one, each timed under a name of EVENT_NAMES."""

    def __init__(self, seed: int, limiters: int) -> None:
        """Make the policy engine of limiter 0 of a fleet of that size."""
        document = {
            "listen": "127.0.0.1:1",
            "discovery": "127.0.0.1:2",
            "counter": "127.0.0.1:3",
            "peer_listen": "127.0.0.1:4",
            "peers": ["127.0.0.1:4"] * limiters,
            "seed": "1",
            "settings": build_settings(limiters, "pushed"),
        }
        self.now = START_MS
        self.gossip_senders: set[int] = set()  # limiters whose messages the engine took in
        self.processor_ns = {name: HdrHistogram(1, MAX_EVENT_NS, 3) for name in EVENT_NAMES}
        self._engine = PolicyEngine(parse_config(document).settings, seed)
        self._limiter_set_size = min(float(MAX_LIMITER_SET_SIZE), float(limiters))
        self._last_round_at = -UPDATE_INTERVAL_MS

    def advance(self, duration_ms: float) -> None:
        """Let time pass on the clock of the engine, without an event."""
        self.now += duration_ms

    def feed(self, name: str, event: Event) -> list[Action]:
        """Handle an event; a round that is due comes before it, under `round_between`."""
        if self.now - self._last_round_at >= UPDATE_INTERVAL_MS:
            self.play_round("round_between")
        return self._handle(name, event)

    def play_round(self, name: str) -> None:
        """Run the engine's round, UPDATE_INTERVAL_MS after the last one or later."""
        self.now = max(self.now, self._last_round_at + UPDATE_INTERVAL_MS)
        self._last_round_at = self.now
        self._handle(name, UNKNOWN_TIMER)

    def receive_gossip(self, sender: int, body: bytes) -> None:
        """Hand another limiter's message to the engine, and note its sender if the engine took it in."""
        self.feed("message", GossipReceived(sender, body))
        gossip = self._engine.usage_gossip
        if gossip.last_message_at == self.now:
            self.gossip_senders.add(sender)

    def request(self, number: int, customer: int) -> list[SendAttempt]:
        """Send a request of that customer; the counter replies to its calls at once.

        Returns the attempts that it led to, one at most.
        """
        event = ClientRequest(
            id=number,
            customer=customer,
            plan=get_plan_index(customer),
            request_class=number % 2,
            units=1.0,
            limiter_set_size=self._limiter_set_size,
            limiter_set_start=0.0,
            expires_at=self.now + DEADLINE_MS,
        )
        attempts: list[SendAttempt] = []
        actions = self.feed("request", event)
        while actions:
            action = actions.pop(0)
            if isinstance(action, SendAttempt):
                attempts.append(action)
            elif isinstance(action, IncrementCounter):
                total = max(1.0, action.units_to_add)
                reply = CounterReply(action.key, Outcome.OK, total, COUNTER_LATENCY_MS)
                actions += self.feed("counter_reply", reply)
            elif isinstance(action, SetTimer) and action.token == TimerToken.USAGE_GOSSIP:
                # Usage is gossiped at once, so that no unreported usage accumulates.
                self.feed("tell", TimerFired(TimerToken.USAGE_GOSSIP))
        return attempts

    def end_attempt(self, attempt: SendAttempt) -> None:
        """End an attempt as served, and with it its request."""
        event = AttemptEnded(
            request_id=attempt.request_id,
            attempt=0,
            endpoint_id=attempt.endpoint_id,
            outcome=Outcome.OK,
            latency=LATENCY_MS,
            request_finished=True,
        )
        self.feed("ended", event)

    def _handle(self, name: str, event: Event) -> list[Action]:
        started_at = time.thread_time_ns()
        actions = self._engine.handle(self.now, event)
        self.processor_ns[name].record_value(max(1, time.thread_time_ns() - started_at))
        return actions
