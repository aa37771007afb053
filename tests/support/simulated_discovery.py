"""A fleet of policy engines on one virtual clock that poll a simulated discovery, which has an outage.

The virtual clock is that of `scale.hollow`. The discovery simulated there pushes changes, whereas the one
here is polled. Delays are constant here, every poll has a reply, and a receiver processes all gossip that is
not lost, so that only the engines determine the times of polls and the number of messages.
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

# Duration of the outage at the start, in which discovery rejects every poll.
OUTAGE_MS = 3000.0
# Maximum rate at which discovery responds to polls after the outage; it rejects all other polls.
POLL_RESPONSES_PER_SECOND = 8.0
# Fraction of the datagrams that are lost.
DATAGRAM_LOSS_FRACTION = 0.05
# Time from a poll to its reply.
POLL_DELAY_MS = 2.0
# Time from a broadcast to its arrival at the other limiters.
GOSSIP_DELAY_MS = 20.0
# Index of the server that every response of discovery lists as draining.
REMOVED_SERVER = 1
# Index of the other server.
KEPT_SERVER = 2


class PollingFleet:
    """Limiters that poll discovery; it rejects all polls in an outage, and limits their rate afterwards.

    Attributes:
        poll_times: time of each poll, in ms.
        broadcast_count: number of gossip broadcasts.
        outdated_limiters: limiters that still send to the removed server.
        limiters_responded_to: limiters that discovery has responded to.
    """

    def __init__(
        self, limiters: int, running: int, loss: float = DATAGRAM_LOSS_FRACTION, outage: float = OUTAGE_MS
    ) -> None:
        """Start limiters of a fleet, each with a cached list of both servers.

        Args:
            limiters: number of limiters in the fleet.
            running: number of these limiters that run.
            loss: fraction of the datagrams that are lost.
            outage: duration of the outage at the start, in ms.
        """
        self.poll_times: list[float] = []
        self.broadcast_count = 0
        self.outdated_limiters = set(range(running))
        self.limiters_responded_to: set[int] = set()
        self._rng = Random(limiters)
        self._datagram_loss_fraction = loss
        self._outage_ms = outage
        self._last_response_at = -math.inf
        self._clock = VirtualClock()
        self._engines: list[PolicyEngine] = []
        cached_list = EndpointsChanged(
            (make_endpoint(REMOVED_SERVER), make_endpoint(KEPT_SERVER)), True, from_cache=True
        )
        for limiter in range(running):
            self._engines.append(_make_engine(limiter, limiters))
            self.deliver_event(limiter, cached_list)

    @property
    def now(self) -> float:
        """Current time, in ms."""
        return self._clock.now

    def deliver_event(self, limiter: int, event: Event) -> None:
        """Pass an event to a limiter now, and schedule the effects of the resulting actions."""
        engine = self._engines[limiter]
        for action in engine.handle(self.now, event):
            match action:
                case SetTimer(delay, token):
                    self._clock.call_at(self.now + delay, self.deliver_event, limiter, TimerFired(token))
                case PollDiscovery():
                    self.poll_times.append(self.now)
                    self._clock.call_at(self.now + POLL_DELAY_MS, self._reply_to_poll, limiter)
                case BroadcastGossip(body):
                    self.broadcast_count += 1
                    message = GossipReceived(limiter, body)
                    self._clock.call_at(self.now + GOSSIP_DELAY_MS, self._deliver_broadcast, message)
                case _:
                    pass
        if limiter in self.outdated_limiters and make_endpoint_id(
            REMOVED_SERVER
        ) not in list_ready_endpoint_ids(engine):
            self.outdated_limiters.discard(limiter)

    def deliver_event_to_all(self, event: Event) -> None:
        """Pass an event to all limiters now."""
        for limiter in range(len(self._engines)):
            self.deliver_event(limiter, event)

    def run_until(self, end: float) -> None:
        """Run the simulation until the time `end`, in ms."""
        self._clock.run(end)

    def _reply_to_poll(self, limiter: int) -> None:
        is_overloaded = self.now < self._last_response_at + 1000 / POLL_RESPONSES_PER_SECOND
        if self.now < self._outage_ms or is_overloaded:
            self.deliver_event(limiter, DiscoveryPollFailed())
            return
        self._last_response_at = self.now
        self.limiters_responded_to.add(limiter)
        removal = make_endpoint(REMOVED_SERVER, EndpointState.DRAINING)
        self.deliver_event(limiter, EndpointsChanged((removal,), is_full_list=False))

    def _deliver_broadcast(self, message: GossipReceived) -> None:
        """Deliver a message to all limiters except its sender and those for which it is lost."""
        for receiver in range(len(self._engines)):
            if receiver != message.sender and self._rng.random() >= self._datagram_loss_fraction:
                self.deliver_event(receiver, message)


def _make_engine(limiter: int, limiters: int) -> PolicyEngine:
    limiter_settings = make_settings(
        limiter_index=limiter,
        limiter_count=limiters,
        may_gossip=True,
        gossip_intake_per_second=40.0,
        polls_discovery=True,
    )
    return PolicyEngine(limiter_settings, seed=limiter)
