"""The backoff between two attempts to connect."""

from __future__ import annotations

import pytest

from limiter.transport.backoff import JITTER_FRACTION, Backoff


def within_jitter(seconds: float) -> object:
    """Return a value that equals all delays which jitter may make of this one."""
    return pytest.approx(seconds, rel=JITTER_FRACTION)


def test_delays_double_up_to_their_bound_and_start_anew_after_a_reset() -> None:
    backoff = Backoff(0.05, 1.0)
    delays = [backoff.next_delay_seconds() for _ in range(7)]
    assert delays == [within_jitter(seconds) for seconds in (0.05, 0.1, 0.2, 0.4, 0.8, 1.0, 1.0)]
    backoff.reset()
    assert backoff.next_delay_seconds() == within_jitter(0.05)


def test_delays_differ_by_their_jitter() -> None:
    assert len({Backoff(0.05, 1.0).next_delay_seconds() for _ in range(20)}) > 1


def test_bound_equal_to_the_first_delay_keeps_delays_constant() -> None:
    backoff = Backoff(0.05, 0.05)
    assert [backoff.next_delay_seconds() for _ in range(3)] == [within_jitter(0.05)] * 3
