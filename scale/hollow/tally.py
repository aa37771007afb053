"""The counts of a hollow experiment and the figures computed from them. The seed determines them."""

from __future__ import annotations

import math
from collections.abc import Sequence
from enum import Enum
from typing import TypedDict

from hdrh.histogram import HdrHistogram

from limiter.model.events import Outcome
from scale.hollow.plan import HollowExperiment

# Width of the time bins in which units beyond quotas are counted.
BIN_WIDTH_MS = 1000.0
# A window has recovered if its units are at most this multiple of the mean of the windows before the fault.
RECOVERED_RATIO = 1.5


class RequestOutcome(Enum):
    """How a request ended for its client. The values are keys of the result lines."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"
    KILLED = "lost"  # The limiter that had the request was killed.
    UNREACHABLE = "unreachable"  # The limiter to which the request was sent was down.


class Recovery(TypedDict):
    """Units beyond quotas before and after a fault. A figure is None if it cannot be computed."""

    before: float | None  # mean over the windows before the fault
    worst: float | None  # maximum over the windows after the fault
    recovery_ms: float | None  # time from the fault until all later windows have recovered


class Tally:
    """Counts over the whole fleet.

    Requests that arrive during the warm-up are counted only in `open_request_count`, `ended_request_count`
    and `requests_ended_by_driver`. Attempts and gossip messages are counted from the start.
    """

    def __init__(self, experiment: HollowExperiment) -> None:
        """Set all counts to 0; warm-up, duration and window are those of the experiment."""
        self.request_count = 0
        self.retry_count = 0
        self.attempt_count = 0
        self.gossip_message_count = 0
        self.open_request_count = 0
        self.requests_ended_by_driver = 0
        self.counts_by_request_outcome = dict.fromkeys(RequestOutcome, 0)
        self.ended_request_count = 0
        self.requests_rejected_within_quota = 0
        self.forwarded_units = 0.0
        self.forwarded_units_beyond_quota = 0.0
        # Units beyond quotas, by the time bin in which they were forwarded.
        self.units_beyond_quota_by_bin = [0.0] * (math.ceil(experiment.duration / BIN_WIDTH_MS) + 1)
        # Number of occurrences of each latency, in us.
        self.counts_by_latency: dict[int, int] = {}
        self.counts_by_attempt_outcome = dict.fromkeys(Outcome, 0)
        self._warm_up_ms = experiment.warm_up
        self._duration_ms = experiment.duration
        self._window_ms = experiment.recovery_window

    def record_request_sent(self, now: float) -> None:
        """Record that a client sends a request now."""
        self.request_count += now >= self._warm_up_ms

    def record_request_opened(self) -> None:
        """Record that a limiter receives a request."""
        self.open_request_count += 1

    def record_request_closed(self) -> None:
        """Record that a request that a limiter received has a final outcome."""
        self.open_request_count -= 1

    def record_request_ended_by_driver(self) -> None:
        """Record that a driver ends a request at its deadline because the policy engine did not end it."""
        self.requests_ended_by_driver += 1

    def record_gossip_message(self) -> None:
        """Record that a limiter sends a gossip message to all others."""
        self.gossip_message_count += 1

    def record_attempt_sent(self) -> None:
        """Record that a limiter sends an attempt to a server."""
        self.attempt_count += 1

    def record_request_outcome(
        self, arrived_at: float, now: float, outcome: RequestOutcome, is_retry: bool
    ) -> None:
        """Record that a request that arrived at `arrived_at` ends with an outcome now."""
        self.ended_request_count += 1
        if arrived_at < self._warm_up_ms:
            return
        self.retry_count += is_retry
        self.counts_by_request_outcome[outcome] += 1
        if outcome is RequestOutcome.SERVED:
            latency = round(1000 * (now - arrived_at))
            self.counts_by_latency[latency] = self.counts_by_latency.get(latency, 0) + 1

    def record_rejection_within_quota(self, arrived_at: float) -> None:
        """Record that a request is rejected without an attempt while half its customer's quota is unused."""
        self.requests_rejected_within_quota += arrived_at >= self._warm_up_ms

    def record_forwarded_units(self, now: float, units: float, is_within_quota: bool) -> None:
        """Record the units of a request that is forwarded for the first time."""
        if now < self._warm_up_ms:
            return
        self.forwarded_units += units
        if is_within_quota:
            return
        self.forwarded_units_beyond_quota += units
        if now < self._duration_ms:
            self.units_beyond_quota_by_bin[int(now / BIN_WIDTH_MS)] += units

    def record_attempt_outcome(self, outcome: Outcome) -> None:
        """Record how an attempt ended at its limiter."""
        self.counts_by_attempt_outcome[outcome] += 1

    def measure_recovery(self, fault_at: float) -> Recovery:
        """Measure how long after a fault the units beyond quotas are above their level before the fault.

        Units are summed in sliding windows. The level before the fault is the mean of the sums of all full
        windows within the time of three windows before it. A window has recovered if its sum is at most
        RECOVERED_RATIO times that level. The recovery time is 0 ms if all windows after the fault have
        recovered, and None if the last one has not.
        """
        window_bin_count = max(1, round(self._window_ms / BIN_WIDTH_MS))
        bin_count = int(self._duration_ms / BIN_WIDTH_MS)
        units_by_window_end = {
            end: sum(self.units_beyond_quota_by_bin[end - window_bin_count : end])
            for end in range(window_bin_count, bin_count + 1)
        }
        fault_bin = fault_at / BIN_WIDTH_MS
        first_window_end = math.ceil(self._warm_up_ms / BIN_WIDTH_MS) + window_bin_count
        before = [
            total
            for end, total in units_by_window_end.items()
            if first_window_end <= end <= fault_bin and end > fault_bin - 2 * window_bin_count - 1
        ]
        after = {end: total for end, total in units_by_window_end.items() if end > fault_bin}
        if not before or not after:
            return {"before": None, "worst": None, "recovery_ms": None}
        mean_units_before = sum(before) / len(before)
        return {
            "before": round_to_six_digits(mean_units_before),
            "worst": round_to_six_digits(max(after.values())),
            "recovery_ms": _compute_recovery_ms(after, RECOVERED_RATIO * mean_units_before, fault_at),
        }


def _compute_recovery_ms(
    units_by_window_end: dict[int, float], max_recovered_units: float, fault_at: float
) -> float | None:
    """Return the time from the fault to the end of the first window after the last one above the limit.

    The time is 0 if no window is above the limit, and None if the last of all windows is.
    """
    ends_above_limit = [end for end, total in units_by_window_end.items() if total > max_recovered_units]
    if not ends_above_limit:
        return 0.0
    if ends_above_limit[-1] == max(units_by_window_end):
        return None
    return max(0.0, (ends_above_limit[-1] + 1) * BIN_WIDTH_MS - fault_at)


def round_to_six_digits(value: float) -> float:
    """Round to six significant digits, so that results are the same on every machine."""
    return float(f"{value:.6g}")


def compute_ratio(part: float, total: float) -> float | None:
    """Return the rounded ratio of a part to the total, or None if the total is 0."""
    return round_to_six_digits(part / total) if total else None


def compute_quantiles(
    counts: dict[int, int], max_value: int, scale: float, levels: Sequence[float]
) -> list[float | None]:
    """Compute quantiles with an HDR histogram of three significant digits.

    Args:
        counts: Number of occurrences by value. If it is empty, all quantiles are None.
        max_value: Higher values are counted as this value.
        scale: Factor by which the quantiles are multiplied.
        levels: Levels of the quantiles, from 0 to 1.
    """
    if not counts:
        return [None] * len(levels)
    histogram = HdrHistogram(1, max_value, 3)
    for value, count in sorted(counts.items()):
        histogram.record_value(min(max_value, max(1, value)), count)
    return [
        round_to_six_digits(scale * float(histogram.get_value_at_percentile(100 * level))) for level in levels
    ]


def compute_mean_and_max_rate(counts: Sequence[float], seconds: float) -> dict[str, float]:
    """Compute the mean and the maximum, over limiters, of their counts per second."""
    rates = [count / seconds for count in counts]
    return {"mean": round_to_six_digits(sum(rates) / len(rates)), "max": round_to_six_digits(max(rates))}
