"""Load of the other limiters, as reported in their gossip messages.

This module uses no types of limiter/model. Times are in milliseconds.
"""

from __future__ import annotations

from limiter.policy.smoothing import decay_factor

# Time constant of the decay of a message's weight: a message loses two thirds of its weight in this time. A
# limiter must see the effect of its own decisions within a few updates.
MESSAGE_DECAY_TIME_MS = 1000.0


class PeerLoad:
    """Mean load of this limiter and of the peers that it has received messages from.

    The weight of a message decays with its age.
    """

    def __init__(self) -> None:
        """Start without any message."""
        self.message_weight = 0.0  # Sum of the weights of all messages.
        self._weighted_in_flight = 0.0  # Weighted sum of the peers' attempts in flight.
        self._weighted_latency = 0.0  # Weighted sum of the peers' mean latencies.
        self._weighted_at = 0.0  # Time up to which the weights have decayed.

    def add_message(self, now: float, in_flight: int, latency: float) -> None:
        """Add the load from a peer's message, with weight 1.

        Args:
            now: Time at which the message was received.
            in_flight: Number of attempts in flight at the sender.
            latency: Mean latency of the sender's attempts.
        """
        self.decay(now)
        self.message_weight += 1
        self._weighted_in_flight += in_flight
        self._weighted_latency += latency

    def decay(self, now: float) -> None:
        """Decay the weights of all messages up to `now`."""
        factor = decay_factor(max(0.0, now - self._weighted_at), MESSAGE_DECAY_TIME_MS)
        self.message_weight *= factor
        self._weighted_in_flight *= factor
        self._weighted_latency *= factor
        self._weighted_at = now

    def mean_in_flight(self, own_in_flight: float) -> float:
        """Return the mean number of attempts in flight per limiter.

        It varies less than the number at one limiter, which is small.

        Args:
            own_in_flight: Number of attempts in flight at this limiter.
        """
        return (own_in_flight + self._weighted_in_flight) / (1 + self.message_weight)

    def mean_latency(self, own_latency: float) -> float:
        """Return the mean attempt latency over the limiters.

        Args:
            own_latency: Mean latency of this limiter's attempts.
        """
        return (own_latency + self._weighted_latency) / (1 + self.message_weight)
