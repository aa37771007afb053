"""What a hollow experiment counts, and the figures made of it. They are determined by the seed."""

from __future__ import annotations

import math
from collections.abc import Sequence
from enum import Enum
from typing import TypedDict

from hdrh.histogram import HdrHistogram

from limiter.model.events import Outcome
from scale.hollow.plan import HollowExperiment

# Width of the bins in which units beyond quotas are counted over time.
BIN_WIDTH_MS = 1000.0
# A window counts as recovered if it has at most this multiple of the units of the windows before the fault.
RECOVERED_RATIO = 1.5


class RequestOutcome(Enum):
    """How a request ended for its client; the values are keys of the result lines."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"
    KILLED = "lost"  # its limiter was killed
    UNREACHABLE = "unreachable"  # its limiter was down


class Recovery(TypedDict):
    """Units beyond quotas around a fault; each figure is None if it cannot be known."""

    before: float | None  # mean of the windows before the fault
    worst: float | None  # the most of any window after it
    recovery_ms: float | None  # time from the fault until they are back for good


class Tally:
    """Counts of the whole fleet; requests that arrive during the warm-up count only in `ended_requests`."""

    def __init__(self, experiment: HollowExperiment) -> None:
        """Set all counts to 0; the experiment gives the warm-up, the duration and the window."""
        self.request_count = 0
        self.retry_count = 0  # requests that are retries
        self.attempt_count = 0
        self.gossip_message_count = 0
        self.open_request_count = 0
        self.requests_ended_by_driver = 0
        self.counts_by_request_outcome = dict.fromkeys(RequestOutcome, 0)
        self.ended_request_count = 0
        self.requests_rejected_within_quota = 0
        self.forwarded_units = 0.0  # units forwarded
        self.forwarded_units_beyond_quota = 0.0  # units forwarded although their quota was used up
        # Units beyond quotas, by the bin of time in which they were forwarded.
        self.units_beyond_quota_by_bin = [0.0] * (math.ceil(experiment.duration / BIN_WIDTH_MS) + 1)
        # How often each latency occurred, by latency in us.
        self.counts_by_latency: dict[int, int] = {}
        self.counts_by_attempt_outcome = dict.fromkeys(Outcome, 0)
        self._warm_up_ms = experiment.warm_up
        self._duration_ms = experiment.duration
        self._window_ms = experiment.recovery_window

    def record_request_sent(self, now: float) -> None:
        """A client sends a request now."""
        self.request_count += now >= self._warm_up_ms

    def record_request_opened(self) -> None:
        """A limiter takes a request."""
        self.open_request_count += 1

    def record_request_closed(self) -> None:
        """A request that a limiter took has its final outcome."""
        self.open_request_count -= 1

    def record_request_ended_by_driver(self) -> None:
        """A limiter's driver ends a request at its deadline, before the policy engine did."""
        self.requests_ended_by_driver += 1

    def record_gossip_message(self) -> None:
        """A limiter sends a message to all others."""
        self.gossip_message_count += 1

    def record_attempt_sent(self) -> None:
        """A limiter sends an attempt to a server."""
        self.attempt_count += 1

    def record_request_outcome(
        self, arrived_at: float, now: float, outcome: RequestOutcome, is_retry: bool
    ) -> None:
        """A request that arrived at `arrived` ends with that outcome now."""
        self.ended_request_count += 1
        if arrived_at < self._warm_up_ms:
            return
        self.retry_count += is_retry
        self.counts_by_request_outcome[outcome] += 1
        if outcome is RequestOutcome.SERVED:
            latency = round(1000 * (now - arrived_at))
            self.counts_by_latency[latency] = self.counts_by_latency.get(latency, 0) + 1

    def record_rejection_within_quota(self, arrived_at: float) -> None:
        """A request is rejected, never forwarded, while half its customer's quota is free."""
        self.requests_rejected_within_quota += arrived_at >= self._warm_up_ms

    def record_forwarded_units(self, now: float, units: float, is_within_quota: bool) -> None:
        """A request is forwarded for the first time."""
        if now < self._warm_up_ms:
            return
        self.forwarded_units += units
        if is_within_quota:
            return
        self.forwarded_units_beyond_quota += units
        if now < self._duration_ms:
            self.units_beyond_quota_by_bin[int(now / BIN_WIDTH_MS)] += units

    def record_attempt_outcome(self, outcome: Outcome) -> None:
        """A limiter learns how an attempt ended."""
        self.counts_by_attempt_outcome[outcome] += 1

    def measure_recovery(self, fault_at: float) -> Recovery:
        """Measure how long after a fault units beyond quotas are back at their level for good.

        Units are summed in sliding windows. The level before the fault is the mean of the sums of all full
        windows within the three windows' time before it. Units are back if a window has at most
        RECOVERED_RATIO times that level. The recovery takes 0 ms if no window had more, and is None if the
        last one still has more.
        """
        window_bin_count = max(1, round(self._window_ms / BIN_WIDTH_MS))  # bins in a window
        bin_count = int(self._duration_ms / BIN_WIDTH_MS)
        units_by_window_end = {
            end: sum(self.units_beyond_quota_by_bin[end - window_bin_count : end])
            for end in range(window_bin_count, bin_count + 1)
        }
        fault_bin = fault_at / BIN_WIDTH_MS
        first_end = math.ceil(self._warm_up_ms / BIN_WIDTH_MS) + window_bin_count
        before = [
            total
            for end, total in units_by_window_end.items()
            if first_end <= end <= fault_bin and end > fault_bin - 2 * window_bin_count - 1
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
    """Time from the fault to the end of the last window above the limit; None if that is the last of all."""
    ends_above_limit = [end for end, total in units_by_window_end.items() if total > max_recovered_units]
    if not ends_above_limit:
        return 0.0
    if ends_above_limit[-1] == max(units_by_window_end):
        return None
    return max(0.0, (ends_above_limit[-1] + 1) * BIN_WIDTH_MS - fault_at)


def round_to_six_digits(value: float) -> float:
    """Round to six significant digits, so that a figure is the same on every machine."""
    return float(f"{value:.6g}")


def compute_ratio(part: float, total: float) -> float | None:
    """Return the rounded share of a part in the total; None if the total is 0."""
    return round_to_six_digits(part / total) if total else None


def compute_quantiles(
    counts: dict[int, int], max_value: int, scale: float, levels: Sequence[float]
) -> list[float | None]:
    """Compute quantiles by an HDR histogram of three significant digits.

    Args:
        counts: how often each value occurred; if it is empty, all quantiles are None.
        max_value: a higher value counts as this one.
        scale: factor that the quantiles are multiplied by.
        levels: of the quantiles, from 0 to 1.
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
    """Mean and maximum, over limiters, of what each counted in a second."""
    rates = [count / seconds for count in counts]
    return {"mean": round_to_six_digits(sum(rates) / len(rates)), "max": round_to_six_digits(max(rates))}
