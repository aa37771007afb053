"""Settings of a limiter and their validation.

All times and durations are in milliseconds; quota rates are in units per second.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum


class SettingsError(ValueError):
    """A setting is invalid. The message names the setting and describes the problem.

    Attributes:
        name: Name of the setting, or its path in the configuration.
        problem: What is wrong with the setting.
    """

    def __init__(self, name: str, problem: str) -> None:
        """Build the message from the setting's name and the problem."""
        super().__init__(f"{name}: {problem}")
        self.name = name
        self.problem = problem


class Idempotency(Enum):
    """Whether a request that may have run can be sent again."""

    IDEMPOTENT = "repeatable"  # It can be sent again, since running it twice does no harm.
    IDEMPOTENCY_KEY = "keyed"  # It can be sent again to servers that recognize its key (see DedupScope).
    NOT_IDEMPOTENT = "once"  # It cannot be sent again.


class DedupScope(Enum):
    """Which servers discard a duplicate of a request with an idempotency key.

    A duplicate is discarded by every server of the fleet (`ALL`), by the servers in the same zone as the
    server that received the first attempt (`ZONE`), or by the servers in the same cell (`CELL`).
    """

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """Properties shared by all requests of one class: latency objective, retry rules and priority.

    Each request states its class. The weights express the value of a response and are used to compare
    requests when capacity is insufficient for all of them.

    Attributes:
        latency_objective: Latency in milliseconds up to which a response is on time.
        deadline: Milliseconds after which the client gives up.
        idempotency: Whether a request that may have run can be sent again.
        dedup_scope: Which servers discard a duplicate with the same idempotency key.
        dedup_window: Milliseconds for which servers remember an idempotency key.
        priority_weight: Value of a response that is on time, before multiplication by
            `QuotaPlan.price`.
        late_weight: Fraction of the priority weight that a late response is worth.
        streams_response: Whether the response is a stream, whose first part is reported by StreamStarted.
    """

    latency_objective: float
    deadline: float
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    dedup_scope: DedupScope = DedupScope.ALL
    dedup_window: float = 0.0
    priority_weight: float = 1.0
    late_weight: float = 0.0
    streams_response: bool = False


@dataclass(frozen=True, slots=True)
class QuotaPlan:
    """The quota of each customer with one plan, enforced across all limiters.

    A customer has up to three limits: a rate quota, a limit on attempts in flight, and a ceiling rate. A
    request beyond the quota may still be forwarded at a cost; a request beyond the ceiling is never
    forwarded.

    Attributes:
        rate: Rate quota in units per second; 0 if there is none.
        burst: Capacity in units of the token bucket of the rate quota.
        max_concurrency: Maximum number of the customer's attempts in flight; 0 if there is no limit.
        ceiling_rate: Rate in units per second that must never be exceeded; 0 if there is no ceiling.
        ceiling_burst: Capacity in units of the token bucket of the ceiling.
        price: Factor by which the priority weight of requests with this plan is multiplied.
        over_quota_cost: Cost of forwarding a request beyond the quota, as a fraction of its weight.
        over_quota_weight: Value of the response to such a request, as a fraction of its weight.
    """

    rate: float = 0.0
    burst: float = 0.0
    max_concurrency: int = 0
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    price: float = 1.0
    over_quota_cost: float = 0.0
    over_quota_weight: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """All inputs to the decisions of one limiter, besides its events and its random seed.

    All limiters of a fleet have the same settings, except for `limiter_index` and `zone`. The names of the
    settings in a configuration are defined by `read_settings` in `limiter/configuration/settings_reader.py`.

    Attributes:
        limiter_index: Index of this limiter among all limiters, from 0.
        limiter_count: Number of limiters that share the quotas.
        request_classes: The request classes; a request states its class as an index into this tuple.
        plans: The customers' plans; a request states its plan as an index into this tuple.
        zone: Number of the zone that this limiter runs in.
        max_attempts: Maximum number of attempts for each request, including the first.
        may_cancel: Whether attempts may be cancelled.
        may_health_check: Whether health checks may be sent to servers.
        has_counter: Whether the limiters share a counter of units.
        may_hedge: Whether a request may have two attempts in flight at the same time.
        may_gossip: Whether the limiters may send gossip to each other.
        gossip_intake_per_second: Maximum number of gossip messages per second that a limiter receives.
        clients_honor_retry_after: Whether rejected clients receive a Retry-After, which some of them honor.
        max_retry_after: Longest Retry-After, in milliseconds, that clients wait for.
        polls_discovery: Whether limiters poll discovery for the endpoint list; otherwise discovery pushes it.
        poll_interval: Milliseconds since a limiter's last poll after which the limiter is assumed to know
            only the list that the poll returned.
        counter_timeout: Milliseconds after which a counter call has failed.
        meter_period: Milliseconds over which servers meter a customer's usage; 0 if servers do not meter it.
        is_post_paid: Whether the units of a request are an estimate until its response states the actual
            units.
        max_units: Maximum number of units that one request can take.
        slow_start_capacity: Capacity of a server at its start, as a fraction of its full capacity.
        slow_start_duration: Milliseconds in which a server's capacity rises from that fraction to full
            capacity.
        slow_start_overload: Load that a server in slow start can bear, as a multiple of its current capacity.
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
    gossip_intake_per_second: float = 0.0
    clients_honor_retry_after: bool = False
    max_retry_after: float = 0.0
    polls_discovery: bool = False
    poll_interval: float = 10000.0
    counter_timeout: float = 50.0
    meter_period: float = 0.0
    is_post_paid: bool = False
    max_units: float = 1.0
    slow_start_capacity: float = 1.0
    slow_start_duration: float = 0.0
    slow_start_overload: float = 1.0
    slow_start_window: float = 1000.0


def validate_settings(settings: Settings) -> None:
    """Check that the settings are valid.

    Raises:
        SettingsError: A setting is invalid; the error names the first such setting.
    """
    _check_limiter_index(settings)
    if not settings.request_classes:
        raise SettingsError(name="request_classes", problem="expected at least one request class, found none")
    if not settings.plans:
        raise SettingsError(name="plans", problem="expected at least one plan, found none")
    for index, request_class in enumerate(settings.request_classes):
        _check_request_class(f"request_classes[{index}]", request_class)
    for index, plan in enumerate(settings.plans):
        _check_plan(f"plans[{index}]", plan)
    _check_limits(settings)
    _check_slow_start(settings)


def _check_limiter_index(settings: Settings) -> None:
    """Check the number of limiters and this limiter's index."""
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
    _check_number(f"{path}.late_weight", request_class.late_weight, 0)


def _check_plan(path: str, plan: QuotaPlan) -> None:
    _check_number(f"{path}.rate", plan.rate, 0)
    _check_number(f"{path}.burst", plan.burst, 0)
    _check_number(f"{path}.max_concurrency", plan.max_concurrency, 0)
    _check_number(f"{path}.ceiling_rate", plan.ceiling_rate, 0)
    _check_number(f"{path}.ceiling_burst", plan.ceiling_burst, 0)
    _check_number(f"{path}.price", plan.price, 0)
    _check_number(f"{path}.over_quota_cost", plan.over_quota_cost, 0)
    _check_number(f"{path}.over_quota_weight", plan.over_quota_weight, 0)


def _check_limits(settings: Settings) -> None:
    _check_number("max_attempts", settings.max_attempts, 1)
    _check_number("max_retry_after", settings.max_retry_after, 0)
    _check_number("poll_interval", settings.poll_interval, 0, exclusive=True)
    _check_number("counter_timeout", settings.counter_timeout, 0, exclusive=settings.has_counter)
    _check_number("gossip_intake_per_second", settings.gossip_intake_per_second, 0)
    _check_number("meter_period", settings.meter_period, 0)
    _check_number("max_units", settings.max_units, 0)


def _check_slow_start(settings: Settings) -> None:
    _check_number("slow_start_capacity", settings.slow_start_capacity, 0, 1, exclusive=True)
    _check_number("slow_start_duration", settings.slow_start_duration, 0)
    _check_number("slow_start_overload", settings.slow_start_overload, 0, exclusive=True)
    _check_number("slow_start_window", settings.slow_start_window, 0, exclusive=True)


def _check_number(
    name: str, value: float, minimum: float, maximum: float = math.inf, *, exclusive: bool = False
) -> None:
    """Raise SettingsError unless the value is a finite number from `minimum` to `maximum`.

    If `exclusive` is set, the value must be greater than `minimum`.
    """
    if not _is_finite_number(value) or value < minimum or value > maximum or (exclusive and value == minimum):
        raise SettingsError(name, f"{value!r} is not a finite number in the allowed range")


def _is_finite_number(value: object) -> bool:
    """Return whether a value is a finite number in the range of floats; an integer of 400 digits is not."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    try:
        return math.isfinite(value)
    except OverflowError:
        return False
