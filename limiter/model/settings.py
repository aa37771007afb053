"""Settings of a limiter and their validation.

All times and durations are milliseconds; quota rates are units a second.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum


class SettingsError(ValueError):
    """A setting cannot be used; the message names it and says what is wrong with it."""

    def __init__(self, name: str, problem: str) -> None:
        """Take the setting's name, or its path in the text, and what is wrong with it."""
        super().__init__(f"{name}: {problem}")
        self.name = name
        self.problem = problem


class Idempotency(Enum):
    """Whether a request that may have run can be sent again."""

    IDEMPOTENT = "repeatable"  # It can: running it twice does no harm.
    IDEMPOTENCY_KEY = "keyed"  # It can, to servers that drop repeats by its key (see DedupScope).
    NOT_IDEMPOTENT = "once"  # It can't.


class DedupScope(Enum):
    """Which servers drop repeats of a request that carries an idempotency key.

    A repeat is dropped if it reaches any server of the fleet (`ALL`), a server in the zone of the one that
    had the first attempt (`ZONE`), or one in its cell (`CELL`).
    """

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """What all requests of one class have in common: how fast they must be, and how they may be retried.

    Each request names its class. The weights say how much a response is worth, to compare requests with each
    other when there is not enough capacity for all.

    Attributes:
        latency_objective: Latency in milliseconds up to which a response is on time.
        deadline: Milliseconds after which the client has given up.
        idempotency: Whether a request that may have run can be sent again.
        dedup_scope: Which servers drop a repeat with the same idempotency key.
        dedup_window: Milliseconds for which servers remember an idempotency key.
        priority_weight: Worth of a response that is on time, before the plan's factor (`QuotaPlan.price`).
        late_weight_fraction: Fraction of the priority weight that a late response is still worth.
        streams_response: Whether the response is a stream, whose first part is an event of its own
            (StreamStarted).
    """

    latency_objective: float
    deadline: float
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    dedup_scope: DedupScope = DedupScope.ALL
    dedup_window: float = 0.0
    priority_weight: float = 1.0
    late_weight_fraction: float = 0.0
    streams_response: bool = False


@dataclass(frozen=True, slots=True)
class QuotaPlan:
    """The quota of each customer of one plan, enforced over all limiters together.

    A customer has up to three limits: a rate quota, on attempts in flight, and a ceiling. Beyond the quota a
    request may still be forwarded, at a cost; beyond the ceiling never.

    Attributes:
        rate: Units a second of the rate quota; 0 where there is none.
        burst: Units that the token bucket of the rate quota holds.
        max_concurrency: Limit on the customer's attempts in flight; 0 where there is none.
        ceiling_rate: Units a second that are never to be exceeded; 0 where there is no ceiling.
        ceiling_burst: Units that the token bucket of the ceiling holds.
        priority_factor: Factor on the priority weight of requests of this plan.
        over_quota_cost_fraction: Fraction of its weight that a request forwarded beyond the quota costs.
        over_quota_weight_fraction: Fraction of its weight that such a request is still worth.
    """

    rate: float = 0.0
    burst: float = 0.0
    max_concurrency: int = 0
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    priority_factor: float = 1.0
    over_quota_cost_fraction: float = 0.0
    over_quota_weight_fraction: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """Everything that the decisions of one limiter depend on, besides its events and its random seed.

    All limiters of a fleet have the same settings but for `limiter_index` and `zone`. `read_settings` in
    `limiter/configuration/settings_reader.py` has the names under which a configuration states them.

    Attributes:
        limiter_index: This limiter's number among all limiters, from 0.
        limiter_count: Number of limiters that share the quotas.
        request_classes: The classes of requests; a request names its class by the index in this tuple.
        plans: The plans of customers; a request names its plan by the index in this tuple.
        zone: Number of the zone that this limiter runs in.
        max_attempts: Limit on the attempts of each request, the first included.
        may_cancel: Whether attempts may be cancelled.
        may_health_check: Whether health checks may be sent to servers.
        has_counter: Whether the limiters share a counter of units.
        may_hedge: Whether a request may have two attempts in flight at a time.
        may_gossip: Whether the limiters send each other gossip.
        max_received_gossip_per_second: Gossip messages a second that a limiter takes in.
        clients_honor_retry_after: Whether rejected clients get a Retry-After, for which some of them wait.
        max_retry_after: Longest Retry-After in milliseconds that clients wait for.
        polls_discovery: Whether limiters poll discovery for the endpoint list; otherwise discovery pushes it.
        poll_interval: Milliseconds without a poll after which a limiter counts as knowing only the list of
            its last poll.
        counter_timeout: Milliseconds after which a counter call has failed.
        meter_period: Milliseconds over which servers meter a customer's usage; 0 where they don't.
        is_post_paid: Whether the units of a request are an estimate until its response states the true ones.
        max_units_per_request: Most units that one request can take.
        slow_start_capacity: Fraction of its full capacity that a server starts with.
        slow_start_duration: Milliseconds in which a server rises from that fraction to its full capacity.
        slow_start_overload: Load that a server in slow start bears, as a multiple of its present capacity.
        slow_start_window: Milliseconds over which that load is measured.
    """

    limiter_index: int
    limiter_count: int
    request_classes: tuple[RequestClass, ...]
    plans: tuple[QuotaPlan, ...]
    zone: int = 0
    max_attempts: int = 1
    may_cancel: bool = False
    may_health_check: bool = False
    has_counter: bool = False
    may_hedge: bool = False
    may_gossip: bool = False
    max_received_gossip_per_second: float = 0.0
    clients_honor_retry_after: bool = False
    max_retry_after: float = 0.0
    polls_discovery: bool = False
    poll_interval: float = 10000.0
    counter_timeout: float = 50.0
    meter_period: float = 0.0
    is_post_paid: bool = False
    max_units_per_request: float = 1.0
    slow_start_capacity: float = 1.0
    slow_start_duration: float = 0.0
    slow_start_overload: float = 1.0
    slow_start_window: float = 1000.0


def validate_settings(settings: Settings) -> None:
    """Check that a limiter can decide by these settings.

    Raises:
        SettingsError: A setting cannot be used; the error names the first such setting.
    """
    _check_position(settings)
    if not settings.request_classes:
        raise SettingsError(name="request_classes", problem="at least one is needed")
    if not settings.plans:
        raise SettingsError(name="plans", problem="at least one is needed")
    for index, request_class in enumerate(settings.request_classes):
        _check_request_class(f"request_classes[{index}]", request_class)
    for index, plan in enumerate(settings.plans):
        _check_plan(f"plans[{index}]", plan)
    _check_limits(settings)
    _check_slow_start(settings)


def _check_position(settings: Settings) -> None:
    """Check this limiter's number among all limiters."""
    _check_number("limiter_count", settings.limiter_count, 1)
    _check_number("limiter_index", settings.limiter_index, 0)
    if settings.limiter_index >= settings.limiter_count:
        problem = f"{settings.limiter_index} is not below limiter_count, {settings.limiter_count}"
        raise SettingsError(name="limiter_index", problem=problem)


def _check_request_class(path: str, request_class: RequestClass) -> None:
    _check_number(f"{path}.latency_objective", request_class.latency_objective, 0, exclusive=True)
    _check_number(f"{path}.deadline", request_class.deadline, 0, exclusive=True)
    _check_number(f"{path}.dedup_window", request_class.dedup_window, 0)
    _check_number(f"{path}.priority_weight", request_class.priority_weight, 0)
    _check_number(f"{path}.late_weight_fraction", request_class.late_weight_fraction, 0)


def _check_plan(path: str, plan: QuotaPlan) -> None:
    _check_number(f"{path}.rate", plan.rate, 0)
    _check_number(f"{path}.burst", plan.burst, 0)
    _check_number(f"{path}.max_concurrency", plan.max_concurrency, 0)
    _check_number(f"{path}.ceiling_rate", plan.ceiling_rate, 0)
    _check_number(f"{path}.ceiling_burst", plan.ceiling_burst, 0)
    _check_number(f"{path}.priority_factor", plan.priority_factor, 0)
    _check_number(f"{path}.over_quota_cost_fraction", plan.over_quota_cost_fraction, 0)
    _check_number(f"{path}.over_quota_weight_fraction", plan.over_quota_weight_fraction, 0)


def _check_limits(settings: Settings) -> None:
    _check_number("max_attempts", settings.max_attempts, 1)
    _check_number("max_retry_after", settings.max_retry_after, 0)
    _check_number("poll_interval", settings.poll_interval, 0, exclusive=True)
    _check_number("counter_timeout", settings.counter_timeout, 0, exclusive=settings.has_counter)
    _check_number("max_received_gossip_per_second", settings.max_received_gossip_per_second, 0)
    _check_number("meter_period", settings.meter_period, 0)
    _check_number("max_units_per_request", settings.max_units_per_request, 0)


def _check_slow_start(settings: Settings) -> None:
    _check_number("slow_start_capacity", settings.slow_start_capacity, 0, 1, exclusive=True)
    _check_number("slow_start_duration", settings.slow_start_duration, 0)
    _check_number("slow_start_overload", settings.slow_start_overload, 0, exclusive=True)
    _check_number("slow_start_window", settings.slow_start_window, 0, exclusive=True)


def _check_number(
    name: str, value: float, minimum: float, maximum: float = math.inf, *, exclusive: bool = False
) -> None:
    """Raise SettingsError unless the value is a finite number from `minimum` to `maximum`.

    Where `exclusive` is set, the value must be above `minimum`.
    """
    if not _is_finite_number(value) or value < minimum or value > maximum or (exclusive and value == minimum):
        raise SettingsError(name, f"{value!r} is not a number in its range")


def _is_finite_number(value: object) -> bool:
    """Whether a value is a number that a float can hold; an integer of 400 digits is not."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    try:
        return math.isfinite(value)
    except OverflowError:
        return False
