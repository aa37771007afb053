"""What the parts of a policy engine share: settings, random numbers, and the actions of the event in hand.

Types: limiter/model. Times are milliseconds.
"""

from __future__ import annotations

from enum import IntEnum
from random import Random

from limiter.model.actions import Action, SetTimer
from limiter.model.settings import Settings

# Start time of an engine before its first event: earlier than every time of the clock.
NOT_STARTED = -1.0


class TimerToken(IntEnum):
    """Tokens of the timers that the policy sets."""

    HOUSEKEEPING = 0
    DISCOVERY_POLL = 1
    USAGE_GOSSIP = 2
    DISCOVERY_GOSSIP = 3


class EngineContext:
    """Shared by the parts of one policy engine.

    Attributes:
        settings: What the limiter decides by.
        random: The source of every random draw.
        actions: What the event in hand leads to, in order.
        started_at: Time of the first event; below 0 before it.
        min_latency_objective: The shortest latency objective of a request class.
    """

    __slots__ = ("actions", "min_latency_objective", "random", "settings", "started_at")

    def __init__(self, settings: Settings, seed: int) -> None:
        """Start without an event.

        Args:
            settings: What the limiter decides by.
            seed: Decides every random draw.
        """
        self.settings = settings
        self.random = Random(seed)
        self.actions: list[Action] = []
        self.started_at = NOT_STARTED
        self.min_latency_objective = min(each.latency_objective for each in settings.request_classes)

    def start(self, now: float) -> None:
        """Note the time of the first event."""
        self.started_at = now

    def set_timer(self, delay: float, timer: TimerToken) -> None:
        """Ask for TimerFired with this token after the delay."""
        self.actions.append(SetTimer(delay, timer))

    def take_actions(self) -> list[Action]:
        """Return the actions of the event in hand, and begin with none for the next."""
        actions = self.actions
        self.actions = []
        return actions
