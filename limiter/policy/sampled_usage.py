"""A customer's use rebuilt from samples: the counter's totals, or what servers meter.

The bucket fills at the plan's rate up to its burst, less what this limiter forwards and what the other
limiters are estimated to forward. Types: limiter/model. Times are milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass

from limiter.model.settings import QuotaPlan
from limiter.policy import throttle
from limiter.policy.quota_usage import QuotaUsage
from limiter.policy.smoothing import clamp, newest_sample_weight

# Stands for the time of the last sample until there is one: before every time of the clock, so that the first
# sample of a customer that servers meter is not too early.
NO_SAMPLE_TIME = -1.0
# Time in which an older estimate of the other limiters' rate loses two thirds of its weight.
REMOTE_RATE_TIME_CONSTANT_MS = 1000.0
# A sample is taken to cover at least this share of the sample interval: two replies may come close together.
MIN_SAMPLE_INTERVAL_FRACTION = 1 / 4
# Most updates of the probability that one total of an epoch stands for: the power of them stays finite.
MAX_UPDATES_PER_TOTAL = 20.0
# Least utilization that such an update reckons with, for the same reason.
MIN_UTILIZATION_PER_TOTAL = 0.1


def even_split_remote_rate(plan: QuotaPlan, limiter_set_size: float) -> float:
    """Return the units a millisecond that the other limiters use if the quota is split evenly."""
    return plan.rate / 1000 * (limiter_set_size - 1) / limiter_set_size


@dataclass(slots=True, kw_only=True, eq=False)
class SampledUsage(QuotaUsage):
    """The token bucket of one customer, and what samples say of its use through the other limiters.

    Attributes:
        probability_updated_at: Time of the last update of the probability.
        remote_rate: Units a millisecond that the other limiters forward, by the last samples.
        expected_remote_units: Units of the other limiters since the last sample that were already taken from
            the bucket, by `remote_rate`.
        local_units: Units forwarded from here since the last sample.
        sampled_at: Time of the last sample; BEFORE_FIRST_SAMPLE until there is one.
    """

    probability_updated_at: float
    remote_rate: float
    expected_remote_units: float = 0.0
    local_units: float = 0.0
    sampled_at: float = NO_SAMPLE_TIME

    @property
    def has_sample(self) -> bool:
        """Whether there was a sample of this customer's use."""
        return self.sampled_at >= 0

    @property
    def unsampled_since(self) -> float:
        """Time of the last sample; of a customer that was never sampled, that of its first request."""
        return self.sampled_at if self.has_sample else self.probability_updated_at

    def advance(self, elapsed: float, plan: QuotaPlan) -> None:
        """Fill the bucket for the time since it was last filled, less the estimated use of the others."""
        remote_rate = self.remote_rate
        # What `refill` does, written out, since this runs for each request and each end of an attempt.
        refilled_tokens = self.tokens + (plan.rate / 1000 - remote_rate) * elapsed
        self.tokens = min(plan.burst, max(0.0, refilled_tokens))
        self.expected_remote_units += remote_rate * elapsed
        self.refilled_at += elapsed

    def advance_by_even_split(self, elapsed: float, plan: QuotaPlan, limiter_set_size: float) -> None:
        """Fill this limiter's even part of the bucket: it stands for samples that are missing."""
        remote_rate = even_split_remote_rate(plan, limiter_set_size)
        self.refill(plan.rate / 1000 - remote_rate, elapsed, plan.burst / limiter_set_size)
        self.expected_remote_units += remote_rate * elapsed
        self.refilled_at += elapsed

    def record_forwarded_units(self, units: float, *, within_quota: bool) -> None:
        """Account for a request that is forwarded from here; beyond the quota it takes no tokens."""
        if within_quota:
            self.consume(units)
        self.local_units += units

    def record_billing_difference(self, extra_units: float, plan: QuotaPlan) -> None:
        """Take what a forwarded request was billed beyond its estimate; less than it, where negative."""
        self.tokens = min(plan.burst, self.tokens - extra_units)
        self.local_units += extra_units

    def set_tokens(self, tokens: float) -> None:
        """Go by the bucket that gossip rebuilds."""
        self.tokens = tokens

    def set_probability(self, probability: float) -> None:
        """Go by the admission probability that gossip rebuilds."""
        self.probability = probability

    def empty_bucket(self) -> None:
        """Leave no tokens: the next requests are decided by the admission probability."""
        self.tokens = 0.0

    def record_sample(self, now: float, plan: QuotaPlan, remote_units: float) -> None:
        """Correct the bucket by a sample, then update the utilization and the admission probability.

        Args:
            now: Time of the sample.
            plan: The customer's plan.
            remote_units: Units that the other limiters forwarded since the last sample.
        """
        rate = plan.rate / 1000
        elapsed = max(now - self.sampled_at, throttle.SAMPLE_INTERVAL_MS * MIN_SAMPLE_INTERVAL_FRACTION)
        corrected_tokens = self.tokens + self.expected_remote_units - remote_units
        self.tokens = clamp(corrected_tokens, 0.0, plan.burst)
        weight = newest_sample_weight(elapsed, REMOTE_RATE_TIME_CONSTANT_MS)
        self.remote_rate += weight * (remote_units / elapsed - self.remote_rate)
        used_units = self.local_units + remote_units
        self._start_sample_period(now)
        utilization_sample = used_units / max(elapsed, throttle.SAMPLE_INTERVAL_MS) / max(rate, 1e-9)
        self.update_utilization(utilization_sample, self._sample_weight(utilization_sample, elapsed, plan))
        if now - self.probability_updated_at >= throttle.UPDATE_INTERVAL_MS:
            self.update_probability(throttle.TARGET_UTILIZATION)
            self.probability_updated_at = now

    def _sample_weight(self, utilization_sample: float, elapsed: float, plan: QuotaPlan) -> float:
        """Return the weight of a sample: a rise counts at once, a fall over the burst time.

        Samples of customers with few units jump to zero and back.
        """
        if utilization_sample > self.utilization:
            return throttle.UTILIZATION_EWMA_WEIGHT
        refilled_fraction = newest_sample_weight(elapsed * (plan.rate / 1000), max(plan.burst, 1e-9))
        return min(refilled_fraction, throttle.UTILIZATION_EWMA_WEIGHT)

    def _start_sample_period(self, now: float) -> None:
        """Count local and expected use anew: the use up to now is known."""
        self.sampled_at = now
        self.local_units = 0.0
        self.expected_remote_units = 0.0

    def start_even_split_sample(self) -> None:
        """Measure the first sample, which the even split stands for, from the first request on."""
        self.sampled_at = self.unsampled_since

    def record_first_total(self, now: float, plan: QuotaPlan, remote_units: float, elapsed: float) -> None:
        """Judge by the first total of an epoch: distinguish a steady use from a bucket that was drained.

        Args:
            now: Time of the total.
            plan: The customer's plan.
            remote_units: Units that the other limiters forwarded in the epoch.
            elapsed: Milliseconds since the epoch began, 1 at least.
        """
        tokens_after_steady_usage = plan.burst * (1 - 1000 * remote_units / max(plan.rate * elapsed, 1e-9))
        tokens_after_initial_burst = plan.burst - remote_units
        tokens_after_remote_usage = max(tokens_after_steady_usage, tokens_after_initial_burst)
        self.tokens = max(0.0, min(plan.burst - self.local_units, tokens_after_remote_usage))
        self.remote_rate = min(remote_units / elapsed, plan.rate / 1000)
        self._start_sample_period(now)

    def record_slot_total(
        self, plan: QuotaPlan, used_units: float, elapsed: float, slot_unit_limit: float
    ) -> None:
        """Go by what the total of a slot leaves of its units.

        Args:
            plan: The customer's plan.
            used_units: Units that all limiters reported in the slot, those held here for the reply left out.
            elapsed: Milliseconds since the slot began.
            slot_unit_limit: Units that may be used in the slot.
        """
        self._set_capped_remote_rate(plan, used_units, elapsed)
        self.tokens = slot_unit_limit - used_units

    def record_epoch_total(
        self, now: float, plan: QuotaPlan, used_units: float, elapsed: float, tokens_at_start: float
    ) -> None:
        """Judge a widely shared customer by one total alone.

        Args:
            now: Time of the total.
            plan: The customer's plan.
            used_units: Units that all limiters reported in the epoch, those held here for the reply left out.
            elapsed: Milliseconds since the epoch began.
            tokens_at_start: Units that the bucket is taken to have held when the epoch began.
        """
        rate = plan.rate / 1000
        self._set_capped_remote_rate(plan, used_units, elapsed)
        self.tokens = min(plan.burst, max(0.0, tokens_at_start + rate * elapsed - used_units))
        self.sampled_at = now
        self.probability_updated_at = now
        self.local_units = 0.0
        self.utilization = used_units / max(elapsed, throttle.UPDATE_INTERVAL_MS) / rate
        self._update_probability_over_interval(elapsed)

    def _set_capped_remote_rate(self, plan: QuotaPlan, used_units: float, elapsed: float) -> None:
        used_rate = used_units / max(elapsed, throttle.SAMPLE_INTERVAL_MS)
        self.remote_rate = min(plan.rate / 1000, used_rate)

    def _update_probability_over_interval(self, elapsed: float) -> None:
        """Make the updates of all intervals that one total covers, of which it is the only sample."""
        update_count = min(elapsed / throttle.UPDATE_INTERVAL_MS, MAX_UPDATES_PER_TOTAL)
        utilization = max(self.utilization, MIN_UTILIZATION_PER_TOTAL)
        factor = (throttle.TARGET_UTILIZATION / utilization) ** update_count
        self.probability = throttle.clamp_probability(self.probability * factor)

    def time_until_available(self, units: float, plan: QuotaPlan, limiter_set_size: float) -> float:
        """Return the milliseconds until the bucket holds so many units, if the others go on as of late."""
        rate = plan.rate / 1000
        if rate <= 0:
            return 0.0
        net_rate = max(rate - self.remote_rate, rate / limiter_set_size)
        return max(0.0, units - self.tokens) / net_rate
