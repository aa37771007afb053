"""The virtual clock: one heap of what happens when, in ms. What is due together happens as it was made."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from heapq import heappop, heappush
from typing import Any


class Clock:
    def __init__(self) -> None:
        self.now = 0.0
        self.until = math.inf
        self.heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.made = 0

    def at(self, time: float, act: Callable[..., None], *args: Any) -> None:
        self.made += 1
        heappush(self.heap, (time, self.made, act, args))

    def run(self, until: float) -> None:
        """Let happen what is due up to that time, which it is then."""
        self.until, heap = until, self.heap
        while heap and heap[0][0] <= until:
            self.now, _, act, args = heappop(heap)
            act(*args)
        self.now = until


class FanOut:
    """The same thing for many receivers, each at its own time: one place on the heap, not one for each."""

    def __init__(
        self, clock: Clock, due: Iterable[tuple[float, int]], deliver: Callable[[int, Any], None], what: Any
    ) -> None:
        """`due`: times and receivers, in order of time."""
        self.clock, self.due, self.deliver, self.what = clock, iter(due), deliver, what
        self.next = next(self.due, None)
        if self.next is not None:
            clock.at(self.next[0], self._go)

    def _go(self) -> None:
        clock, heap = self.clock, self.clock.heap
        while self.next is not None:
            time, receiver = self.next
            if time > clock.until or (heap and heap[0][0] < time):
                clock.at(time, self._go)
                return
            clock.now = time
            self.next = next(self.due, None)
            self.deliver(receiver, self.what)
