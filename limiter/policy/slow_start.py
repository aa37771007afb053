"""Slow start: how much a server may get while it warms up after its start.

What all limiters send to a warming server adds up, and by cost alone it ranks first at each of them, since
little is in flight there. So it is drawn with a probability equal to the fraction of its capacity that it has
by now. Where one limiter sees little of a server's load, it gets a credit as well, for its even share of the
attempts. Types: limiter/model. All times and durations are milliseconds.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol, TypeVar

from limiter.model.events import Endpoint
from limiter.policy.context import EngineContext

# Share of a warming server's overload allowance that its even share of attempts may fill. The rest is
# room for chance: the limiters do not know of each other's attempts.
CREDIT_SHARE = 0.75

# Attempts that a limiter must send to a server with full capacity, as its even share, in the time of a
# warm-up. With fewer, credits bring nothing but idle connections.
MIN_EVEN_SHARE = 2.0


@dataclass(slots=True, eq=False)
class SlowStartCredit:
    """Attempts that one server may get from here while it warms up.

    Attributes:
        attempts: The attempts saved up; one is spent with each attempt, and the credit may be below zero.
        counted_share: Even share (see `SlowStart`) up to which the credit was counted.
    """

    attempts: float = 0.0
    counted_share: float = 0.0

    def grant(self, attempts: float, even_share: float) -> None:
        """Begin the credit of a server that has just started with this many attempts."""
        self.attempts = attempts
        self.counted_share = even_share

    def accrue(self, even_share: float, attempts_per_share: float) -> float:
        """Add what the server has earned since the credit was last counted; return the credit, 1 at most."""
        earned = attempts_per_share * (even_share - self.counted_share)
        self.attempts = min(1.0, self.attempts + earned)
        self.counted_share = even_share
        return self.attempts

    def spend_attempt(self) -> None:
        """Take an attempt that is sent to the server."""
        self.attempts -= 1


class StartingServer(Protocol):
    """What slow start has to know of a server."""

    endpoint: Endpoint
    slow_start_credit: SlowStartCredit


AnyServer = TypeVar("AnyServer", bound=StartingServer)


@dataclass(eq=False)
class SlowStart:
    """The slow start of all servers.

    Attributes:
        context: What the parts of the policy engine share.
        unobserved_load_fraction: How little of a server's load one limiter sees, from 0 to 1. At 0 no credits
            are used.
        fleet_capacity: Capacity of all ready servers together, as a number of servers with full capacity;
            at least 1.
        even_share: Attempts that a server with full capacity would have got from here so far if they were
            spread evenly.
    """

    context: EngineContext
    unobserved_load_fraction: float
    fleet_capacity: float = 1.0
    even_share: float = 0.0

    def capacity_fraction(self, now: float, server: StartingServer) -> float:
        """Return the share of its full capacity that a server has at this time after its start."""
        started_at = server.endpoint.started_at
        age = max(0.0, now - started_at) if started_at > 0 else math.inf
        settings = self.context.settings
        at_start = settings.slow_start_capacity
        return min(1.0, at_start + (1 - at_start) * age / max(settings.slow_start_duration, 1e-9))

    def update_fleet_capacity(self, now: float, servers: list[AnyServer]) -> float:
        """Note the capacity of the fleet.

        Args:
            now: The time.
            servers: All ready servers.

        Returns:
            Their capacity together, as a number of servers with full capacity.
        """
        starting = (server for server in servers if server.endpoint.started_at > 0)
        capacity = len(servers) - sum(1 - self.capacity_fraction(now, server) for server in starting)
        self.fleet_capacity = max(1.0, capacity)
        return capacity

    def register(self, server: StartingServer) -> None:
        """Begin the credit of a server; it is drawn, so that not all limiters turn to the server at once."""
        attempts = self.context.random.random() if self.unobserved_load_fraction else 1.0
        server.slow_start_credit.grant(attempts, self.even_share)

    def record_attempt(self, server: StartingServer) -> None:
        """Count an attempt that is sent from here to this server."""
        self.even_share += 1 / self.fleet_capacity
        server.slow_start_credit.spend_attempt()

    def with_credit(self, now: float, servers: list[AnyServer]) -> list[AnyServer]:
        """Return the servers that have a credit for an attempt; all of them where credits are not used."""
        if not self._uses_credits(now):
            return servers
        return [server for server in servers if self._credit(now, server) >= 1]

    def _uses_credits(self, now: float) -> bool:
        """Whether this limiter sees little of a server's load, and yet sends enough to share out."""
        if not self.unobserved_load_fraction:
            return False
        running_for = now - self.context.started_at
        # Both sides are multiplied by the running time: the even share of a warm-up against its minimum.
        return self.even_share * self.context.settings.slow_start_duration >= MIN_EVEN_SHARE * running_for

    def _credit(self, now: float, server: StartingServer) -> float:
        """Return the attempts that a server may get now: one at most is saved up."""
        capacity_fraction = self.capacity_fraction(now, server)
        if capacity_fraction >= 1:
            return 1.0
        overload = self.context.settings.slow_start_overload
        attempts_per_share = CREDIT_SHARE / self.unobserved_load_fraction * overload * capacity_fraction
        return server.slow_start_credit.accrue(self.even_share, attempts_per_share)

    def choose(self, now: float, servers: Iterable[AnyServer]) -> AnyServer | None:
        """Return the first of the servers that a draw by its capacity fraction passes.

        So each server gets attempts in proportion to its capacity, however many limiters there are.
        """
        for server in servers:
            if self.context.random.random() < self.capacity_fraction(now, server):
                return server
        return None
