"""The load of the other limiters, as their gossip tells it. It uses none of the types in limiter/model.

Times are milliseconds.
"""

from __future__ import annotations

from limiter.policy.smoothing import decay_factor

# Time in which a message loses two thirds of its weight: a limiter must see the effect of its own decisions
# within a few updates.
DECAY_MS = 1000.0


class PeerLoad:
    """Means of the load over this limiter and those that it received a message from, weighted by age."""

    def __init__(self) -> None:
        """Start without a message of another limiter."""
        self.message_weight = 0.0  # sum of the messages' weights
        self._in_flight = 0.0  # weighted sum
        self._latency = 0.0  # weighted sum
        self._decayed_at = 0.0  # time as of which the messages are weighted

    def add_message(self, now: float, in_flight: int, latency: float) -> None:
        """Take in a message.

        Args:
            now: Time at which it was received.
            in_flight: Attempts in flight at its sender.
            latency: Mean latency of an attempt there.
        """
        self.decay(now)
        self.message_weight += 1
        self._in_flight += in_flight
        self._latency += latency

    def decay(self, now: float) -> None:
        """Bring the weights of the messages to `now`."""
        factor = decay_factor(max(0.0, now - self._decayed_at), DECAY_MS)
        self.message_weight *= factor
        self._in_flight *= factor
        self._latency *= factor
        self._decayed_at = now

    def mean_in_flight(self, own: float) -> float:
        """Return the attempts in flight at the mean limiter: the few of one limiter alone vary by chance."""
        return (own + self._in_flight) / (1 + self.message_weight)

    def mean_latency(self, own: float) -> float:
        """Return the latency of an attempt at the mean limiter."""
        return (own + self._latency) / (1 + self.message_weight)
