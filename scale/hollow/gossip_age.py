"""Age of gossip: the delay until the other limiters of a customer learn of its usage at one limiter.

This is the one part that knows what a gossip message says: `decode_usage` reads it as a limiter does.
Another way of reporting usage is measured by passing another function of the type `UsageDecoder`.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from typing import NamedTuple

from limiter.codecs import gossip_messages
from limiter.policy.engine import PolicyEngine
from scale.hollow.customers import Customer

# Resolution of the ages.
AGE_STEP_MS = 1.0
# A difference of fewer units than this is due to rounding.
UNITS_EPSILON = 1e-6

UsageDecoder = Callable[[PolicyEngine, bytes], Iterable[tuple[int, float]]]


def decode_usage(sender: PolicyEngine, body: bytes) -> Iterable[tuple[int, float]]:
    """Customers of a gossip message, and the units that it reports for each."""
    message = gossip_messages.decode_usage_message(body, len(sender.context.settings.plans))
    entries = message.entries if message is not None else None
    return [(customer, units) for _, customer, units in entries or ()]


class GossipMessage(NamedTuple):
    """A datagram on its way, with the usage that its receivers learn from it."""

    sender: int
    body: bytes
    # Times, in ms, of the usage that each receiver learns, by number of the receiver.
    usage_times: dict[int, list[float]]


class UnreportedUsage:
    """Units forwarded at a time that no message has reported in full."""

    __slots__ = ("time", "units")

    def __init__(self, time: float, units: float) -> None:
        """Nothing of it is reported yet."""
        self.time = time  # ms
        self.units = units  # units that are not reported yet


class GossipAges:
    """Follows usage from forwarding, through the message that reports it, to each receiver."""

    def __init__(
        self, customers: list[Customer], begin: float, end: float, decoder: UsageDecoder = decode_usage
    ) -> None:
        """Count usage from `begin` to `end`, in ms."""
        # How often each age occurred, by age in steps.
        self.counts_by_age: dict[int, int] = {}
        # Pairs of a usage and another limiter that serves its customer.
        self.expected_pair_count = 0
        # Pairs whose limiter has learnt of the usage.
        self.learnt_pair_count = 0
        self._customers = customers
        self._begin = begin
        self._end = end
        self._decoder = decoder
        # Usage by limiter and customer, the oldest first.
        self._unreported: dict[int, dict[int, deque[UnreportedUsage]]] = {}

    def record_usage(self, now: float, limiter: int, customer: int, units: float) -> None:
        """A limiter forwards a customer's request now."""
        by_customer = self._unreported.setdefault(limiter, {})
        by_customer.setdefault(customer, deque()).append(UnreportedUsage(now, units))
        if self._begin <= now < self._end:
            limiters = self._customers[customer].used_limiters
            self.expected_pair_count += len(limiters) - (limiter in limiters)

    def message_sent(self, sender: int, engine: PolicyEngine, body: bytes) -> GossipMessage:
        """Find the usage that a message reports in full, the oldest first, and its receivers."""
        usage_times: dict[int, list[float]] = {}
        by_customer = self._unreported.get(sender, {})
        for customer, units in self._decoder(engine, body):
            unreported = by_customer.get(customer)
            if unreported is None:
                continue
            times = self._take_reported(unreported, units)
            if not unreported:
                del by_customer[customer]
            if not times:
                continue
            for receiver in self._customers[customer].used_limiters:
                if receiver != sender:
                    usage_times.setdefault(receiver, []).extend(times)
        return GossipMessage(sender, body, usage_times)

    def message_received(self, now: float, receiver: int, message: GossipMessage) -> None:
        """Count the ages of what a receiver learns."""
        for used_at in message.usage_times.get(receiver, ()):
            age = int((now - used_at) / AGE_STEP_MS)
            self.counts_by_age[age] = self.counts_by_age.get(age, 0) + 1
            self.learnt_pair_count += 1

    def discard(self, limiter: int) -> None:
        """A limiter was killed: what it did not report is never learnt."""
        self._unreported.pop(limiter, None)

    def _take_reported(self, unreported: deque[UnreportedUsage], units: float) -> list[float]:
        """Take that many units off the oldest usage; times of what is now reported in full and counts."""
        times: list[float] = []
        while unreported and units > UNITS_EPSILON:
            usage = unreported[0]
            taken = min(units, usage.units)
            units -= taken
            usage.units -= taken
            if usage.units <= UNITS_EPSILON:
                unreported.popleft()
                if self._begin <= usage.time < self._end:
                    times.append(usage.time)
        return times
