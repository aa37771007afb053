"""What a hollow experiment says: the keys of its TOML file, with their ranges.

All times and durations are milliseconds, rates of quotas units a second, as in limiter/model. A
pair [low, high] is a range from which values are drawn evenly. Where a field is named otherwise than its key,
`msgspec.field` has the key.
"""

from __future__ import annotations

import math
from typing import Annotated

import msgspec
from msgspec import Meta

Count = Annotated[int, Meta(ge=1)]
Number = Annotated[int, Meta(ge=0)]
Share = Annotated[float, Meta(ge=0, le=1)]
Positive = Annotated[float, Meta(gt=0)]
Amount = Annotated[float, Meta(ge=0)]
Range = tuple[Amount, Amount]


class ParameterError(ValueError):
    """A value that no range of a single number rules out; the message is `KEY: what is wrong`."""

    def __init__(self, key: str, problem: str) -> None:
        """Name the key by its place in the table that has it."""
        super().__init__(f"{key}: {problem}")


def _require(is_valid: bool, key: str, problem: str) -> None:
    if not is_valid:
        raise ParameterError(key, problem)


def _check_numbers(table: msgspec.Struct) -> None:
    """Raise ParameterError for a number that is not finite, or a range that is empty."""
    for key, field in zip(table.__struct_encode_fields__, table.__struct_fields__, strict=True):
        value: object = getattr(table, field)
        values = value if isinstance(value, tuple) else (value,)
        numbers = [number for number in values if isinstance(number, float | int)]
        _require(all(map(math.isfinite, numbers)), key, "not a finite number")
        if len(numbers) == 2:
            low, high = numbers
            _require(low <= high, key, f"[{low}, {high}] ends before it begins")


class _Table(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    def __post_init__(self) -> None:
        _check_numbers(self)


class ClassParameters(_Table, frozen=True):
    """A class of requests."""

    share: Share
    work: Positive  # mean, of one core of a warm server; each request's is drawn exponentially
    latency_objective: Positive = msgspec.field(name="aim")
    deadline: Positive
    priority_weight: Amount = msgspec.field(name="worth", default=1.0)
    late_weight: Share = msgspec.field(name="late_worth", default=0.0)
    is_idempotent: bool = msgspec.field(name="may_repeat", default=True)  # False: must never run twice


class PlanParameters(_Table, frozen=True):
    """A quota plan."""

    share: Share  # of the requests
    rate: Positive  # that usage profiles are multiples of; the quota, unless max_concurrency is given
    burst: Amount = 0.0  # units
    max_concurrency: Number = msgspec.field(name="max_open", default=0)  # above 0 the rate is no quota
    price: Amount = 1.0


class UsageParameters(_Table, frozen=True):
    """What customers request, as multiples of their plan's rate; those in none of the shares are calm."""

    calm_usage: Range = msgspec.field(name="calm", default=(0.2, 0.42))
    full_share: Share = msgspec.field(name="full", default=0.17)
    full_usage: Range = msgspec.field(name="full_use", default=(0.9, 1.0))
    heavy_share: Share = msgspec.field(name="heavy", default=0.1)
    heavy_usage: Range = msgspec.field(name="heavy_use", default=(2.8, 4.5))
    spiky_share: Share = msgspec.field(name="spiky", default=0.17)  # calm, but for spikes
    spike_usage: Range = msgspec.field(name="spike_use", default=(2.0, 8.0))
    spike_duration: Range = msgspec.field(name="spike", default=(870.0, 4000.0))
    spike_interval: Range = msgspec.field(name="spike_every", default=(10000.0, 23000.0))


class ClientParameters(_Table, frozen=True):
    """How clients reach the limiters of their customer's set, and how they retry."""

    requests_per_limiter: Positive = 1.5  # a second, first requests, mean over the fleet
    set_size: tuple[Count, Count] = (20, 40)  # limiters in a row that a customer's requests come in through
    skew: Range = (0.35, 1.1)  # of the set's weights: (rank + 1) ** -skew
    shift_interval: Range = msgspec.field(name="shift", default=(9200.0, 24000.0))  # until the ranks change
    # Customers whose requests all come in through one limiter of the set.
    single_share: Share = msgspec.field(name="single", default=0.1)
    patience: Range = (0.5, 1.0)  # of the class's deadline
    retry_probability: Share = msgspec.field(name="retries", default=0.0)  # of a rejected first request
    retry_delay: Range = msgspec.field(name="retry_wait", default=(50.0, 400.0))
    # Probability that a retry comes in through another limiter of the set.
    retry_elsewhere_probability: Share = msgspec.field(name="elsewhere", default=0.5)
    # Until requests for a limiter that is down go to others of the set.
    failover_delay: Amount = msgspec.field(name="front_notice", default=2000.0)


class NetworkParameters(_Table, frozen=True):
    """Delays, and the limits of gossip."""

    same_zone: Range = (0.088, 0.34)  # one way
    cross_zone: Range = (0.7, 1.3)
    cross_region: Range = (0.7, 1.3)
    peer: Range = (1.0, 36.0)  # a gossip datagram's delay; between regions `cross_region` comes on top
    peer_loss: Share = 0.03
    peer_intake: Positive = 40.0  # datagrams a second that a limiter takes in; its settings say so too
    peer_intake_burst: Positive = 40.0  # datagrams that it takes in at once after a silence


class CounterParameters(_Table, frozen=True):
    """The shared counter."""

    calls_per_s: Positive = 450.0
    queue: Count = 20  # calls; beyond it a call is rejected
    latency: Range = (0.31, 1.8)
    timeout: Positive = 30.0
    max_time_to_live: Positive = msgspec.field(name="longest_life", default=60000.0)
    region: Number = 0


class DiscoveryParameters(_Table, frozen=True):
    """Delays of discovery."""

    started: Range = (710.0, 2400.0)  # until discovery learns that a server has started
    stopped: Range = (1100.0, 4900.0)  # that it has ended
    spread: Range = (120.0, 340.0)  # from there to each limiter


class ServerParameters(_Table, frozen=True):
    """Servers, and their slow start."""

    per_limiter: Positive
    cores: Count = 2
    queue: Count = 40  # requests; beyond it one is rejected
    cold_capacity: Annotated[float, Meta(gt=0, le=1)] = 0.3
    cold_time: Amount = 12000.0
    cold_overload: Positive = 2.0
    cold_window: Positive = 1000.0


class _Fault(_Table, frozen=True, tag_field="kind"):
    at: Amount

    def duration(self) -> float:
        """Time until the last of what the fault stopped is back, in ms."""
        return 0.0


class RestartLimiters(_Fault, frozen=True, tag="restart-limiters"):
    """A share of the limiters is killed, in `batches` one after another; each is back after `down`."""

    share: Share
    down: Amount = 1000.0
    batches: Count = 1
    interval: Amount = msgspec.field(name="every", default=0.0)  # between batches

    def duration(self) -> float:
        """Time until the last batch is back, in ms."""
        return (self.batches - 1) * self.interval + self.down


class RestartServers(_Fault, frozen=True, tag="restart-servers"):
    """A share of the servers dies and comes back cold after `down`."""

    share: Share
    down: Amount = 10000.0

    def duration(self) -> float:
        """Time until the servers are back, in ms."""
        return self.down


class DrainServers(_Fault, frozen=True, tag="drain-servers"):
    """A share of the servers drains for `drain` and ends; new ones with new ids start cold in their place."""

    share: Share
    drain: Amount = 4000.0

    def duration(self) -> float:
        """Time until the servers are replaced, in ms."""
        return self.drain


class _LastingFault(_Fault, frozen=True):
    lasting: Positive

    def duration(self) -> float:
        """How long the fault lasts, in ms."""
        return self.lasting


class LoseZone(_LastingFault, frozen=True, tag="lose-zone"):
    """Limiters and servers of a zone vanish silently, and are back after `lasting`, without any state."""

    zone: Number
    limiters: bool = True
    servers: bool = True


class CutRegions(_LastingFault, frozen=True, tag="cut-regions"):
    """One region is partitioned from all others, the counter included, for `lasting`."""

    region: Number


class CounterOutage(_LastingFault, frozen=True, tag="counter-outage"):
    """The counter replies to no call."""


class DiscoveryOutage(_LastingFault, frozen=True, tag="discovery-outage"):
    """No change is pushed; those learnt meanwhile are pushed when discovery is back."""


Fault = (
    RestartLimiters | RestartServers | DrainServers | LoseZone | CutRegions | CounterOutage | DiscoveryOutage
)


class HollowExperiment(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True, tag_field="kind", tag="hollow"
):
    """Many policy engines on one virtual clock."""

    name: str
    limiters: Annotated[int, Meta(ge=2)]
    duration: Positive  # in which requests arrive
    classes: Annotated[tuple[ClassParameters, ...], Meta(min_length=1)]
    plans: Annotated[tuple[PlanParameters, ...], Meta(min_length=1)]
    servers: ServerParameters
    seed: Number = 1
    warm_up: Amount = 1000.0  # no figure counts requests that arrive before
    # Usage so shortly before the end does not count for the age of gossip.
    gossip_age_tail: Amount = msgspec.field(name="news_tail", default=0.0)
    zones: Count = 3
    regions: Count = 1  # zones are shared out among them, in their order
    usage: UsageParameters = msgspec.field(name="use", default=UsageParameters())
    clients: ClientParameters = ClientParameters()
    network: NetworkParameters = NetworkParameters()
    counter: CounterParameters = CounterParameters()
    discovery: DiscoveryParameters = DiscoveryParameters()
    faults: tuple[Fault, ...] = ()
    window: Positive = 5000.0  # sliding, in which units beyond quotas are compared with those before a fault
    max_attempts: Count = 4
    start_spread: Range = (100.0, 1000.0)  # starts of the limiters

    def __post_init__(self) -> None:
        """Check what a single number's range does not; raises ParameterError."""
        _check_numbers(self)
        self._check_shares()
        self._check_regions()
        self._check_faults()

    def _check_shares(self) -> None:
        usage_share = self.usage.full_share + self.usage.heavy_share + self.usage.spiky_share
        _require(usage_share <= 1, "use", "its shares are more than all customers")
        _require(any(part.share for part in self.classes), "classes", "no share is above 0")
        _require(any(plan.share for plan in self.plans), "plans", "no share is above 0")
        for index, plan in enumerate(self.plans):
            has_quota = plan.max_concurrency > 0 or plan.burst >= 1
            _require(has_quota, f"plans[{index}].burst", "under the one unit that a request takes")

    def _check_regions(self) -> None:
        region = self.counter.region
        _require(region < self.regions, "counter.region", f"{region} is not below regions, {self.regions}")
        problem = f"{self.regions} are more than zones, {self.zones}"
        _require(self.regions <= self.zones, "regions", problem)

    def _check_faults(self) -> None:
        for index, fault in enumerate(self.faults):
            if isinstance(fault, LoseZone):
                problem = f"{fault.zone} is not below zones, {self.zones}"
                _require(fault.zone < self.zones, f"faults[{index}].zone", problem)
            elif isinstance(fault, CutRegions):
                problem = f"{fault.region} is not below regions, {self.regions}"
                _require(fault.region < self.regions, f"faults[{index}].region", problem)
