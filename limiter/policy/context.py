"""What the parts of a policy engine share: settings, random numbers, and the actions of the event in hand.

Types: limiter/model. Times are milliseconds.
"""

from __future__ import annotations

from enum import IntEnum
from random import Random

from limiter.model.actions import Action, SetTimer
from limiter.model.settings import Settings


class Timer(IntEnum):
    """Tokens of the timers that the policy sets."""

    HOUSEKEEPING = 0
    DISCOVERY_POLL = 1
    USAGE_GOSSIP = 2
    DISCOVERY_GOSSIP = 3


class PolicyContext:
    """Shared by the parts of one policy engine; times are milliseconds."""

    __slots__ = ("actions", "random", "settings", "started_at", "tightest_objective")

    def __init__(self, settings: Settings, seed: int) -> None:
        """Begin without an event; the seed decides every draw."""
        self.settings = settings
        self.random = Random(seed)
        self.actions: list[Action] = []
        self.started_at = -1.0  # time of the first event; below 0: none yet
        self.tightest_objective = min(each.latency_objective for each in settings.request_classes)

    def set_timer(self, delay: float, timer: Timer) -> None:
        """Ask for TimerFired with this token after the delay."""
        self.actions.append(SetTimer(delay, timer))
