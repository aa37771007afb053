"""Smoothing of measured values: moving averages, exponential decay and clamping.

Every function does its floating-point operations in the order in which they are written. A recorded run is
replayed to the last bit, so that order is part of what the functions promise. They use none of the types in
limiter/model.
"""

import math


def update_ewma(average: float, sample: float, weight: float) -> float:
    """Return an exponentially weighted moving average after one more sample.

    Args:
        average: The average before this sample.
        sample: The newest sample, in the unit of the average.
        weight: Share of the sample in the new average, from 0 to 1.
    """
    return average + weight * (sample - average)


def update_or_start_ewma(average: float, sample: float, weight: float) -> float:
    """Return a moving average after one more sample, where the first sample is the average itself.

    Args:
        average: The average before this sample; 0 if there was no sample yet.
        sample: The newest sample, in the unit of the average.
        weight: Share of the sample in the new average, from 0 to 1.
    """
    return average + weight * (sample - average) if average else sample


def decay_factor(elapsed: float, time_constant: float) -> float:
    """Return the share of a value that is left after exponential decay: 1 at once, 1/e after the constant.

    Args:
        elapsed: Time, or amount of whatever else the value decays by.
        time_constant: How much of that leaves 1/e of the value, in the unit of `elapsed`.
    """
    return math.exp(-elapsed / time_constant)


def newest_sample_weight(elapsed: float, time_constant: float) -> float:
    """Return the weight of a new sample in an average whose older samples decay exponentially.

    Args:
        elapsed: Time since the sample before, or number of observations that the new sample is made of.
        time_constant: How much of that leaves 1/e of the older samples' weight, in the unit of `elapsed`.
    """
    return 1 - decay_factor(elapsed, time_constant)


def clamp(value: float, minimum: float, maximum: float) -> float:
    """Return the value from `minimum` to `maximum` that is nearest to `value`."""
    return min(maximum, max(minimum, value))
