"""Formulas of a server's slow start, shared by all simulations of servers."""

from __future__ import annotations

import math


def compute_capacity_fraction(age_ms: float, duration_ms: float, initial_fraction: float) -> float:
    """Compute a server's present capacity as a fraction of its full capacity.

    Args:
        age_ms: Time since the server started.
        duration_ms: Length of the slow start, during which the capacity grows linearly.
        initial_fraction: Fraction of its capacity that the server has when it starts.
    """
    if age_ms >= duration_ms:
        return 1.0
    return initial_fraction + (1 - initial_fraction) * age_ms / duration_ms


def compute_tolerated_arrivals(expected_arrivals: float) -> float:
    """Compute the number of arrivals in a window that a server tolerates during slow start.

    The standard deviation of random arrivals is the square root of their expected number. Two standard
    deviations and another two arrivals above the expected number are tolerated.
    """
    return expected_arrivals + 2 * math.sqrt(expected_arrivals) + 2
