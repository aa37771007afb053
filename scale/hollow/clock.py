"""The virtual clock, in ms. Callbacks that are due at the same time run in the order of their scheduling."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from heapq import heappop, heappush
from typing import Generic, TypeVar, TypeVarTuple

Arguments = TypeVarTuple("Arguments")
ItemT = TypeVar("ItemT")


class VirtualClock:
    """Runs callbacks in order of virtual time, without waiting for real time."""

    def __init__(self, start: float = 0.0) -> None:
        """Set the clock to `start`, in ms, with nothing scheduled."""
        self.now = start
        self.run_end = math.inf  # ms; the time up to which the current call of `run` runs
        # Heap of (time, number in order of scheduling, callback, arguments).
        self.scheduled_callbacks: list[tuple[float, int, Callable[..., None], tuple[object, ...]]] = []
        self._scheduled_count = 0

    def call_at(self, time: float, callback: Callable[[*Arguments], None], *args: *Arguments) -> None:
        """Schedule `callback(*args)` at `time`, in ms."""
        self._scheduled_count += 1
        heappush(self.scheduled_callbacks, (time, self._scheduled_count, callback, args))

    def run(self, until: float) -> None:
        """Run the callbacks that are due up to and including `until`, in ms, and set the clock to `until`."""
        self.run_end = until
        scheduled_callbacks = self.scheduled_callbacks
        while scheduled_callbacks and scheduled_callbacks[0][0] <= until:
            self.now, _, callback, args = heappop(scheduled_callbacks)
            callback(*args)
        self.now = until


class FanOut(Generic[ItemT]):
    """Delivers one item to many receivers, each at its own time.

    Only the next delivery is scheduled on the clock, so that a delivery to many receivers takes one entry of
    the clock's heap at a time.
    """

    def __init__(
        self,
        clock: VirtualClock,
        deliveries: Iterable[tuple[float, int]],
        deliver: Callable[[int, ItemT], None],
        item: ItemT,
    ) -> None:
        """Schedule `deliver(receiver, item)` for each (time, receiver) in `deliveries`, sorted by time."""
        self._clock = clock
        self._deliveries = iter(deliveries)
        self._deliver = deliver
        self._item = item
        self._next_delivery = next(self._deliveries, None)
        if self._next_delivery is not None:
            clock.call_at(self._next_delivery[0], self._deliver_due_items)

    def _deliver_due_items(self) -> None:
        """Deliver the item until another callback is due first or the clock's run ends.

        The next delivery after that is scheduled on the clock.
        """
        clock = self._clock
        scheduled_callbacks = clock.scheduled_callbacks
        while self._next_delivery is not None:
            time, receiver = self._next_delivery
            if time > clock.run_end or (scheduled_callbacks and scheduled_callbacks[0][0] < time):
                clock.call_at(time, self._deliver_due_items)
                return
            clock.now = time
            self._next_delivery = next(self._deliveries, None)
            self._deliver(receiver, self._item)
