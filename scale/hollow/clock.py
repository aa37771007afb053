"""The virtual clock, in ms: callbacks that are due together run in the order of their scheduling."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from heapq import heappop, heappush
from typing import Generic, TypeVar, TypeVarTuple

Arguments = TypeVarTuple("Arguments")
ItemT = TypeVar("ItemT")


class VirtualClock:
    """Runs callbacks at virtual times; nothing waits for real time."""

    def __init__(self, start: float = 0.0) -> None:
        """Start at a time in ms, with nothing scheduled."""
        self.now = start
        self.run_limit = math.inf  # ms; time at which the present `run` ends
        # By time, then by the order of scheduling: callbacks and their arguments.
        self.queue: list[tuple[float, int, Callable[..., None], tuple[object, ...]]] = []
        self._scheduled_count = 0

    def call_at(self, time: float, callback: Callable[[*Arguments], None], *args: *Arguments) -> None:
        """Schedule `callback(*args)` at `time`, in ms."""
        self._scheduled_count += 1
        heappush(self.queue, (time, self._scheduled_count, callback, args))

    def run(self, until: float) -> None:
        """Run what is due up to and including `until`, in ms; the clock stands there afterwards."""
        self.run_limit = until
        queue = self.queue
        while queue and queue[0][0] <= until:
            self.now, _, callback, args = heappop(queue)
            callback(*args)
        self.now = until


class FanOut(Generic[ItemT]):
    """Delivers one item to many receivers, each at its own time, with one entry of the queue at a time."""

    def __init__(
        self,
        clock: VirtualClock,
        deliveries: Iterable[tuple[float, int]],
        deliver: Callable[[int, ItemT], None],
        item: ItemT,
    ) -> None:
        """Schedule `deliver(receiver, item)` for all `deliveries`: (time, receiver) in order of time."""
        self._clock = clock
        self._deliveries = iter(deliveries)
        self._deliver = deliver
        self._item = item
        self._next = next(self._deliveries, None)
        if self._next is not None:
            clock.call_at(self._next[0], self._run)

    def _run(self) -> None:
        """Deliver up to the next other entry of the queue, or up to the end of the clock's run."""
        clock = self._clock
        queue = clock.queue
        while self._next is not None:
            time, receiver = self._next
            if time > clock.run_limit or (queue and queue[0][0] < time):
                clock.call_at(time, self._run)
                return
            clock.now = time
            self._next = next(self._deliveries, None)
            self._deliver(receiver, self._item)
