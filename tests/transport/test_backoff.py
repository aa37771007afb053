"""Tests of the exponential backoff with jitter between connection attempts."""

from __future__ import annotations

import pytest

from limiter.transport.backoff import JITTER_FRACTION, Backoff


def approx_within_jitter(seconds: float) -> object:
    """Return a value that compares equal to each delay that jitter can produce from `seconds`."""
    return pytest.approx(seconds, rel=JITTER_FRACTION)


def test_delays_double_up_to_the_maximum_and_return_to_the_initial_delay_after_a_reset() -> None:
    backoff = Backoff(0.05, 1.0)
    delays = [backoff.next_delay_seconds() for _ in range(7)]
    assert delays == [approx_within_jitter(seconds) for seconds in (0.05, 0.1, 0.2, 0.4, 0.8, 1.0, 1.0)]
    backoff.reset()
    assert backoff.next_delay_seconds() == approx_within_jitter(0.05)


def test_jitter_varies_the_delays_of_different_connections() -> None:
    """Without jitter, limiters that lose their connections simultaneously also reconnect simultaneously."""
    assert len({Backoff(0.05, 1.0).next_delay_seconds() for _ in range(20)}) > 1


def test_delays_are_constant_if_the_maximum_equals_the_initial_delay() -> None:
    backoff = Backoff(0.05, 0.05)
    assert [backoff.next_delay_seconds() for _ in range(3)] == [approx_within_jitter(0.05)] * 3
