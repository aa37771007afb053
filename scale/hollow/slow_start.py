"""Arithmetic of a server's slow start, shared by all simulations of servers."""

from __future__ import annotations

import math


def compute_capacity_fraction(age_ms: float, duration_ms: float, initial_capacity: float) -> float:
    """Compute a server's present capacity as a share of its full one.

    Args:
        age_ms: time since the server started.
        duration_ms: length of the slow start, during which the capacity grows linearly.
        initial_capacity: share that the server has at its start.
    """
    if age_ms >= duration_ms:
        return 1.0
    return initial_capacity + (1 - initial_capacity) * age_ms / duration_ms


def compute_tolerated_arrivals(expected: float) -> float:
    """Number of arrivals in a window that a server in slow start tolerates, where `expected` are allowed.

    Arrivals that are random vary by the square root of their expected number; two of these deviations and
    another two arrivals are tolerated.
    """
    return expected + 2 * math.sqrt(expected) + 2
