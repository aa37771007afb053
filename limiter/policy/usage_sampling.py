"""Sampling of use with the shared counter: when it is called, under which name, and what a reply means.

A call adds this limiter's own use to the name of the customer's epoch and reads the total of all limiters.
Types: limiter/model. Times are milliseconds.
"""

from dataclasses import dataclass

from limiter.model.actions import IncrementCounter
from limiter.model.events import CounterReply, Outcome
from limiter.model.records import CustomerRecord, counter_key
from limiter.policy import throttle
from limiter.policy.context import PolicyContext
from limiter.policy.token_bucket import TokenBuckets
from limiter.policy.usage_gossip import UsageGossip

EPOCH_MS = 30000.0  # of a counter name, which lives two epochs: the longest life that the counter grants
THIN_EPOCH_BURSTS = 1.5  # burst times in an epoch of customers that are spread thin: what its quiet start
# leaves over is admitted on top of the burst, so that a long one admits floods
FULL_LOAD_SHARE = 0.6  # of the counter's time-out beyond its best latency that counts as its full load
MIN_CALL_PROBABILITY = 0.05
MAX_CALL_STEP = 2.0  # most that the call probability moves with one reply
COUNT_TOLERANCE = 1e-3  # units by which totals may be off: they are exact to seven digits only


@dataclass
class UsageSampler:
    """Calls to the counter, thinned out while it is overloaded."""

    context: PolicyContext
    buckets: TokenBuckets
    gossip: UsageGossip
    call_probability: float = 1.0  # of a call that is wanted
    best_latency: float = 0.0  # of a reply, forgotten slowly

    def call(self, now: float, key: int, customer: CustomerRecord) -> bool:
        """Add the use that is unreported, or only read the total; whether a call was made."""
        # A customer that was never sampled counts from its first request on.
        sampled_at = customer.sampled_at if customer.sampled_at >= 0 else customer.updated_at
        if self.buckets.lacks_samples(customer, now) and now - sampled_at >= throttle.SAMPLE_INTERVAL_MS:
            customer.sampled_at = sampled_at
            self.buckets.record_sample(now, customer, customer.expected_remote_units)
        if customer.sample_wanted_since < 0:
            customer.sample_wanted_since = now
        is_thin = self.buckets.is_spread_thin(customer)
        is_early = now < customer.next_call_at and not is_thin
        if not self.buckets.uses_counter or customer.units_in_call is not None or is_early:
            return False
        random = self.context.random
        customer.next_call_at = now + throttle.SAMPLE_INTERVAL_MS * random.uniform(0.8, 1.2)
        if random.random() >= self.call_probability:
            return False
        customer.uses_slots = is_thin and self.gossip.is_fresh(now)
        self._enter_epoch(now, key, customer)
        amount = customer.start_call(now)
        self.context.actions.append(IncrementCounter(customer.counter_key, amount, 2 * customer.epoch_length))
        return True

    def _enter_epoch(self, now: float, key: int, customer: CustomerRecord) -> None:
        length = self._epoch_length(customer)
        epoch = int(now // length)
        if (epoch, length) != (customer.epoch, customer.epoch_length):
            customer.start_epoch(epoch, length)
            name = counter_key(key, epoch, length if customer.uses_slots else 0.0)
            self.buckets.table.change_counter_key(customer, name)

    def _epoch_length(self, customer: CustomerRecord) -> float:
        """Time that one counter name spans; all limiters with the same settings derive the same."""
        if not self.buckets.is_spread_thin(customer):
            return EPOCH_MS
        plan = customer.plan
        if customer.uses_slots:
            return min(EPOCH_MS, 1000 * customer.slot_units() / plan.rate)
        return min(EPOCH_MS, THIN_EPOCH_BURSTS * 1000 * plan.burst / plan.rate)

    def handle_reply(self, now: float, reply: CounterReply) -> CustomerRecord | None:
        """Take in a reply; the customer that it is for, if its call is still in flight."""
        customer = self.buckets.table.by_counter_key.get(reply.key)
        if customer is None or customer.units_in_call is None:
            return None
        added = customer.take_units_in_call()
        self.buckets.advance(customer, now)
        self._adjust_call_probability(reply)
        if reply.outcome is not Outcome.OK:
            # A missing sample, whatever the cause: the even split or the probability stands for it.
            customer.mark_call_failed(added, is_uncertain=reply.outcome is Outcome.TIMEOUT)
            return customer
        if self.buckets.is_spread_thin(customer):
            self._record_thin_total(now, customer, reply.total - customer.reserved_units)
        else:
            self._record_growth(now, customer, reply.total, added)
        customer.mark_counted(now, reply.total)
        return customer

    def _adjust_call_probability(self, reply: CounterReply) -> None:
        """Follow the counter's load as the throttle follows a quota's: times target / load, clamped."""
        latency = timeout = self.context.settings.counter_timeout
        if reply.outcome is Outcome.OK:
            latency = reply.latency
            self.best_latency = min(latency, self.best_latency * 1.01 or latency)
        full_load = FULL_LOAD_SHARE * (timeout - self.best_latency)
        load = (latency - self.best_latency) / max(full_load, 1e-6)
        step = min(MAX_CALL_STEP, max(1 / MAX_CALL_STEP, throttle.TARGET_UTILIZATION / max(load, 1e-6)))
        self.call_probability = throttle.clamped(self.call_probability * step, MIN_CALL_PROBABILITY)

    @staticmethod
    def _record_thin_total(now: float, customer: CustomerRecord, used: float) -> None:
        """Judge a customer by one total alone: the bucket began the epoch as recent decisions left it."""
        plan, rate = customer.plan, customer.plan.rate / 1000
        elapsed = now - customer.epoch_start
        customer.remote_rate = min(rate, used / max(elapsed, throttle.SAMPLE_INTERVAL_MS))
        if customer.uses_slots:
            customer.tokens = customer.slot_units() - used
            return
        at_start = plan.burst * customer.admit_share**4
        customer.tokens = min(plan.burst, max(0.0, at_start + rate * elapsed - used))
        customer.sampled_at = customer.updated_at = now
        customer.local_units = 0.0
        customer.utilization = used / max(elapsed, throttle.UPDATE_INTERVAL_MS) / rate
        # The update of every interval that the total covers, of which this is the only sample.
        intervals = min(elapsed / throttle.UPDATE_INTERVAL_MS, 20.0)
        factor = (throttle.TARGET_UTILIZATION / max(customer.utilization, 0.1)) ** intervals
        customer.probability = throttle.clamped(customer.probability * factor)

    def _record_growth(self, now: float, customer: CustomerRecord, total: float, added: float) -> None:
        """The others' use is what the total grew by, less what this limiter added."""
        growth = total - customer.counter_total
        known = added + customer.unconfirmed_units
        if growth + COUNT_TOLERANCE < added:  # counts were lost: the greater of what is known
            remote_units = max(total - added, customer.expected_remote_units)
        elif self.buckets.lacks_samples(customer, now):  # the greater of the split and the use seen at last
            last_total_at = max(customer.counter_total_at, customer.epoch_start)
            pace = max(0.0, growth - known) / max(now - last_total_at, throttle.SAMPLE_INTERVAL_MS)
            since_sample = max(now - customer.sampled_at, throttle.SAMPLE_INTERVAL_MS)
            remote_units = max(customer.expected_remote_units, pace * since_sample)
        else:
            remote_units = max(0.0, growth - (known if growth + COUNT_TOLERANCE >= known else added))
        if added <= growth + COUNT_TOLERANCE < known:  # the unanswered call was not added
            customer.unreported_units += customer.unconfirmed_units
        if customer.sampled_at < 0:
            self._record_first_total(now, customer, remote_units)
        else:
            self.buckets.record_sample(now, customer, remote_units)

    @staticmethod
    def _record_first_total(now: float, customer: CustomerRecord, remote_units: float) -> None:
        """A whole epoch's use at once: distinguish a steady use from a drained bucket."""
        plan = customer.plan
        elapsed = max(now - customer.epoch_start, 1.0)
        steady = plan.burst * (1 - 1000 * remote_units / max(plan.rate * elapsed, 1e-9))
        most = max(steady, plan.burst - remote_units)
        customer.tokens = max(0.0, min(plan.burst - customer.local_units, most))
        customer.remote_rate = min(remote_units / elapsed, plan.rate / 1000)
        customer.mark_sampled(now)
