"""A customer's usage as estimated from samples: the counter's totals or the usage that servers meter.

The bucket refills at the plan's rate up to its burst. The units that this limiter forwards, and an estimate
of those that the other limiters forward, are deducted. Types are defined in limiter/model. Times are in
milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass

from limiter.model.settings import QuotaPlan
from limiter.policy import throttle
from limiter.policy.quota_usage import QuotaUsage
from limiter.policy.smoothing import clamp, newest_sample_weight

# Time of the last sample of a customer that has none. It is before any time of the clock, so that the first
# sample of a customer that servers meter is not ignored as too early.
NO_SAMPLE_TIME_MS = -1.0
# Time in which an earlier estimate of the other limiters' rate loses two thirds of its weight.
REMOTE_RATE_TIME_CONSTANT_MS = 1000.0
# Minimum time that a sample is assumed to cover, as a fraction of the sample interval, because two replies
# may arrive in quick succession.
MIN_SAMPLE_INTERVAL_FRACTION = 1 / 4
# Maximum number of probability updates that one epoch total replaces. It bounds the exponent of a power,
# which has to stay finite.
MAX_UPDATES_PER_TOTAL = 20.0
# Minimum utilization in the base of that power, for the same reason.
MIN_UTILIZATION_PER_TOTAL = 0.1


def even_split_remote_rate(plan: QuotaPlan, limiter_set_size: float) -> float:
    """Return the other limiters' rate in units per millisecond if the quota is split evenly."""
    return plan.rate / 1000 * (limiter_set_size - 1) / limiter_set_size


@dataclass(slots=True, kw_only=True, eq=False)
class SampledUsage(QuotaUsage):
    """The token bucket of one customer, and its usage through the other limiters as estimated from samples.

    Attributes:
        probability_updated_at: Time of the last update of the probability.
        remote_rate: Estimated rate at which the other limiters forward, in units per millisecond.
        expected_remote_units: Units already deducted from the bucket for the other limiters since the last
            sample, at `remote_rate` or, while samples are missing, at the rate of the even split.
        local_units: Units that this limiter has forwarded since the last sample.
        sampled_at: Time of the last sample; NO_SAMPLE_TIME_MS before the first one.
    """

    probability_updated_at: float
    remote_rate: float
    expected_remote_units: float = 0.0
    local_units: float = 0.0
    sampled_at: float = NO_SAMPLE_TIME_MS

    @property
    def has_sample(self) -> bool:
        """Whether this customer's usage has been sampled."""
        return self.sampled_at >= 0

    @property
    def unsampled_since(self) -> float:
        """Time of the last sample, or of the first request if the customer has never been sampled."""
        return self.sampled_at if self.has_sample else self.probability_updated_at

    def advance(self, elapsed: float, plan: QuotaPlan) -> None:
        """Refill the bucket for the elapsed time, minus the estimated usage of the other limiters."""
        remote_rate = self.remote_rate
        # `refill` is inlined because this runs for each request and each end of an attempt.
        refilled_tokens = self.tokens + (plan.rate / 1000 - remote_rate) * elapsed
        self.tokens = min(plan.burst, max(0.0, refilled_tokens))
        self.expected_remote_units += remote_rate * elapsed
        self.refilled_at += elapsed

    def advance_by_even_split(self, elapsed: float, plan: QuotaPlan, limiter_set_size: float) -> None:
        """Refill this limiter's even share of the bucket, which applies while samples are missing."""
        remote_rate = even_split_remote_rate(plan, limiter_set_size)
        self.refill(plan.rate / 1000 - remote_rate, elapsed, plan.burst / limiter_set_size)
        self.expected_remote_units += remote_rate * elapsed
        self.refilled_at += elapsed

    def record_forwarded_units(self, units: float, *, within_quota: bool) -> None:
        """Record a request that this limiter forwards; it consumes tokens only if it is within the quota."""
        if within_quota:
            self.consume(units)
        self.local_units += units

    def record_billing_difference(self, extra_units: float, plan: QuotaPlan) -> None:
        """Deduct the units billed beyond a request's estimate; a negative number returns tokens."""
        self.tokens = min(plan.burst, self.tokens - extra_units)
        self.local_units += extra_units

    def set_tokens(self, tokens: float) -> None:
        """Set the bucket to the tokens estimated from gossip."""
        self.tokens = tokens

    def set_probability(self, probability: float) -> None:
        """Set the admission probability to the one estimated from gossip."""
        self.probability = probability

    def empty_bucket(self) -> None:
        """Empty the bucket, so that the admission probability decides on the next requests."""
        self.tokens = 0.0

    def record_sample(self, now: float, plan: QuotaPlan, remote_units: float) -> None:
        """Correct the bucket with a sample, then update the utilization and the admission probability.

        Args:
            now: Time of the sample.
            plan: The customer's plan.
            remote_units: Units that the other limiters have forwarded since the last sample.
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
        """Return the weight of a sample in the utilization.

        A rise of the utilization has the full weight. A fall applies gradually, over the time in which the
        burst refills, because the samples of a customer with few units alternate between zero and high
        values.
        """
        if utilization_sample > self.utilization:
            return throttle.UTILIZATION_EWMA_WEIGHT
        refilled_fraction = newest_sample_weight(elapsed * (plan.rate / 1000), max(plan.burst, 1e-9))
        return min(refilled_fraction, throttle.UTILIZATION_EWMA_WEIGHT)

    def _start_sample_period(self, now: float) -> None:
        """Reset the local and expected units, since the usage up to now has been sampled."""
        self.sampled_at = now
        self.local_units = 0.0
        self.expected_remote_units = 0.0

    def start_even_split_sample(self) -> None:
        """Set the start of a sample that the even split replaces.

        The start is the time of the last sample or, if there is none, of the customer's first request.
        """
        self.sampled_at = self.unsampled_since

    def record_first_total(self, now: float, plan: QuotaPlan, remote_units: float, elapsed: float) -> None:
        """Set the bucket from a customer's first total, assuming either steady usage or a single burst.

        The estimate that leaves more tokens applies.

        Args:
            now: Time of the total.
            plan: The customer's plan.
            remote_units: Units that the other limiters have forwarded in the epoch.
            elapsed: Milliseconds since the epoch started; at least 1.
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
        """Set the tokens to the units that remain in a slot according to its total.

        Args:
            plan: The customer's plan.
            used_units: Units that all limiters have reported in the slot, except those of requests that this
                limiter holds for the reply.
            elapsed: Milliseconds since the slot started.
            slot_unit_limit: Maximum number of units in the slot.
        """
        self._set_capped_remote_rate(plan, used_units, elapsed)
        self.tokens = slot_unit_limit - used_units

    def record_epoch_total(
        self, now: float, plan: QuotaPlan, used_units: float, elapsed: float, tokens_at_start: float
    ) -> None:
        """Set the tokens, utilization and probability of a widely shared customer from a single total.

        Args:
            now: Time of the total.
            plan: The customer's plan.
            used_units: Units that all limiters have reported in the epoch, except those of requests that this
                limiter holds for the reply.
            elapsed: Milliseconds since the epoch started.
            tokens_at_start: Units that the bucket is assumed to have held when the epoch started.
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
        """Apply the probability updates of all update intervals that one total covers as its only sample."""
        update_count = min(elapsed / throttle.UPDATE_INTERVAL_MS, MAX_UPDATES_PER_TOTAL)
        utilization = max(self.utilization, MIN_UTILIZATION_PER_TOTAL)
        factor = (throttle.TARGET_UTILIZATION / utilization) ** update_count
        self.probability = throttle.clamp_probability(self.probability * factor)

    def time_until_available(self, units: float, plan: QuotaPlan, limiter_set_size: float) -> float:
        """Return the milliseconds until the bucket holds `units` if the other limiters' rate is constant."""
        rate = plan.rate / 1000
        if rate <= 0:
            return 0.0
        net_rate = max(rate - self.remote_rate, rate / limiter_set_size)
        return max(0.0, units - self.tokens) / net_rate
