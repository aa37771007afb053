"""Eviction of records that have been idle, a few at a time. It uses none of the types in limiter/model."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

Record = TypeVar("Record")

# Records taken out in one call: called for each record that is put in, this outpaces them.
MAX_EVICTED_PER_CALL = 2


def pop_idle(records: dict[int, Record], is_idle: Callable[[Record], bool]) -> list[tuple[int, Record]]:
    """Take out the first records that are idle, MAX_EVICTED_PER_CALL at most.

    Args:
        records: The records by key, the longest idle first; at least one of them is not idle.
        is_idle: Tells whether a record is idle.

    Returns:
        The records that were taken out, with their keys.
    """
    popped: list[tuple[int, Record]] = []
    while len(popped) < MAX_EVICTED_PER_CALL and is_idle(records[key := next(iter(records))]):
        popped.append((key, records.pop(key)))
    return popped
