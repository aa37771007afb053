"""Smoothing of measured values: moving averages, exponential decay and clamping.

The order of the floating-point operations in each function is part of its contract, because the replay of a
recorded run has to match it bit for bit. This module uses no types of limiter/model.
"""

import math


def update_ewma(average: float, sample: float, weight: float) -> float:
    """Return an exponentially weighted moving average (EWMA) updated with a sample.

    Args:
        average: The average before this sample.
        sample: The newest sample, in the unit of the average.
        weight: Weight of the sample in the new average, from 0 to 1.
    """
    return average + weight * (sample - average)


def update_or_start_ewma(average: float, sample: float, weight: float) -> float:
    """Return a moving average updated with a sample; the first sample becomes the average.

    Args:
        average: The average before this sample; 0 if there is no sample yet.
        sample: The newest sample, in the unit of the average.
        weight: Weight of the sample in the new average, from 0 to 1.
    """
    return average + weight * (sample - average) if average else sample


def decay_factor(elapsed: float, time_constant: float) -> float:
    """Return the fraction of a value that remains after exponential decay.

    Args:
        elapsed: Time, or any other quantity, over which the value decays.
        time_constant: Value of `elapsed` after which the fraction 1/e remains, in the same unit.
    """
    return math.exp(-elapsed / time_constant)


def newest_sample_weight(elapsed: float, time_constant: float) -> float:
    """Return the weight of a new sample in an average whose older samples decay exponentially.

    Args:
        elapsed: Time since the previous sample, or number of observations in the new sample.
        time_constant: Value of `elapsed` after which the older samples keep 1/e of their weight, in the same
            unit.
    """
    return 1 - decay_factor(elapsed, time_constant)


def clamp(value: float, minimum: float, maximum: float) -> float:
    """Return `value` limited to the range from `minimum` to `maximum`."""
    return min(maximum, max(minimum, value))
