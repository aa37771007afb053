"""The keys of the TOML file of a hollow experiment, with their ranges.

All times and durations are milliseconds, rates of quotas are units a second, as in limiter/model. A pair
[low, high] is a range from which values are drawn evenly. Where a field's name differs from its key,
`msgspec.field` names the key.
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


def _require(is_valid: bool, key: str, problem: str) -> None:
    """Check a rule that the type of a single field does not express.

    Raises:
        ValueError: the rule is broken; the message is `KEY: what is wrong`, with the key as in its table.
    """
    if not is_valid:
        message = f"{key}: {problem}"
        raise ValueError(message)


def _check_numbers(table: msgspec.Struct) -> None:
    """Raise ValueError for a number that is not finite, or a range that is empty."""
    for key, field in zip(table.__struct_encode_fields__, table.__struct_fields__, strict=True):
        value: object = getattr(table, field)
        values = value if isinstance(value, tuple) else (value,)
        numbers = [number for number in values if isinstance(number, float | int)]
        _require(all(map(math.isfinite, numbers)), key, "not a finite number")
        if len(numbers) == 2:
            low, high = numbers
            _require(low <= high, key, f"[{low}, {high}] ends before it begins")


class _Table(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A table of the file, whose numbers are finite and whose ranges are not empty."""

    def __post_init__(self) -> None:
        _check_numbers(self)


class ClassParameters(_Table, frozen=True):
    """A class of requests, and its share of all first requests."""

    share: Share
    # Mean of the exponential distribution of work, in ms of one core of a server past its slow start.
    work: Positive
    latency_objective: Positive = msgspec.field(name="aim")
    deadline: Positive
    priority_weight: Amount = msgspec.field(name="worth", default=1.0)
    late_weight: Share = msgspec.field(name="late_worth", default=0.0)
    # Whether a request may run twice.
    is_idempotent: bool = msgspec.field(name="may_repeat", default=True)


class PlanParameters(_Table, frozen=True):
    """A quota plan, and the share of all first requests that customers with it send."""

    share: Share
    # Usage profiles are multiples of this rate. It is the quota too, unless there is a cap on concurrency.
    rate: Positive
    # Units that a customer may use at once after a time without requests.
    burst: Amount = 0.0
    # Cap on concurrent attempts; if it is above 0, it is the quota in place of the rate.
    max_concurrency: Number = msgspec.field(name="max_open", default=0)
    price: Amount = 1.0


class UsageParameters(_Table, frozen=True):
    """Usage profiles of customers, as multiples of their plan's rate.

    A share is the part of the customers that have a profile. All others have the calm profile.
    """

    calm_usage: Range = msgspec.field(name="calm", default=(0.2, 0.42))
    full_share: Share = msgspec.field(name="full", default=0.17)
    full_usage: Range = msgspec.field(name="full_use", default=(0.9, 1.0))
    heavy_share: Share = msgspec.field(name="heavy", default=0.1)
    heavy_usage: Range = msgspec.field(name="heavy_use", default=(2.8, 4.5))
    # Customers with the calm profile and spikes on top.
    spiky_share: Share = msgspec.field(name="spiky", default=0.17)
    spike_usage: Range = msgspec.field(name="spike_use", default=(2.0, 8.0))
    spike_duration: Range = msgspec.field(name="spike", default=(870.0, 4000.0))
    spike_interval: Range = msgspec.field(name="spike_every", default=(10000.0, 23000.0))


class ClientParameters(_Table, frozen=True):
    """How clients reach the limiters of their customer's set, and how they retry."""

    # First requests a second at each limiter, as the mean over the fleet.
    requests_per_limiter: Positive = 1.5
    # Number of consecutive limiters that a customer's requests come in through.
    set_size: tuple[Count, Count] = (20, 40)
    # Exponent of a customer's distribution over its limiters: the weight of a rank is (rank + 1) ** -skew.
    skew: Range = (0.35, 1.1)
    # Time after which the limiters of a customer change their ranks.
    shift_interval: Range = msgspec.field(name="shift", default=(9200.0, 24000.0))
    # Share of customers whose requests all come in through one limiter of the set.
    single_share: Share = msgspec.field(name="single", default=0.1)
    # Time after which a client gives up, as a share of its request class's deadline.
    timeout_share: Range = msgspec.field(name="patience", default=(0.5, 1.0))
    # Probability that the client of a rejected first request sends it again.
    retry_probability: Share = msgspec.field(name="retries", default=0.0)
    retry_delay: Range = msgspec.field(name="retry_wait", default=(50.0, 400.0))
    # Probability that a retry comes in through another limiter of the set.
    retry_elsewhere_probability: Share = msgspec.field(name="elsewhere", default=0.5)
    # Time after a limiter went down until requests for it go to others of the set.
    failover_delay: Amount = msgspec.field(name="front_notice", default=2000.0)


class NetworkParameters(_Table, frozen=True):
    """Delays, and the limits of gossip."""

    # One-way delays of packets within a zone, between zones of a region, and between regions.
    same_zone: Range = (0.088, 0.34)
    cross_zone: Range = (0.7, 1.3)
    cross_region: Range = (0.7, 1.3)
    # Delay of a gossip datagram; one between regions has a delay of `cross_region` in addition.
    peer: Range = (1.0, 36.0)
    # Share of gossip datagrams that are lost.
    peer_loss: Share = 0.03
    # Gossip datagrams a second that a limiter takes in; the limiters' settings have the same value.
    peer_intake: Positive = 40.0
    # Gossip datagrams that a limiter takes in at once after a time without any.
    peer_intake_burst: Positive = 40.0


class CounterParameters(_Table, frozen=True):
    """Capacity and delays of the shared counter."""

    calls_per_s: Positive = 450.0
    # Length of the queue of calls, above which a call is rejected.
    queue: Count = 20
    latency: Range = (0.31, 1.8)
    # Time after which a limiter gives up a call.
    timeout: Positive = 30.0
    max_time_to_live: Positive = msgspec.field(name="longest_life", default=60000.0)
    region: Number = 0


class DiscoveryParameters(_Table, frozen=True):
    """Delays until discovery and the limiters learn of a server's state."""

    # Time until discovery learns that a server has started.
    started: Range = (710.0, 2400.0)
    # Time until discovery learns that a server has stopped.
    stopped: Range = (1100.0, 4900.0)
    # Time until a change that discovery has learnt reaches a limiter, drawn for each limiter.
    push_delay: Range = msgspec.field(name="spread", default=(120.0, 340.0))


class ServerParameters(_Table, frozen=True):
    """Servers, and their slow start."""

    per_limiter: Positive
    cores: Count = 2
    # Length of the queue of requests, above which a request is rejected.
    queue: Count = 40
    # Share of its capacity that a server has at its start.
    slow_start_capacity: Annotated[float, Meta(gt=0, le=1)] = msgspec.field(name="cold_capacity", default=0.3)
    slow_start_duration: Amount = msgspec.field(name="cold_time", default=12000.0)
    # Multiple of its present capacity that a server withstands within a window during slow start.
    slow_start_overload: Positive = msgspec.field(name="cold_overload", default=2.0)
    slow_start_window: Positive = msgspec.field(name="cold_window", default=1000.0)


class _Fault(_Table, frozen=True, tag_field="kind"):
    """A fault that begins at a time of the experiment."""

    at: Amount

    def duration(self) -> float:
        """Time until the last of what the fault stopped is back, in ms."""
        return 0.0


class RestartLimiters(_Fault, frozen=True, tag="restart-limiters"):
    """A share of the limiters is killed, in `batches` one after another; each is back after `down`."""

    share: Share
    down: Amount = 1000.0
    batches: Count = 1
    # Time between two batches.
    interval: Amount = msgspec.field(name="every", default=0.0)

    def duration(self) -> float:
        """Time until the last batch is back, in ms."""
        return (self.batches - 1) * self.interval + self.down


class RestartServers(_Fault, frozen=True, tag="restart-servers"):
    """A share of the servers dies and starts again after `down`, in slow start."""

    share: Share
    down: Amount = 10000.0

    def duration(self) -> float:
        """Time until the servers are back, in ms."""
        return self.down


class DrainServers(_Fault, frozen=True, tag="drain-servers"):
    """A share of the servers drains for `drain` and ends; servers with new ids start in their place."""

    share: Share
    drain: Amount = 4000.0

    def duration(self) -> float:
        """Time until the servers are replaced, in ms."""
        return self.drain


class _LastingFault(_Fault, frozen=True):
    """A fault that ends by itself."""

    lasting: Positive

    def duration(self) -> float:
        """How long the fault lasts, in ms."""
        return self.lasting


class LoseZone(_LastingFault, frozen=True, tag="lose-zone"):
    """Limiters and servers of a zone are lost without a reset, and start again after `lasting`."""

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
    duration: Positive  # time in which requests arrive
    classes: Annotated[tuple[ClassParameters, ...], Meta(min_length=1)]
    plans: Annotated[tuple[PlanParameters, ...], Meta(min_length=1)]
    servers: ServerParameters
    seed: Number = 1
    # Requests that arrive earlier than this count in no figure.
    warm_up: Amount = 1000.0
    # Usage in this time before the end is not counted for the age of gossip, as it may not be reported yet.
    gossip_age_tail: Amount = msgspec.field(name="news_tail", default=0.0)
    zones: Count = 3
    # Number of regions; each has as many consecutive zones as the others, or one more or less.
    regions: Count = 1
    usage: UsageParameters = msgspec.field(name="use", default=UsageParameters())
    clients: ClientParameters = ClientParameters()
    network: NetworkParameters = NetworkParameters()
    counter: CounterParameters = CounterParameters()
    discovery: DiscoveryParameters = DiscoveryParameters()
    faults: tuple[Fault, ...] = ()
    # Sliding window in which units beyond quotas are compared with those before a fault.
    window: Positive = 5000.0
    max_attempts: Count = 4
    # Time at which a limiter starts, drawn for each.
    start_delay: Range = msgspec.field(name="start_spread", default=(100.0, 1000.0))

    def __post_init__(self) -> None:
        """Check the rules between several keys; raises ValueError."""
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
