"""The keys of a hollow experiment's TOML file and the values that they accept.

All times and durations are in milliseconds, and quota rates are in units per second, as in limiter/model. A
pair [low, high] is a range from which values are drawn uniformly. Where the name of a field differs from its
key in the file, `msgspec.field` states the key.
"""

from __future__ import annotations

import math
from typing import Annotated

import msgspec
from msgspec import Meta

PositiveInt = Annotated[int, Meta(ge=1)]
NonNegativeInt = Annotated[int, Meta(ge=0)]
Fraction = Annotated[float, Meta(ge=0, le=1)]
PositiveFloat = Annotated[float, Meta(gt=0)]
NonNegativeFloat = Annotated[float, Meta(ge=0)]
FloatRange = tuple[NonNegativeFloat, NonNegativeFloat]


def _require(is_valid: bool, key: str, problem: str) -> None:
    """Check a rule that the type of a single field cannot express.

    Raises:
        ValueError: The rule is violated. The message is `KEY: PROBLEM`, with the key relative to its table.
    """
    if not is_valid:
        message = f"{key}: {problem}"
        raise ValueError(message)


def _check_numbers(table: msgspec.Struct) -> None:
    """Raise ValueError if a number is not finite or the lower bound of a range exceeds the upper one."""
    for key, field in zip(table.__struct_encode_fields__, table.__struct_fields__, strict=True):
        value: object = getattr(table, field)
        values = value if isinstance(value, tuple) else (value,)
        numbers = [number for number in values if isinstance(number, float | int)]
        _require(all(map(math.isfinite, numbers)), key, "not a finite number")
        if len(numbers) == 2:
            low, high = numbers
            _require(low <= high, key, f"expected low <= high, got [{low}, {high}]")


class _ExperimentTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A table of the file. Its numbers must be finite, and each range must have low <= high."""

    def __post_init__(self) -> None:
        _check_numbers(self)


class ClassParameters(_ExperimentTable, frozen=True):
    """A request class, and the fraction of all first requests that belong to it.

    First requests are those that are not retries.
    """

    request_share: Fraction = msgspec.field(name="share")
    # Mean of the exponential distribution of the work of a request, in ms of one core of a server after its
    # slow start.
    mean_work_ms: PositiveFloat = msgspec.field(name="work")
    latency_objective: PositiveFloat = msgspec.field(name="aim")
    deadline: PositiveFloat
    priority_weight: NonNegativeFloat = msgspec.field(name="worth", default=1.0)
    late_weight: Fraction = msgspec.field(name="late_worth", default=0.0)
    # Whether a request may be executed twice.
    is_idempotent: bool = msgspec.field(name="may_repeat", default=True)


class PlanParameters(_ExperimentTable, frozen=True):
    """A quota plan and the fraction of all first requests that customers with this plan send."""

    request_share: Fraction = msgspec.field(name="share")
    # Usage profiles are multiples of this rate. It is also the quota, unless the plan limits concurrency.
    rate: PositiveFloat
    # Capacity of the quota's token bucket, in units.
    burst: NonNegativeFloat = 0.0
    # Limit on concurrent attempts. If it is above 0, it is the quota instead of the rate.
    max_concurrency: NonNegativeInt = msgspec.field(name="max_open", default=0)
    request_priority_factor: NonNegativeFloat = msgspec.field(name="price", default=1.0)


class UsageParameters(_ExperimentTable, frozen=True):
    """Usage profiles of customers. Usage is given as a multiple of the rate of the customer's plan.

    Each share is the fraction of the customers that have the profile. The others have the calm profile.
    """

    calm_usage: FloatRange = msgspec.field(name="calm", default=(0.2, 0.42))
    full_share: Fraction = msgspec.field(name="full", default=0.17)
    full_usage: FloatRange = msgspec.field(name="full_use", default=(0.9, 1.0))
    heavy_share: Fraction = msgspec.field(name="heavy", default=0.1)
    heavy_usage: FloatRange = msgspec.field(name="heavy_use", default=(2.8, 4.5))
    # Share of the customers that have the calm profile and spikes in addition.
    spiky_share: Fraction = msgspec.field(name="spiky", default=0.17)
    spike_usage: FloatRange = msgspec.field(name="spike_use", default=(2.0, 8.0))
    spike_duration: FloatRange = msgspec.field(name="spike", default=(870.0, 4000.0))
    spike_interval: FloatRange = msgspec.field(name="spike_every", default=(10000.0, 23000.0))


class ClientParameters(_ExperimentTable, frozen=True):
    """How clients choose among the limiters of their customer's set, and how they retry."""

    # First requests per second and limiter, averaged over the fleet.
    request_rate_per_limiter: PositiveFloat = msgspec.field(name="requests_per_limiter", default=1.5)
    # Number of limiters in a customer's set; their numbers are consecutive.
    limiters_per_customer: tuple[PositiveInt, PositiveInt] = msgspec.field(name="set_size", default=(20, 40))
    # Exponent of the distribution of a customer's requests over its limiters: the limiter with rank r has the
    # weight (r + 1) ** -skew.
    skew: FloatRange = (0.35, 1.1)
    # Time between two changes of the ranks of a customer's limiters.
    rank_change_interval: FloatRange = msgspec.field(name="shift", default=(9200.0, 24000.0))
    # Share of customers that send all their first requests to one limiter of the set.
    single_limiter_share: Fraction = msgspec.field(name="single", default=0.1)
    # Time after which a client gives up, as a fraction of the deadline of the request class.
    client_timeout_fraction: FloatRange = msgspec.field(name="patience", default=(0.5, 1.0))
    # Probability that a client retries a first request that was rejected.
    retry_probability: Fraction = msgspec.field(name="retries", default=0.0)
    retry_delay: FloatRange = msgspec.field(name="retry_wait", default=(50.0, 400.0))
    # Probability that a retry goes to a limiter drawn at random from the set instead of to the same limiter.
    retry_at_other_limiter_probability: Fraction = msgspec.field(name="elsewhere", default=0.5)
    # Time from when a limiter goes down until its requests are sent to other limiters of the set.
    failover_delay: NonNegativeFloat = msgspec.field(name="front_notice", default=2000.0)


class NetworkParameters(_ExperimentTable, frozen=True):
    """Network delays, and the loss and rate limit of gossip."""

    # One-way delays of packets within a zone, between zones of one region, and between regions.
    same_zone_delay: FloatRange = msgspec.field(name="same_zone", default=(0.088, 0.34))
    cross_zone_delay: FloatRange = msgspec.field(name="cross_zone", default=(0.7, 1.3))
    cross_region_delay: FloatRange = msgspec.field(name="cross_region", default=(0.7, 1.3))
    # One-way delay of a gossip datagram. Between regions, `cross_region_delay` is added.
    gossip_delay: FloatRange = msgspec.field(name="peer", default=(1.0, 36.0))
    # Fraction of the gossip datagrams that are lost.
    gossip_loss_rate: Fraction = msgspec.field(name="peer_loss", default=0.03)
    # Gossip datagrams per second that a limiter accepts. The limiters' settings have the same value.
    gossip_intake_per_second: PositiveFloat = msgspec.field(name="peer_intake", default=40.0)
    # Capacity of the token bucket of this limit: the number of datagrams that a limiter accepts at once.
    gossip_intake_burst: PositiveFloat = msgspec.field(name="peer_intake_burst", default=40.0)


class CounterParameters(_ExperimentTable, frozen=True):
    """Capacity and latency of the shared counter."""

    calls_per_s: PositiveFloat = 450.0
    # Maximum number of queued calls. Further calls are rejected.
    max_queue_length: PositiveInt = msgspec.field(name="queue", default=20)
    latency: FloatRange = (0.31, 1.8)
    # Time after which a call of a limiter times out.
    timeout: PositiveFloat = 30.0
    max_time_to_live: PositiveFloat = msgspec.field(name="longest_life", default=60000.0)
    region: NonNegativeInt = 0


class DiscoveryParameters(_ExperimentTable, frozen=True):
    """Delays until discovery and the limiters learn of a change of a server's state."""

    # Time from the start of a server until discovery learns of it.
    start_detection_delay: FloatRange = msgspec.field(name="started", default=(710.0, 2400.0))
    # Time from the end of a server until discovery learns of it.
    stop_detection_delay: FloatRange = msgspec.field(name="stopped", default=(1100.0, 4900.0))
    # Time from when discovery learns of a change until a limiter receives it, drawn for each limiter.
    push_delay: FloatRange = msgspec.field(name="spread", default=(120.0, 340.0))


class ServerParameters(_ExperimentTable, frozen=True):
    """Number, capacity and slow start of the servers."""

    servers_per_limiter: PositiveFloat = msgspec.field(name="per_limiter")
    cores: PositiveInt = 2
    # Maximum number of queued requests. Further requests are rejected.
    max_queue_length: PositiveInt = msgspec.field(name="queue", default=40)
    # Fraction of its full capacity that a server has when it starts.
    slow_start_capacity: Annotated[float, Meta(gt=0, le=1)] = msgspec.field(name="cold_capacity", default=0.3)
    slow_start_duration: NonNegativeFloat = msgspec.field(name="cold_time", default=12000.0)
    # Multiple of its present capacity that a server tolerates within a window during slow start.
    slow_start_overload: PositiveFloat = msgspec.field(name="cold_overload", default=2.0)
    slow_start_window: PositiveFloat = msgspec.field(name="cold_window", default=1000.0)


class _Fault(_ExperimentTable, frozen=True, tag_field="kind"):
    """A fault that begins at a given time of the experiment."""

    starts_at: NonNegativeFloat = msgspec.field(name="at")

    def compute_total_duration(self) -> float:
        """Return the time, in ms, from the start of the fault until all that it stopped has been restored."""
        return 0.0


class RestartLimiters(_Fault, frozen=True, tag="restart-limiters"):
    """A share of the limiters is killed in successive batches. Each limiter restarts after `downtime`."""

    limiter_share: Fraction = msgspec.field(name="share")
    downtime: NonNegativeFloat = msgspec.field(name="down", default=1000.0)
    batch_count: PositiveInt = msgspec.field(name="batches", default=1)
    # Time from the start of one batch to the start of the next.
    batch_interval: NonNegativeFloat = msgspec.field(name="every", default=0.0)

    def compute_total_duration(self) -> float:
        """Return the time, in ms, until the last batch has restarted."""
        return (self.batch_count - 1) * self.batch_interval + self.downtime


class RestartServers(_Fault, frozen=True, tag="restart-servers"):
    """A share of the servers stops. Each server restarts after `downtime`, in slow start."""

    server_share: Fraction = msgspec.field(name="share")
    downtime: NonNegativeFloat = msgspec.field(name="down", default=10000.0)

    def compute_total_duration(self) -> float:
        """Return the time, in ms, until the servers have restarted."""
        return self.downtime


class DrainServers(_Fault, frozen=True, tag="drain-servers"):
    """A share of the servers drains for `drain_duration` and stops. Servers with new ids replace them."""

    server_share: Fraction = msgspec.field(name="share")
    drain_duration: NonNegativeFloat = msgspec.field(name="drain", default=4000.0)

    def compute_total_duration(self) -> float:
        """Return the time, in ms, until the servers are replaced."""
        return self.drain_duration


class _TemporaryFault(_Fault, frozen=True):
    """A fault that ends after a given duration."""

    fault_duration: PositiveFloat = msgspec.field(name="lasting")

    def compute_total_duration(self) -> float:
        """Return the duration of the fault, in ms."""
        return self.fault_duration


class ZoneOutage(_TemporaryFault, frozen=True, tag="lose-zone"):
    """The limiters and servers of a zone stop without resetting connections and restart after the fault."""

    zone: NonNegativeInt
    affects_limiters: bool = msgspec.field(name="limiters", default=True)
    affects_servers: bool = msgspec.field(name="servers", default=True)


class RegionPartition(_TemporaryFault, frozen=True, tag="cut-regions"):
    """One region is partitioned from all others. Calls of a counter on the other side time out."""

    region: NonNegativeInt


class CounterOutage(_TemporaryFault, frozen=True, tag="counter-outage"):
    """Calls of the shared counter time out."""


class DiscoveryOutage(_TemporaryFault, frozen=True, tag="discovery-outage"):
    """Discovery pushes no changes. When the outage ends, it pushes those that it learnt of meanwhile."""


Fault = (
    RestartLimiters
    | RestartServers
    | DrainServers
    | ZoneOutage
    | RegionPartition
    | CounterOutage
    | DiscoveryOutage
)


class HollowExperiment(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True, tag_field="kind", tag="hollow"
):
    """An experiment in which many policy engines run on one virtual clock."""

    name: str
    limiters: Annotated[int, Meta(ge=2)]  # number of limiters
    duration: PositiveFloat  # time during which first requests arrive
    classes: Annotated[tuple[ClassParameters, ...], Meta(min_length=1)]
    plans: Annotated[tuple[PlanParameters, ...], Meta(min_length=1)]
    servers: ServerParameters
    seed: NonNegativeInt = 1
    # Requests that arrive before this time are not counted in the results.
    warm_up: NonNegativeFloat = 1000.0
    # Usage within this time before the end is not counted for the age of gossip, because gossip may not have
    # reported it by then.
    gossip_age_tail: NonNegativeFloat = msgspec.field(name="news_tail", default=0.0)
    # Number of zones.
    zones: PositiveInt = 3
    # Number of regions. Each consists of consecutive zones, and their numbers of zones differ by at most one.
    regions: PositiveInt = 1
    usage: UsageParameters = msgspec.field(name="use", default=UsageParameters())
    clients: ClientParameters = ClientParameters()
    network: NetworkParameters = NetworkParameters()
    counter: CounterParameters = CounterParameters()
    discovery: DiscoveryParameters = DiscoveryParameters()
    faults: tuple[Fault, ...] = ()
    # Length of the sliding windows in which units beyond quotas are summed, to compare the time after a fault
    # with the time before it.
    recovery_window: PositiveFloat = msgspec.field(name="window", default=5000.0)
    max_attempts: PositiveInt = 4
    # Time at which a limiter starts, drawn for each limiter.
    start_delay: FloatRange = msgspec.field(name="start_spread", default=(100.0, 1000.0))

    def __post_init__(self) -> None:
        """Check the rules that involve several keys; raise ValueError if one is violated."""
        _check_numbers(self)
        self._check_shares()
        self._check_regions()
        self._check_faults()

    def _check_shares(self) -> None:
        usage_share = self.usage.full_share + self.usage.heavy_share + self.usage.spiky_share
        _require(usage_share <= 1, "use", "expected the sum of full, heavy and spiky to be at most 1")
        _require(
            any(request_class.request_share for request_class in self.classes),
            "classes",
            "expected a share above 0",
        )
        _require(any(plan.request_share for plan in self.plans), "plans", "expected a share above 0")
        for index, plan in enumerate(self.plans):
            has_quota = plan.max_concurrency > 0 or plan.burst >= 1
            _require(
                has_quota,
                f"plans[{index}].burst",
                "must be at least 1 without max_open, because each request takes 1 unit",
            )

    def _check_regions(self) -> None:
        region = self.counter.region
        _require(
            region < self.regions,
            "counter.region",
            f"{region} is not less than the number of regions, {self.regions}",
        )
        problem = f"{self.regions} exceeds the number of zones, {self.zones}"
        _require(self.regions <= self.zones, "regions", problem)

    def _check_faults(self) -> None:
        for index, fault in enumerate(self.faults):
            if isinstance(fault, ZoneOutage):
                problem = f"{fault.zone} is not less than the number of zones, {self.zones}"
                _require(fault.zone < self.zones, f"faults[{index}].zone", problem)
            elif isinstance(fault, RegionPartition):
                problem = f"{fault.region} is not less than the number of regions, {self.regions}"
                _require(fault.region < self.regions, f"faults[{index}].region", problem)
