"""Age of gossip: the delay until a customer's usage at one limiter is known to the customer's other limiters.

Only this module depends on the content of gossip messages: `decode_usage` decodes them as a limiter does. To
measure another format of usage reports, pass another function of the type `UsageDecoder`.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from typing import NamedTuple

from limiter.codecs import gossip_messages
from limiter.policy.engine import PolicyEngine
from scale.hollow.customers import Customer

# Resolution in which ages are counted.
AGE_STEP_MS = 1.0
# Differences below this number of units are rounding errors.
UNITS_EPSILON = 1e-6

UsageDecoder = Callable[[PolicyEngine, bytes], Iterable[tuple[int, float]]]


def decode_usage(sender: PolicyEngine, body: bytes) -> Iterable[tuple[int, float]]:
    """Return the customers in a gossip message, each with the units that the message reports for it."""
    message = gossip_messages.decode_usage_message(body, len(sender.context.settings.plans))
    entries = message.entries if message is not None else None
    return [(customer, units) for _, customer, units in entries or ()]


class GossipMessage(NamedTuple):
    """A gossip message in transit, with the usage that its receivers learn of from it."""

    sender: int
    body: bytes
    # Times, in ms, at which the usage that the message reports was forwarded, by number of the receiver.
    usage_times: dict[int, list[float]]


class UnreportedUsage:
    """Units forwarded at one time that gossip messages have not yet reported in full."""

    __slots__ = ("forwarded_at", "units")

    def __init__(self, forwarded_at: float, units: float) -> None:
        """Create the record of units of which none is reported yet."""
        self.forwarded_at = forwarded_at  # ms
        self.units = units  # units that are not reported yet


class GossipAges:
    """Tracks usage from its forwarding, through the message that reports it, to each receiver."""

    def __init__(
        self,
        customers: list[Customer],
        count_from: float,
        count_until: float,
        decoder: UsageDecoder = decode_usage,
    ) -> None:
        """Count the usage that is forwarded from `count_from` until before `count_until`, in ms."""
        # Number of occurrences of each age; ages are in steps of AGE_STEP_MS.
        self.counts_by_age: dict[int, int] = {}
        # Number of pairs of a forwarded request and another limiter that its customer uses.
        self.expected_pair_count = 0
        # Number of these pairs in which the limiter has learnt of the usage.
        self.learnt_pair_count = 0
        self._customers = customers
        self._count_from = count_from
        self._count_until = count_until
        self._decoder = decoder
        # Unreported usage by limiter and customer, oldest first.
        self._unreported: dict[int, dict[int, deque[UnreportedUsage]]] = {}

    def record_usage(self, now: float, limiter: int, customer: int, units: float) -> None:
        """Record that a limiter forwards a customer's request now."""
        unreported_by_customer = self._unreported.setdefault(limiter, {})
        unreported_by_customer.setdefault(customer, deque()).append(UnreportedUsage(now, units))
        if self._count_from <= now < self._count_until:
            limiters = self._customers[customer].used_limiters
            self.expected_pair_count += len(limiters) - (limiter in limiters)

    def track_sent_message(self, sender: int, engine: PolicyEngine, body: bytes) -> GossipMessage:
        """Attach to a message the usage that it reports in full, oldest first, for each of its receivers."""
        usage_times: dict[int, list[float]] = {}
        unreported_by_customer = self._unreported.get(sender, {})
        for customer, units in self._decoder(engine, body):
            unreported = unreported_by_customer.get(customer)
            if unreported is None:
                continue
            times = self._remove_reported_usage(unreported, units)
            if not unreported:
                del unreported_by_customer[customer]
            if not times:
                continue
            for receiver in self._customers[customer].used_limiters:
                if receiver != sender:
                    usage_times.setdefault(receiver, []).extend(times)
        return GossipMessage(sender, body, usage_times)

    def record_received_message(self, now: float, receiver: int, message: GossipMessage) -> None:
        """Count the ages of the usage that a receiver learns of."""
        for used_at in message.usage_times.get(receiver, ()):
            age = int((now - used_at) / AGE_STEP_MS)
            self.counts_by_age[age] = self.counts_by_age.get(age, 0) + 1
            self.learnt_pair_count += 1

    def discard_unreported_usage(self, limiter: int) -> None:
        """Discard the unreported usage of a killed limiter, of which the others never learn."""
        self._unreported.pop(limiter, None)

    def _remove_reported_usage(self, unreported: deque[UnreportedUsage], units: float) -> list[float]:
        """Subtract the reported units from the oldest usage first.

        Returns:
            The times of the usage that is now reported in full and is counted.
        """
        times: list[float] = []
        while unreported and units > UNITS_EPSILON:
            usage = unreported[0]
            reported_units = min(units, usage.units)
            units -= reported_units
            usage.units -= reported_units
            if usage.units <= UNITS_EPSILON:
                unreported.popleft()
                if self._count_from <= usage.forwarded_at < self._count_until:
                    times.append(usage.forwarded_at)
        return times
