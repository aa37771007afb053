"""Reads settings from `path=value` lines, the form in which the simulator gives them.

A JSON configuration is flattened to the same lines, so that one parser reads both.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import TypeVar

from limiter.model.events import LoadMetric
from limiter.model.settings import DedupScope, Idempotency, QuotaPlan, RequestClass, Settings, SettingsError

LOAD_METRICS = {
    "rif": LoadMetric.IN_FLIGHT,
    "q": LoadMetric.QUEUED,
    "busy": LoadMetric.UTILIZATION,
    "lat_ms": LoadMetric.SERVICE_TIME,
    "rate": LoadMetric.THROUGHPUT,
    "fail_rate": LoadMetric.ERROR_RATE,
}
IDEMPOTENCY = {
    "repeatable": Idempotency.IDEMPOTENT,
    "by_key": Idempotency.IDEMPOTENCY_KEY,
    "once": Idempotency.NOT_IDEMPOTENT,
}
DEDUP_SCOPES = {scope.value: scope for scope in DedupScope}
FLAGS = {"true": True, "false": False}
_Value = TypeVar("_Value")


class SettingsText:
    """Settings as `path=value` lines, read by path.

    Each `read_` method takes a path and the value to use where the text does not have it; without such a
    default the setting is required. A missing or malformed value raises SettingsError, which names the path.
    """

    def __init__(self, text: bytes) -> None:
        """Split the text into its lines; lines without an equals sign are passed over."""
        self._values: dict[str, str] = {}
        for line in text.decode("utf-8", "replace").splitlines():
            path, equals_sign, value = line.partition("=")
            if equals_sign:
                self._values[path.strip()] = value.strip()

    def read_number(self, path: str, default: float | None = None) -> float:
        """Return a number, as `float` reads it."""
        return self._read(path, float, default)

    def read_integer(self, path: str, default: int | None = None) -> int:
        """Return a whole number in decimal."""
        return self._read(path, int, default)

    def read_flag(self, path: str, default: bool | None = None) -> bool:
        """Return whether a setting is `true`; the only other value is `false`."""
        return self.read_choice(path, FLAGS, default)

    def read_text(self, path: str, default: str | None = None) -> str:
        """Return a value as it stands."""
        return self._read(path, str, default)

    def read_choice(self, path: str, choices: Mapping[str, _Value], default: _Value | None = None) -> _Value:
        """Return what the choices give for a value; a value that is not among them is malformed."""
        return self._read(path, choices.__getitem__, default)

    def _read(self, path: str, convert: Callable[[str], _Value], default: _Value | None) -> _Value:
        text = self._values.get(path)
        if text is None:
            if default is None:
                raise SettingsError(path, "missing")
            return default
        try:
            return convert(text)
        except (ValueError, KeyError) as error:
            raise SettingsError(path, f"{text!r} makes no sense") from error


def parse_settings(text: SettingsText) -> Settings:
    """Return the settings of one limiter, not yet validated.

    Raises:
        SettingsError: a required setting is missing, or a value cannot be read.
    """
    class_count = text.read_integer("classes.count")
    request_classes = tuple(_parse_request_class(text, f"classes.{index}") for index in range(class_count))
    plan_count = text.read_integer("contracts.count")
    plans = tuple(_parse_plan(text, f"contracts.{index}") for index in range(plan_count))
    return Settings(
        limiter_index=text.read_integer("me"),
        limiter_count=text.read_integer("peersTotal"),
        request_classes=request_classes,
        plans=plans,
        zone=text.read_integer("myZone", 0),
        max_attempts=text.read_integer("limits.maxAttempts", 1),
        may_cancel=text.read_flag("limits.cancelling", False),
        may_health_check=text.read_flag("limits.probing", False),
        has_counter=text.read_flag("extra.mayCount", False),
        may_gossip=text.read_flag("limits.peers", False),
        gossip_intake_per_second=text.read_number("extra.mailPerS", 0.0),
        may_hedge=text.read_flag("limits.secondCopies", False),
        honours_retry_after=text.read_flag("limits.retryAfter", False),
        max_retry_after=text.read_number("limits.maxRetryAfter", 0.0),
        polls_discovery=text.read_text("discovery", "pushed") == "on_request",
        poll_interval=text.read_number("rules.askEvery", 10000.0),
        counter_timeout=text.read_number("extra.countLimit", 50.0),
        meter_period=text.read_number("extra.meter", 0.0),
        post_paid=text.read_flag("extra.postPaid", False),
        max_units=text.read_number("extra.maxUnits", 1.0),
        slow_start_capacity=text.read_number("rules.startCapacity", 1.0),
        slow_start_duration=text.read_number("rules.rampTime", 0.0),
        slow_start_overload=text.read_number("rules.overloadFactor", 1.0),
        slow_start_window=text.read_number("rules.fall", 1000.0),
    )


def parse_load_fields(text: SettingsText) -> tuple[LoadMetric | None, ...]:
    """Return the metrics of a load report in order; None stands for one that is unknown here."""
    names = text.read_text("report.fields", "")
    if not names:
        return ()
    return tuple(LOAD_METRICS.get(name) for name in names.split(","))


def _parse_request_class(text: SettingsText, path: str) -> RequestClass:
    return RequestClass(
        latency_objective=text.read_number(f"{path}.aim"),
        deadline=text.read_number(f"{path}.deadline"),
        idempotency=text.read_choice(f"{path}.effect", IDEMPOTENCY),
        dedup_scope=text.read_choice(f"{path}.group", DEDUP_SCOPES, DedupScope.ALL),
        dedup_window=text.read_number(f"{path}.window", 0.0),
        priority_weight=text.read_number(f"{path}.worth", 1.0),
        late_weight=text.read_number(f"{path}.lateWorth", 0.0),
        streaming=text.read_flag(f"{path}.stream", False),
    )


def _parse_plan(text: SettingsText, path: str) -> QuotaPlan:
    return QuotaPlan(
        rate=text.read_number(f"{path}.quotaRate", 0.0),
        burst=text.read_number(f"{path}.peakUnits", 0.0),
        max_concurrency=text.read_integer(f"{path}.open", 0),
        ceiling_rate=text.read_number(f"{path}.hardRate", 0.0),
        ceiling_burst=text.read_number(f"{path}.capDepth", 0.0),
        price=text.read_number(f"{path}.valueFactor", 1.0),
        over_quota_cost=text.read_number(f"{path}.beyondCosts", 0.0),
        over_quota_weight=text.read_number(f"{path}.extraWorth", 0.0),
    )
