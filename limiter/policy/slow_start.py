"""Slow start: limits the attempts that are sent to a server while it warms up after its start.

A warming server has few attempts in flight, so by cost alone every limiter would rank it first, and the sum
of their attempts would overload it. Therefore a server is chosen with a probability equal to its current
capacity fraction. If one limiter does not observe all of a server's load, it also limits its attempts to the
server by a credit, which grows with the attempts that the server would get if they were spread evenly. Types
are defined in limiter/model. All times and durations are in milliseconds.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol, TypeVar

from limiter.model.events import Endpoint
from limiter.policy.context import EngineContext

# Fraction of a warming server's overload allowance that the credits of all limiters together may use. The
# rest is a margin for random variation, because the limiters do not know of each other's attempts.
CREDIT_OVERLOAD_FRACTION = 0.75

# Credits are used only if a limiter's even share of the attempts to a server with full capacity is at least
# this many attempts within the duration of slow start. With fewer, credits only add idle connections.
MIN_EVEN_SHARE_ATTEMPTS = 2.0


@dataclass(slots=True, eq=False)
class SlowStartCredit:
    """Credit for attempts that this limiter may send to one server while the server warms up.

    Attributes:
        available_attempts: The credit. Each attempt takes 1 from it, and it may become negative.
        even_share_at_last_accrual: Value of `SlowStart.even_share_attempts` when credit was last added.
    """

    available_attempts: float = 0.0
    even_share_at_last_accrual: float = 0.0

    def initialize(self, attempts: float, even_share_attempts: float) -> None:
        """Set the initial credit of a server that is new or has restarted."""
        self.available_attempts = attempts
        self.even_share_at_last_accrual = even_share_attempts

    def accrue(self, even_share_attempts: float, credit_per_even_share_attempt: float) -> float:
        """Add the credit earned since the last accrual, up to a total of 1; return the total.

        Args:
            even_share_attempts: Current value of `SlowStart.even_share_attempts`.
            credit_per_even_share_attempt: Credit earned for each attempt of the even share.
        """
        earned_attempts = credit_per_even_share_attempt * (
            even_share_attempts - self.even_share_at_last_accrual
        )
        self.available_attempts = min(1.0, self.available_attempts + earned_attempts)
        self.even_share_at_last_accrual = even_share_attempts
        return self.available_attempts

    def spend_attempt(self) -> None:
        """Take the credit of one attempt that is sent to the server."""
        self.available_attempts -= 1


class SlowStartServer(Protocol):
    """The attributes of a server that slow start uses."""

    endpoint: Endpoint
    slow_start_credit: SlowStartCredit


ServerT = TypeVar("ServerT", bound=SlowStartServer)


@dataclass(eq=False)
class SlowStart:
    """Applies slow start to all servers.

    Attributes:
        context: State shared by the components of the engine.
        unobserved_load_fraction: Fraction of a server's load that one limiter does not observe, from 0 to 1.
            Credits are not used if it is 0.
        fleet_capacity: Total capacity of the ready servers, as a number of servers with full capacity; at
            least 1.
        even_share_attempts: Number of attempts that a server with full capacity would have received from this
            limiter so far if all attempts had been spread evenly by capacity.
    """

    context: EngineContext
    unobserved_load_fraction: float
    fleet_capacity: float = 1.0
    even_share_attempts: float = 0.0

    def compute_capacity_fraction(self, now: float, server: SlowStartServer) -> float:
        """Return the fraction of its full capacity that a server has at this time after its start."""
        started_at = server.endpoint.started_at
        uptime = max(0.0, now - started_at) if started_at > 0 else math.inf
        settings = self.context.settings
        initial_fraction = settings.slow_start_capacity
        return min(
            1.0, initial_fraction + (1 - initial_fraction) * uptime / max(settings.slow_start_duration, 1e-9)
        )

    def update_fleet_capacity(self, now: float, servers: list[ServerT]) -> float:
        """Update the capacity of the fleet.

        Args:
            now: Current time.
            servers: All ready servers.

        Returns:
            Their total capacity, as a number of servers with full capacity. Unlike `fleet_capacity`, it has
            no minimum.
        """
        warming_servers = (server for server in servers if server.endpoint.started_at > 0)
        capacity = len(servers) - sum(
            1 - self.compute_capacity_fraction(now, server) for server in warming_servers
        )
        self.fleet_capacity = max(1.0, capacity)
        return capacity

    def register_server(self, server: SlowStartServer) -> None:
        """Set a new server's initial credit, drawn at random so that limiters do not all use it at once."""
        attempts = self.context.random.random() if self.unobserved_load_fraction else 1.0
        server.slow_start_credit.initialize(attempts, self.even_share_attempts)

    def record_attempt(self, server: SlowStartServer) -> None:
        """Record an attempt that this limiter sends to the server."""
        self.even_share_attempts += 1 / self.fleet_capacity
        server.slow_start_credit.spend_attempt()

    def filter_by_credit(self, now: float, servers: list[ServerT]) -> list[ServerT]:
        """Return the servers that have credit for an attempt, or all servers if credits are not in use."""
        if not self._uses_credits(now):
            return servers
        return [server for server in servers if self._accrue_credit(now, server) >= 1]

    def _uses_credits(self, now: float) -> bool:
        """Return whether credits are in use.

        They are used if this limiter does not observe all of a server's load and its even share of attempts
        is large enough.
        """
        if not self.unobserved_load_fraction:
            return False
        running_time = now - self.context.started_at
        # Compares the even share within one slow start, at the average rate so far, with its minimum. Both
        # sides are multiplied by the running time.
        return (
            self.even_share_attempts * self.context.settings.slow_start_duration
            >= MIN_EVEN_SHARE_ATTEMPTS * running_time
        )

    def _accrue_credit(self, now: float, server: SlowStartServer) -> float:
        """Return a server's credit after accrual, at most 1; it is 1 for a server with full capacity."""
        capacity_fraction = self.compute_capacity_fraction(now, server)
        if capacity_fraction >= 1:
            return 1.0
        overload_factor = self.context.settings.slow_start_overload
        credit_per_even_share_attempt = (
            CREDIT_OVERLOAD_FRACTION / self.unobserved_load_fraction * overload_factor * capacity_fraction
        )
        return server.slow_start_credit.accrue(self.even_share_attempts, credit_per_even_share_attempt)

    def draw_server(self, now: float, servers: Iterable[ServerT]) -> ServerT | None:
        """Return the first server whose random draw is below its capacity fraction, or None if there is none.

        Servers thus receive attempts in proportion to their capacity, independent of the number of limiters.
        """
        for server in servers:
            if self.context.random.random() < self.compute_capacity_fraction(now, server):
                return server
        return None
