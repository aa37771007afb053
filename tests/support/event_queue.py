"""A queue of future events by time, for simulations on a virtual clock."""

from __future__ import annotations

import math
from heapq import heappop, heappush
from typing import Generic, TypeVar

EventT = TypeVar("EventT")


class EventQueue(Generic[EventT]):
    """Events by time; those of the same time in the order in which they were pushed."""

    def __init__(self) -> None:
        """Make a queue without events."""
        self._heap: list[tuple[float, int, EventT]] = []
        self._pushed = 0

    def push(self, when: float, event: EventT) -> None:
        """Add an event that is due at this time."""
        self._pushed += 1
        heappush(self._heap, (when, self._pushed, event))

    def next_time(self) -> float:
        """Return the time of the earliest event, infinity if there is none."""
        return self._heap[0][0] if self._heap else math.inf

    def pop(self) -> tuple[float, EventT]:
        """Remove the earliest event; return its time and itself."""
        when, _, event = heappop(self._heap)
        return when, event
