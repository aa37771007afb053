"""A fleet of policy engines on one virtual clock, before a discovery that is overloaded for a while.

The virtual clock is that of `scale.hollow`. The discovery simulated there pushes changes, whereas this one is
polled. Delays are constant here, every poll has a reply, and a receiver takes in all gossip that is not lost,
so that the times of polls and the number of messages are due to the engines alone.
"""

from __future__ import annotations

import math
from random import Random

from limiter.model.actions import BroadcastGossip, PollDiscovery, SetTimer
from limiter.model.events import (
    DiscoveryPollFailed,
    EndpointsChanged,
    EndpointState,
    Event,
    GossipReceived,
    TimerFired,
)
from limiter.policy.engine import PolicyEngine
from scale.hollow.clock import VirtualClock
from tests.support.policy_driver import (
    list_ready_endpoint_ids,
    make_endpoint,
    make_endpoint_id,
    make_settings,
)

# Length of the time, from the start, in which discovery rejects every poll.
OUTAGE_MS = 3000.0
# Polls that discovery responds to after the outage; it rejects those beyond.
POLL_RESPONSES_PER_SECOND = 8.0
# Share of the datagrams that do not arrive.
MESSAGE_LOSS = 0.05
# Time from a poll to its reply.
POLL_DELAY_MS = 2.0
# Time from a broadcast to its arrival at all other limiters.
GOSSIP_DELAY_MS = 20.0
# Number of the server that every response of discovery names as draining.
REMOVED = 1
# Number of the other server.
KEPT = 2


class PollingFleet:
    """Limiters whose polls discovery rejects in an outage; afterwards it responds to a number a second."""

    def __init__(
        self, limiters: int, running: int, loss: float = MESSAGE_LOSS, outage: float = OUTAGE_MS
    ) -> None:
        """Start some limiters of a fleet, each with a cached list of both servers.

        Args:
            limiters: size of the fleet.
            running: number of limiters that run.
            loss: share of the datagrams that do not arrive.
            outage: time from the start in which discovery rejects every poll, in ms.
        """
        self.poll_times: list[float] = []
        self.broadcast_count = 0
        self.outdated_limiters = set(range(running))  # limiters that still send to the removed server
        self.limiters_responded_to: set[int] = set()  # limiters that discovery has responded to
        self._rng = Random(limiters)
        self._loss = loss
        self._outage = outage
        self._last_response_at = -math.inf
        self._clock = VirtualClock()
        self._engines: list[PolicyEngine] = []
        cached_list = EndpointsChanged((make_endpoint(REMOVED), make_endpoint(KEPT)), True, from_cache=True)
        for limiter in range(running):
            self._engines.append(_make_engine(limiter, limiters))
            self.feed(limiter, cached_list)

    @property
    def now(self) -> float:
        """Present time, in ms."""
        return self._clock.now

    def feed(self, limiter: int, event: Event) -> None:
        """Hand an event to a limiter now, and schedule what follows from its actions."""
        engine = self._engines[limiter]
        for action in engine.handle(self.now, event):
            match action:
                case SetTimer(delay, token):
                    self._clock.call_at(self.now + delay, self.feed, limiter, TimerFired(token))
                case PollDiscovery():
                    self.poll_times.append(self.now)
                    self._clock.call_at(self.now + POLL_DELAY_MS, self._reply_to_poll, limiter)
                case BroadcastGossip(body):
                    self.broadcast_count += 1
                    message = GossipReceived(limiter, body)
                    self._clock.call_at(self.now + GOSSIP_DELAY_MS, self._deliver_broadcast, message)
                case _:
                    pass
        if limiter in self.outdated_limiters and make_endpoint_id(REMOVED) not in list_ready_endpoint_ids(
            engine
        ):
            self.outdated_limiters.discard(limiter)

    def deliver_event_to_all(self, event: Event) -> None:
        """Hand an event to all limiters now."""
        for limiter in range(len(self._engines)):
            self.feed(limiter, event)

    def run_until(self, end: float) -> None:
        """Let time pass up to `end`, in ms."""
        self._clock.run(end)

    def _reply_to_poll(self, limiter: int) -> None:
        is_overloaded = self.now < self._last_response_at + 1000 / POLL_RESPONSES_PER_SECOND
        if self.now < self._outage or is_overloaded:
            self.feed(limiter, DiscoveryPollFailed())
            return
        self._last_response_at = self.now
        self.limiters_responded_to.add(limiter)
        removal = make_endpoint(REMOVED, EndpointState.DRAINING)
        self.feed(limiter, EndpointsChanged((removal,), is_full_list=False))

    def _deliver_broadcast(self, message: GossipReceived) -> None:
        """Deliver a message to all limiters but its sender and those where it is lost."""
        for receiver in range(len(self._engines)):
            if receiver != message.sender and self._rng.random() >= self._loss:
                self.feed(receiver, message)


def _make_engine(limiter: int, limiters: int) -> PolicyEngine:
    made = make_settings(
        limiter_index=limiter,
        limiter_count=limiters,
        may_gossip=True,
        gossip_intake_per_second=40.0,
        polls_discovery=True,
    )
    return PolicyEngine(made, seed=limiter)
