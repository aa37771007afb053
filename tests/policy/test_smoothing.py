"""Tests of moving averages, exponential decay and clamping."""

from __future__ import annotations

import math

import pytest

from limiter.policy.smoothing import (
    clamp,
    decay_factor,
    newest_sample_weight,
    update_ewma,
    update_or_start_ewma,
)


def test_a_sample_moves_the_average_by_its_weight() -> None:
    assert update_ewma(10.0, 20.0, 0.2) == 12.0
    assert update_ewma(10.0, 20.0, 1.0) == 20.0
    assert update_ewma(10.0, 20.0, 0.0) == 10.0


def test_the_first_sample_is_the_average() -> None:
    assert update_or_start_ewma(0.0, 20.0, 0.2) == 20.0
    assert update_or_start_ewma(10.0, 20.0, 0.2) == 12.0


def test_a_value_decays_to_a_fraction_in_its_time_constant() -> None:
    assert decay_factor(0.0, 3000.0) == 1.0
    assert decay_factor(3000.0, 3000.0) == pytest.approx(1 / math.e)
    assert decay_factor(6000.0, 3000.0) == pytest.approx(1 / math.e**2)


def test_the_newest_sample_gets_the_weight_lost_by_the_older_ones() -> None:
    assert newest_sample_weight(0.0, 4.0) == 0.0
    assert newest_sample_weight(4.0, 4.0) == pytest.approx(1 - 1 / math.e)


@pytest.mark.parametrize(("value", "clamped"), [(-1.0, 0.5), (0.5, 0.5), (1.5, 1.5), (2.0, 2.0), (7.0, 2.0)])
def test_a_clamped_value_is_the_nearest_one_in_the_range(value: float, clamped: float) -> None:
    assert clamp(value, 0.5, 2.0) == clamped
