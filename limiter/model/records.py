"""Records that the policy keeps of customers and requests. They decide nothing.

All times and durations are milliseconds.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from limiter.model.events import ClientRequest, Endpoint, EndpointId
from limiter.model.settings import QuotaPlan, RequestClass

_MASK_64 = 2**64 - 1


def counter_key(customer: int, epoch: int, slot_length: float = 0.0) -> int:
    """The name under which all limiters count a customer's use in an epoch (a splitmix64 hash).

    Epochs that are slots have names of their own, by the length of a slot.
    """
    hashed = customer * 0x9E3779B97F4A7C15 + epoch * 0xD1B54A32D192ED03 + 1
    hashed = (hashed + round(slot_length) * 0x8CB92BA72F3D8DD7) & _MASK_64
    hashed = ((hashed ^ (hashed >> 30)) * 0xBF58476D1CE4E5B9) & _MASK_64
    hashed = ((hashed ^ (hashed >> 27)) * 0x94D049BB133111EB) & _MASK_64
    return hashed ^ (hashed >> 31)


@dataclass(slots=True)
class CustomerRecord:
    """A customer's quota as rebuilt here, and what is known of its use through the other limiters."""

    plan: QuotaPlan
    spread: float  # limiters that may get its requests
    tokens: float  # the token bucket as rebuilt here
    tokens_at: float  # time of that
    ceiling_tokens: float  # this limiter's part of the ceiling's bucket
    last_seen_at: float = 0.0
    remote_rate: float = 0.0  # units per ms that the other limiters forward, as last sampled
    expected_remote_units: float = 0.0  # of the others since the last sample, already taken from the bucket
    local_units: float = 0.0  # forwarded here since the last sample
    probability: float = 1.0  # admission probability
    admit_share: float = 0.0  # share of requests decided by samples that were admitted of late
    local_tokens: float = 0.0  # this limiter's part of the rate, saved up to one request
    reserved_units: float = 0.0  # reported ahead with the call in flight, for the request held for its reply
    held_requests: list[RequestRecord] = field(default_factory=list)  # they wait for the call in flight
    utilization: float = 0.0  # EWMA of use through all limiters over the quota
    updated_at: float = 0.0  # time of the last update of the probability
    sampled_at: float = -1.0  # time of the last sample; below 0: none yet
    epoch: int = -1
    uses_slots: bool = False  # the name that was called last is that of a slot
    epoch_length: float = 0.0
    epoch_start: float = 0.0
    counter_key: int = 0
    counter_total: float = 0.0  # last total of this epoch's name
    counter_total_at: float = -1.0
    unreported_units: float = 0.0  # own use not yet added to the counter
    unconfirmed_units: float = 0.0  # added by a call that was never answered
    units_in_call: float | None = None  # amount of the call in flight
    sample_wanted_since: float = -1.0  # below 0: none is wanted
    next_call_at: float = 0.0
    call_started_at: float = 0.0
    failed_calls: int = 0  # calls without an answer, in a row
    in_flight: int = 0  # attempts from here
    remote_in_flight: float = 0.0

    @property
    def is_busy(self) -> bool:
        """Whether attempts, a counter call or held requests still refer to the customer."""
        return bool(self.in_flight or self.units_in_call is not None or self.held_requests)

    def spend(self, units: float, within_quota: bool) -> None:
        """Take the units of a request that is forwarded from here."""
        self.ceiling_tokens -= units
        self.local_tokens = max(0.0, self.local_tokens - units)
        if within_quota:
            self.tokens = max(0.0, self.tokens - units)
        self.local_units += units

    def spend_more(self, units: float) -> None:
        """Take what a forwarded request turned out to cost beyond its estimate."""
        self.tokens = min(self.plan.burst, self.tokens - units)
        self.unreported_units += units
        self.local_units += units

    def change_plan(self, plan: QuotaPlan, spread: float) -> None:
        """Go on under another plan, or with another number of limiters."""
        self.plan = plan
        self.spread = spread
        self.ceiling_tokens = min(self.ceiling_tokens, plan.ceiling_burst / spread)

    def start_epoch(self, epoch: int, length: float) -> None:
        """Begin to count under another name: nothing is known of it yet."""
        self.epoch = epoch
        self.epoch_length = length
        self.epoch_start = epoch * length
        self.counter_total = 0.0
        self.unconfirmed_units = 0.0

    def take_units_in_call(self) -> float:
        """End the call in flight; the amount that it added, if it was served."""
        units = self.units_in_call or 0.0
        self.units_in_call = None
        return units

    def start_call(self, now: float) -> float:
        """Begin a call that adds all unreported units; their amount."""
        units = self.unreported_units
        self.unreported_units = 0.0
        self.units_in_call = units
        self.call_started_at = now
        return units

    def mark_sampled(self, now: float) -> None:
        """The use up to now is known: local and expected use are counted anew."""
        self.sampled_at = now
        self.local_units = 0.0
        self.expected_remote_units = 0.0

    def mark_call_failed(self, units: float, is_uncertain: bool) -> None:
        """A call with these units failed; if it is uncertain, they may have been added all the same."""
        self.failed_calls += 1
        if is_uncertain:
            self.unconfirmed_units += units
        else:
            self.unreported_units += units

    def mark_counted(self, now: float, total: float) -> None:
        """The counter has answered with this total."""
        self.counter_total = total
        self.counter_total_at = now
        self.unconfirmed_units = 0.0
        self.failed_calls = 0
        self.sample_wanted_since = -1.0

    def take_held_requests(self) -> list[RequestRecord]:
        """The requests that were held for the call that is over."""
        held = self.held_requests
        self.held_requests = []
        self.reserved_units = 0.0
        return held

    def slot_units(self) -> float:
        """Units that may be used in one slot: half the burst, so that their order in it does not matter."""
        return max(1.0, math.floor(self.plan.burst / 2))

    def time_until_available(self, units: float) -> float:
        """Time until the bucket holds so many units, if the others go on using as of late."""
        rate = self.plan.rate / 1000
        if rate <= 0:
            return 0.0
        return max(0.0, units - self.tokens) / max(rate - self.remote_rate, rate / self.spread)


@dataclass(slots=True)
class RequestRecord:
    """A client's request until its final answer is out and no attempt is in flight."""

    request: ClientRequest
    request_class: RequestClass
    customer: CustomerRecord
    useful_until: float  # an answer later than this is of no use
    attempts: int = 0
    in_flight: int = 0
    first_attempt: int = 0  # number of the earliest attempt that may have run,
    first_sent_at: float = 0.0  # when it was sent
    first_endpoint: Endpoint | None = None  # and where to
    is_streaming: bool = False
    within_quota: bool = False
    reserved_units: float = 0.0  # reported ahead of the decision
    probability_drawn: bool = False  # the admission probability was applied at entry
    report_weight: float = 1.0  # how many requests like it its own use is reported for
    tried: set[EndpointId] = field(default_factory=set)

    def start_attempt(self, now: float, endpoint: Endpoint) -> None:
        """Count an attempt that is sent to the server at this endpoint now."""
        if self.first_endpoint is None:
            self.first_endpoint = endpoint
            self.first_sent_at = now
            self.first_attempt = self.attempts
        self.tried.add(endpoint.id)
        self.attempts += 1
        self.in_flight += 1
        self.customer.in_flight += 1

    def end_attempt(self) -> None:
        """Count the end of an attempt."""
        self.in_flight -= 1
        self.customer.in_flight -= 1


@dataclass(slots=True)
class CustomerUsage:
    """A customer's use through all limiters, as far as this one knows it."""

    plan: QuotaPlan
    tokens: float  # units in the token bucket
    tokens_at: float  # time of `tokens`
    sample_start: float
    sampled_units: float = 0.0  # units forwarded since `sample_start`
    utilization: float = 0.0  # EWMA of the use, as a share of the quota
    probability: float = 1.0  # that a request of the customer is admitted

    def refill(self, now: float) -> None:
        """Fill the token bucket for the time since it was last looked at."""
        refilled = self.plan.rate / 1000 * max(0.0, now - self.tokens_at)
        self.tokens = min(self.plan.burst, self.tokens + refilled)
        self.tokens_at = now

    def spend(self, units: float) -> None:
        """Take units that some limiter forwarded."""
        self.tokens = max(0.0, self.tokens - units)
        self.sampled_units += units


@dataclass(slots=True)
class PlanHistory:
    """How a plan's customers were decided on of late: where a new customer of it begins."""

    admit_share: float = 1.0  # share admitted where a usage sample decided
    probability: float = 1.0  # admission probability of customers without tokens
