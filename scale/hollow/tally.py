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
BIN_MS = 1000.0
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
        self.requests = 0
        self.retries = 0  # requests that are retries
        self.attempts = 0
        self.gossip_messages = 0
        self.open_requests = 0
        self.ended_by_driver = 0
        self.request_outcomes = dict.fromkeys(RequestOutcome, 0)
        self.ended_requests = 0
        self.rejected_within_quota = 0
        self.units = 0.0  # units forwarded
        self.units_beyond_quota = 0.0  # units forwarded although their quota was used up
        # Units beyond quotas, by the bin of time in which they were forwarded.
        self.units_beyond_quota_by_bin = [0.0] * (math.ceil(experiment.duration / BIN_MS) + 1)
        # How often each latency occurred, by latency in us.
        self.latencies: dict[int, int] = {}
        self.attempt_outcomes = dict.fromkeys(Outcome, 0)
        self._warm_up = experiment.warm_up
        self._duration = experiment.duration
        self._window = experiment.window

    def request_arrived(self, now: float) -> None:
        """A client sends a request now."""
        self.requests += now >= self._warm_up

    def request_opened(self) -> None:
        """A limiter takes a request."""
        self.open_requests += 1

    def request_closed(self) -> None:
        """A request that a limiter took has its final outcome."""
        self.open_requests -= 1

    def driver_ended_request(self) -> None:
        """A limiter's driver ends a request at its deadline, before the policy engine did."""
        self.ended_by_driver += 1

    def gossip_sent(self) -> None:
        """A limiter sends a message to all others."""
        self.gossip_messages += 1

    def attempt_sent(self) -> None:
        """A limiter sends an attempt to a server."""
        self.attempts += 1

    def request_ended(self, arrived: float, now: float, outcome: RequestOutcome, is_retry: bool) -> None:
        """A request that arrived at `arrived` ends with that outcome now."""
        self.ended_requests += 1
        if arrived < self._warm_up:
            return
        self.retries += is_retry
        self.request_outcomes[outcome] += 1
        if outcome is RequestOutcome.SERVED:
            latency = round(1000 * (now - arrived))
            self.latencies[latency] = self.latencies.get(latency, 0) + 1

    def request_rejected_within_quota(self, arrived: float) -> None:
        """A request is rejected, never forwarded, while half its customer's quota is free."""
        self.rejected_within_quota += arrived >= self._warm_up

    def units_forwarded(self, now: float, units: float, is_within_quota: bool) -> None:
        """A request is forwarded for the first time."""
        if now < self._warm_up:
            return
        self.units += units
        if is_within_quota:
            return
        self.units_beyond_quota += units
        if now < self._duration:
            self.units_beyond_quota_by_bin[int(now / BIN_MS)] += units

    def attempt_ended(self, outcome: Outcome) -> None:
        """A limiter learns how an attempt ended."""
        self.attempt_outcomes[outcome] += 1

    def measure_recovery(self, fault_at: float) -> Recovery:
        """Measure how long after a fault units beyond quotas are back at their level for good.

        Units are summed in sliding windows. The level before the fault is the mean of the sums of all full
        windows within the three windows' time before it. Units are back if a window has at most
        RECOVERED_RATIO times that level. The recovery takes 0 ms if no window had more, and is None if the
        last one still has more.
        """
        width = max(1, round(self._window / BIN_MS))  # bins in a window
        bin_count = int(self._duration / BIN_MS)
        sums = {
            end: sum(self.units_beyond_quota_by_bin[end - width : end]) for end in range(width, bin_count + 1)
        }
        fault_bin = fault_at / BIN_MS
        first_end = math.ceil(self._warm_up / BIN_MS) + width
        before = [
            total
            for end, total in sums.items()
            if first_end <= end <= fault_bin and end > fault_bin - 2 * width - 1
        ]
        after = {end: total for end, total in sums.items() if end > fault_bin}
        if not before or not after:
            return {"before": None, "worst": None, "recovery_ms": None}
        level = sum(before) / len(before)
        return {
            "before": rounded(level),
            "worst": rounded(max(after.values())),
            "recovery_ms": _recovery_ms(after, RECOVERED_RATIO * level, fault_at),
        }


def _recovery_ms(sums: dict[int, float], limit: float, fault_at: float) -> float | None:
    """Time from the fault to the end of the last window above the limit; None if that is the last of all."""
    exceeding = [end for end, total in sums.items() if total > limit]
    if not exceeding:
        return 0.0
    if exceeding[-1] == max(sums):
        return None
    return max(0.0, (exceeding[-1] + 1) * BIN_MS - fault_at)


def rounded(value: float) -> float:
    """Round to six significant digits, so that a figure is the same on every machine."""
    return float(f"{value:.6g}")


def ratio(part: float, total: float) -> float | None:
    """Return the rounded share of a part in the total; None if the total is 0."""
    return rounded(part / total) if total else None


def quantiles(
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
    return [rounded(scale * float(histogram.get_value_at_percentile(100 * level))) for level in levels]


def mean_and_max_rate(counts: Sequence[float], seconds: float) -> dict[str, float]:
    """Mean and maximum, over limiters, of what each counted in a second."""
    rates = [count / seconds for count in counts]
    return {"mean": rounded(sum(rates) / len(rates)), "max": rounded(max(rates))}
