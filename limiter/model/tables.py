"""Tables of the records that the policy keeps. They decide nothing.

All times and durations are milliseconds.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

from limiter.model.records import CustomerRecord

Record = TypeVar("Record")


def pop_idle(records: dict[int, Record], is_idle: Callable[[Record], bool]) -> list[tuple[int, Record]]:
    """Take out the first records that are idle, two at most: called for each record put in, it outpaces them.

    The dictionary has the longest idle record first and at least one that is not idle.
    """
    popped: list[tuple[int, Record]] = []
    while len(popped) < 2 and is_idle(records[key := next(iter(records))]):
        popped.append((key, records.pop(key)))
    return popped


class CustomerTable:
    """All customers with recent requests, and the counter names under which they are counted."""

    def __init__(self, forget_after: float) -> None:
        """A customer may be forgotten once it has had no request for this long."""
        self._forget_after = forget_after
        self.records: dict[int, CustomerRecord] = {}  # the longest idle first
        self.by_counter_key: dict[int, CustomerRecord] = {}

    def take(self, key: int) -> CustomerRecord | None:
        """Take a record out, to be put back with `put`."""
        return self.records.pop(key, None)

    def put(self, key: int, customer: CustomerRecord, now: float) -> None:
        """Put in the record of a customer that has a request now; others that are idle are forgotten."""
        self.records[key] = customer
        customer.last_seen_at = now
        longest_idle = next(iter(self.records.values()))
        if now - longest_idle.last_seen_at > self._forget_after:
            self._forget_idle(now)

    def _forget_idle(self, now: float) -> None:
        for key, idle in pop_idle(self.records, lambda each: now - each.last_seen_at > self._forget_after):
            if idle.is_busy:
                self.records[key] = idle  # it does not keep the others
            else:
                self.by_counter_key.pop(idle.counter_key, None)

    def change_counter_key(self, customer: CustomerRecord, name: int) -> None:
        """Count a customer under another name; replies for the name before it are no longer its own."""
        self.by_counter_key.pop(customer.counter_key, None)
        customer.counter_key = name
        self.by_counter_key[name] = customer
