"""State shared by the components of a policy engine: settings, random numbers and pending actions.

Types are defined in limiter/model. Times are in milliseconds.
"""

from __future__ import annotations

from enum import IntEnum
from random import Random

from limiter.model.actions import Action, SetTimer
from limiter.model.settings import Settings

# Value of `EngineContext.started_at` before the first event. It is earlier than every time of the clock.
NOT_STARTED_TIME_MS = -1.0


class TimerToken(IntEnum):
    """Tokens of the timers that the policy sets."""

    HOUSEKEEPING = 0
    DISCOVERY_POLL = 1
    USAGE_GOSSIP = 2
    DISCOVERY_GOSSIP = 3


class EngineContext:
    """State shared by the components of one policy engine.

    Attributes:
        settings: Settings of the limiter.
        random: Generator of all random numbers.
        actions: Actions that result from the current event, in the order in which they are carried out.
        started_at: Time of the first event; negative before it.
        min_latency_objective: Shortest latency objective of all request classes.
    """

    __slots__ = ("actions", "min_latency_objective", "random", "settings", "started_at")

    def __init__(self, settings: Settings, seed: int) -> None:
        """Create the state of an engine that has not handled an event.

        Args:
            settings: Settings of the limiter.
            seed: Seed of the random number generator.
        """
        self.settings = settings
        self.random = Random(seed)
        self.actions: list[Action] = []
        self.started_at = NOT_STARTED_TIME_MS
        self.min_latency_objective = min(each.latency_objective for each in settings.request_classes)

    def record_start_time(self, now: float) -> None:
        """Record the time of the first event."""
        self.started_at = now

    def set_timer(self, delay: float, token: TimerToken) -> None:
        """Request a TimerFired event with this token after the delay."""
        self.actions.append(SetTimer(delay, token))

    def take_actions(self) -> list[Action]:
        """Return the actions of the current event, and clear them for the next one."""
        actions = self.actions
        self.actions = []
        return actions
