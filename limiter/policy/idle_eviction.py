"""Incremental eviction of idle records. This module uses no types of limiter/model."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

Record = TypeVar("Record")

# Maximum number of records evicted per call. As `pop_idle` is called once for each record that is added, a
# value above 1 evicts records faster than they are added.
MAX_EVICTED_PER_CALL = 2


def pop_idle(records: dict[int, Record], is_idle: Callable[[Record], bool]) -> list[tuple[int, Record]]:
    """Remove and return the longest idle records, at most `MAX_EVICTED_PER_CALL` of them.

    Args:
        records: The records by key, ordered from the longest idle; at least one of them must not be idle.
        is_idle: Returns whether a record is idle.

    Returns:
        The removed records with their keys.
    """
    popped: list[tuple[int, Record]] = []
    while len(popped) < MAX_EVICTED_PER_CALL and is_idle(records[key := next(iter(records))]):
        popped.append((key, records.pop(key)))
    return popped
