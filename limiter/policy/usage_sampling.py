"""Samples usage with the shared counter: decides when to call it and under which key, and handles replies.

A call adds this limiter's own usage to the key of the customer's epoch and reads the total of all limiters.
Types are defined in limiter/model. Times are in milliseconds.
"""

from __future__ import annotations

import math

from limiter.model.actions import IncrementCounter
from limiter.model.events import CounterReply, Outcome
from limiter.model.settings import QuotaPlan
from limiter.policy import throttle
from limiter.policy.context import EngineContext
from limiter.policy.customer import Customer
from limiter.policy.customer_registry import CustomerRegistry
from limiter.policy.smoothing import clamp
from limiter.policy.usage_gossip import UsageGossip
from limiter.policy.usage_report import CounterEpoch, counter_key

# Maximum epoch length. A key lives for two epochs, and the counter allows a time to live of at most 60 s.
MAX_EPOCH_MS = 30000.0
# Epoch length of a widely shared customer, as a multiple of the time in which its burst refills. Units that
# are unused early in an epoch are admitted later on top of the burst, so a long epoch would admit much more
# than a burst at once.
WIDELY_SHARED_EPOCH_BURSTS = 1.5
# Fraction of a burst that may be used in one slot, so that the order of requests in the slot does not matter.
SLOT_BURST_FRACTION = 1 / 2
# Excess of a reply's latency over the minimum latency at which the counter counts as fully loaded, as a
# fraction of the time between the minimum latency and the timeout.
FULL_LOAD_LATENCY_FRACTION = 0.6
# Minimum probability of making a requested call, so that the recovery of an overloaded counter is detected.
MIN_CALL_PROBABILITY = 0.05
# Maximum factor by which one reply raises or lowers the call probability.
MAX_CALL_PROBABILITY_STEP = 2.0
# Factor by which the minimum latency grows with each reply, so that an old minimum expires slowly.
MIN_LATENCY_GROWTH_FACTOR = 1.01
# Maximum error of a total in units, because the counter is exact to seven digits only.
TOTAL_TOLERANCE_UNITS = 1e-3
# Maximum random change of the time until a customer's next call, as a fraction of the sample interval.
SAMPLE_INTERVAL_JITTER_FRACTION = 0.2
# The bucket of a widely shared customer is assumed to start an epoch filled to this power of the customer's
# admitted fraction.
INITIAL_FILL_EXPONENT = 4


def slot_unit_limit(plan: QuotaPlan) -> float:
    """Return the maximum number of units in one slot, which is at least 1."""
    return max(1.0, math.floor(plan.burst * SLOT_BURST_FRACTION))


class UsageSampler:
    """Calls the counter, with a lower probability while it is overloaded.

    Attributes:
        call_probability: Probability with which a requested call is made.
    """

    def __init__(self, context: EngineContext, customers: CustomerRegistry, gossip: UsageGossip) -> None:
        """Start with no call in flight.

        Args:
            context: State shared by the components of the engine.
            customers: The customers that are sampled.
            gossip: Whether it is fresh determines whether calls for widely shared customers count a slot or a
                whole epoch.
        """
        self._context = context
        self._customers = customers
        self._gossip = gossip
        self.call_probability = 1.0
        # Customers with a call in flight, by the counter key of the call.
        self._customer_by_call_key: dict[int, Customer] = {}
        # The newest epoch by epoch length, shared by all customers with epochs of that length.
        self._newest_epochs: dict[float, CounterEpoch] = {}
        # The minimum latency of a reply, which grows slowly with each reply; None before the first one.
        self._min_latency: float | None = None

    @property
    def calls_in_flight(self) -> int:
        """Number of calls that have not ended yet."""
        return len(self._customer_by_call_key)

    def call_counter(self, now: float, customer: Customer) -> bool:
        """Call the counter to report the customer's unreported units, if any, and to read the total.

        No call is made without a counter, while one is in flight, before the next call time (which does not
        apply to widely shared customers), or if the random draw by the call probability fails.

        Returns:
            Whether a call was made.
        """
        self._record_even_split_sample(now, customer)
        report = customer.report
        report.mark_sample_due(now)
        is_widely_shared = customer.is_widely_shared
        is_early = now < report.next_call_at and not is_widely_shared
        if not self._customers.uses_counter or report.is_call_in_flight or is_early:
            return False
        random = self._context.random
        jitter_factor = random.uniform(
            1 - SAMPLE_INTERVAL_JITTER_FRACTION, 1 + SAMPLE_INTERVAL_JITTER_FRACTION
        )
        report.delay_next_call(now + throttle.SAMPLE_INTERVAL_MS * jitter_factor)
        if random.random() >= self.call_probability:
            return False
        report.set_epoch_kind(is_slot=is_widely_shared and self._gossip.is_fresh(now))
        self._send_call(now, customer)
        return True

    def _record_even_split_sample(self, now: float, customer: Customer) -> None:
        """Record a sample that assumes the even split if samples are missing."""
        usage = customer.usage
        if not self._customers.lacks_samples(customer, now):
            return
        if now - usage.unsampled_since >= throttle.SAMPLE_INTERVAL_MS:
            usage.start_even_split_sample()
            usage.record_sample(now, customer.plan, usage.expected_remote_units)

    def _send_call(self, now: float, customer: Customer) -> None:
        epoch, key = self._select_epoch(now, customer)
        reported_units = customer.report.start_call(now)
        self._customer_by_call_key[key] = customer
        self._context.actions.append(IncrementCounter(key, reported_units, time_to_live=2 * epoch.length))

    def _select_epoch(self, now: float, customer: Customer) -> tuple[CounterEpoch, int]:
        """Return the epoch at `now` and the customer's counter key in it; start the epoch if it is new."""
        report = customer.report
        epoch = self._get_epoch_at(now, self._epoch_length(customer))
        if report.key is None or epoch != report.epoch:
            slot_length = epoch.length if report.is_slot_epoch else 0.0
            report.start_epoch(epoch, counter_key(customer.key, epoch.index, slot_length))
        assert report.key is not None
        return epoch, report.key

    def _get_epoch_at(self, now: float, length: float) -> CounterEpoch:
        index = int(now // length)
        newest = self._newest_epochs.get(length)
        if newest is None or newest.index != index:
            newest = CounterEpoch(index, length, start=index * length)
            self._newest_epochs[length] = newest
        return newest

    def _epoch_length(self, customer: Customer) -> float:
        """Return the length of the customer's epoch, which all limiters derive from the same settings."""
        if not customer.is_widely_shared:
            return MAX_EPOCH_MS
        plan = customer.plan
        if customer.report.is_slot_epoch:
            return min(MAX_EPOCH_MS, 1000 * slot_unit_limit(plan) / plan.rate)
        return min(MAX_EPOCH_MS, WIDELY_SHARED_EPOCH_BURSTS * 1000 * plan.burst / plan.rate)

    def handle_reply(self, now: float, reply: CounterReply) -> Customer | None:
        """Handle the end of a call.

        Returns:
            The customer for whom the call was made; None if no call with its key is in flight.
        """
        customer = self._customer_by_call_key.pop(reply.key, None)
        if customer is None:
            return None
        report = customer.report
        added_units = report.end_call()
        self._customers.advance(customer, now)
        self._adjust_call_probability(reply)
        if reply.outcome is not Outcome.OK:
            # Whatever the cause of the failure, the even split or the admission probability replaces the
            # missing sample.
            report.mark_call_failed(added_units, is_uncertain=reply.outcome is Outcome.TIMEOUT)
            return customer
        if customer.is_widely_shared:
            self._record_widely_shared_total(now, customer, reply.total_units - report.reserved_units)
        else:
            self._record_total_growth(now, customer, reply.total_units, added_units)
        report.record_total(now, reply.total_units)
        return customer

    def _adjust_call_probability(self, reply: CounterReply) -> None:
        """Multiply the call probability by target / load, clamped, as the throttle does for a quota."""
        timeout = self._context.settings.counter_timeout
        latency = timeout
        if reply.outcome is Outcome.OK:
            latency = reply.latency
            self._update_min_latency(latency)
        min_latency = self._min_latency or 0.0
        full_load_latency = FULL_LOAD_LATENCY_FRACTION * (timeout - min_latency)
        load = (latency - min_latency) / max(full_load_latency, 1e-6)
        step = clamp(
            throttle.TARGET_UTILIZATION / max(load, 1e-6),
            1 / MAX_CALL_PROBABILITY_STEP,
            MAX_CALL_PROBABILITY_STEP,
        )
        self.call_probability = throttle.clamp_probability(self.call_probability * step, MIN_CALL_PROBABILITY)

    def _update_min_latency(self, latency: float) -> None:
        if self._min_latency:
            self._min_latency = min(latency, self._min_latency * MIN_LATENCY_GROWTH_FACTOR)
        else:
            self._min_latency = latency

    @staticmethod
    def _record_widely_shared_total(now: float, customer: Customer, used_units: float) -> None:
        """Update a widely shared customer's usage from a single total."""
        plan = customer.plan
        report = customer.report
        assert report.epoch is not None
        elapsed = now - report.epoch.start
        if report.is_slot_epoch:
            customer.usage.record_slot_total(plan, used_units, elapsed, slot_unit_limit(plan))
            return
        # Recent decisions determine how full the bucket is assumed to have been at the start of the epoch.
        tokens_at_start = plan.burst * customer.admitted_fraction**INITIAL_FILL_EXPONENT
        customer.usage.record_epoch_total(now, plan, used_units, elapsed, tokens_at_start)

    def _record_total_growth(
        self, now: float, customer: Customer, reply_total_units: float, added_units: float
    ) -> None:
        """Record a sample of the other limiters' usage: the growth of the total minus this limiter's units.

        Args:
            now: Time of the reply.
            customer: The customer whose usage was counted.
            reply_total_units: The total in the reply.
            added_units: Units that the call added.
        """
        usage = customer.usage
        report = customer.report
        growth_units = reply_total_units - report.last_total_units
        reported_own_units = added_units + report.unconfirmed_units
        if growth_units + TOTAL_TOLERANCE_UNITS < added_units:
            # The counter has lost counts, so the greater of the two estimates of the other limiters' usage
            # applies.
            remote_units = max(reply_total_units - added_units, usage.expected_remote_units)
        elif self._customers.lacks_samples(customer, now):
            remote_units = self._estimate_overdue_remote_units(
                now, customer, growth_units - reported_own_units
            )
        else:
            own_units = (
                reported_own_units
                if growth_units + TOTAL_TOLERANCE_UNITS >= reported_own_units
                else added_units
            )
            remote_units = max(0.0, growth_units - own_units)
        if added_units <= growth_units + TOTAL_TOLERANCE_UNITS < reported_own_units:
            report.requeue_unconfirmed_units()
        if usage.has_sample:
            usage.record_sample(now, customer.plan, remote_units)
        else:
            assert report.epoch is not None
            elapsed = max(now - report.epoch.start, 1.0)
            usage.record_first_total(now, customer.plan, remote_units, elapsed)

    @staticmethod
    def _estimate_overdue_remote_units(now: float, customer: Customer, remote_growth_units: float) -> float:
        """Return the other limiters' estimated usage since an overdue sample.

        This is the greater of the usage by the even split, which is already deducted from the bucket, and the
        usage at the rate at which the total grew.

        Args:
            now: Time of the total.
            customer: The customer whose usage was counted.
            remote_growth_units: Units that the other limiters have added in the epoch since the last total.
        """
        usage = customer.usage
        report = customer.report
        assert report.epoch is not None
        growth_start = report.epoch.start
        if report.last_total_at is not None:
            growth_start = max(report.last_total_at, growth_start)
        remote_rate = max(0.0, remote_growth_units) / max(now - growth_start, throttle.SAMPLE_INTERVAL_MS)
        time_since_sample = max(now - usage.sampled_at, throttle.SAMPLE_INTERVAL_MS)
        return max(usage.expected_remote_units, remote_rate * time_since_sample)
