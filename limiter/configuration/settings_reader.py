"""Reads settings from a mapping of paths to values, whether they were written as text or as JSON.

The text of the simulator (`limiter.codecs.settings_text`) and the JSON of a configuration file
(`limiter.configuration.settings_json`) are both converted to such a mapping. The paths are dotted:
`classes.0.deadline` is the deadline of the first request class, and `classes.count` is the number of classes.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import TypeVar

from limiter.model.events import LoadMetric
from limiter.model.settings import DedupScope, Idempotency, QuotaPlan, RequestClass, Settings, SettingsError

# A value of a setting. The text form has only values of type `str`, JSON has all four types.
SettingValue = bool | int | float | str
_Value = TypeVar("_Value")

LOAD_METRICS = {
    "rif": LoadMetric.IN_FLIGHT,
    "q": LoadMetric.QUEUED,
    "busy": LoadMetric.UTILIZATION,
    "lat_ms": LoadMetric.SERVICE_TIME,
    "rate": LoadMetric.THROUGHPUT,
    "fail_rate": LoadMetric.ERROR_RATE,
}
# The message of an invalid value (`SettingsReader._read`) lists the words of the three mappings below.
IDEMPOTENCY = {
    "repeatable": Idempotency.IDEMPOTENT,
    "by_key": Idempotency.IDEMPOTENCY_KEY,
    "once": Idempotency.NOT_IDEMPOTENT,
}
DEDUP_SCOPES = {scope.value: scope for scope in DedupScope}
FLAGS = {"true": True, "false": False}


def format_value(value: SettingValue) -> str:
    """Format a value as in the text form of settings; error messages quote values in this form too."""
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value)


class SettingsReader:
    """Reads single settings by path.

    Each `read_` method takes a path and the default for an absent setting; without a default the setting is
    required. A missing or invalid value raises SettingsError, which names the path.
    """

    def __init__(self, values: Mapping[str, SettingValue]) -> None:
        """Create a reader of `values`, a mapping from the paths of the settings to their values."""
        self._values = values

    def read_number(self, path: str, default: float | None = None) -> float:
        """Return a number; a string is accepted if `float` accepts it."""
        return self._read(path, _to_float, default)

    def read_integer(self, path: str, default: int | None = None) -> int:
        """Return an integer; a string is accepted if `int` accepts it."""
        return self._read(path, _to_integer, default)

    def read_flag(self, path: str, default: bool | None = None) -> bool:
        """Return the boolean value of a setting, which is `true` or `false` in the text form."""
        return self.read_choice(path, FLAGS, default)

    def read_text(self, path: str, default: str | None = None) -> str:
        """Return a value formatted as in the text form."""
        return self._read(path, format_value, default)

    def read_choice(self, path: str, choices: Mapping[str, _Value], default: _Value | None = None) -> _Value:
        """Return the entry of `choices` whose key is the text of the setting; other texts are invalid."""
        return self._read(path, lambda value: choices[format_value(value)], default)

    def _read(self, path: str, convert: Callable[[SettingValue], _Value], default: _Value | None) -> _Value:
        value = self._values.get(path)
        if value is None:
            if default is None:
                raise SettingsError(
                    path,
                    "missing, but required (for a key NAME.count, the list NAME must not be empty)",
                )
            return default
        try:
            return convert(value)
        except (TypeError, ValueError, KeyError) as error:
            raise SettingsError(
                path,
                f"{format_value(value)!r} is invalid: effect accepts repeatable, by_key or once; "
                "group accepts all, zone or cell; flags accept true or false; "
                "counts and indices accept integers; other keys accept numbers",
            ) from error


def _to_float(value: SettingValue) -> float:
    if isinstance(value, bool):
        raise TypeError
    try:
        return float(value)
    except OverflowError:  # The integer exceeds the range of floats; as text, `float` reads it as infinite.
        return math.inf if int(value) > 0 else -math.inf


def _to_integer(value: SettingValue) -> int:
    if isinstance(value, bool | float):
        raise TypeError
    return int(value)


def read_settings(reader: SettingsReader) -> Settings:
    """Return the settings of one limiter, not yet validated.

    Raises:
        SettingsError: A required setting is missing, or a value cannot be converted. If several settings are
            wrong, the error names the one that is read first.
    """
    request_classes = _read_request_classes(reader)
    plans = _read_plans(reader)
    settings = Settings(
        limiter_index=reader.read_integer("me"),
        limiter_count=reader.read_integer("peersTotal"),
        request_classes=request_classes,
        plans=plans,
        zone=reader.read_integer("myZone", 0),
        max_attempts=reader.read_integer("limits.maxAttempts", 1),
        may_cancel=reader.read_flag("limits.cancelling", False),
        may_health_check=reader.read_flag("limits.probing", False),
        has_counter=reader.read_flag("extra.mayCount", False),
        may_gossip=reader.read_flag("limits.peers", False),
        gossip_intake_per_second=reader.read_number("extra.mailPerS", 0.0),
        may_hedge=reader.read_flag("limits.secondCopies", False),
        clients_honor_retry_after=reader.read_flag("limits.retryAfter", False),
        max_retry_after=reader.read_number("limits.maxRetryAfter", 0.0),
        polls_discovery=reader.read_text("discovery", "pushed") == "on_request",
        poll_interval=reader.read_number("rules.askEvery", 10000.0),
    )
    settings = _add_unit_accounting_settings(settings, reader)
    return _add_slow_start_settings(settings, reader)


def _add_unit_accounting_settings(settings: Settings, reader: SettingsReader) -> Settings:
    """Return a copy with the settings of the counter, of the meter and of units billed after the response."""
    return replace(
        settings,
        counter_timeout=reader.read_number("extra.countLimit", 50.0),
        meter_period=reader.read_number("extra.meter", 0.0),
        is_post_paid=reader.read_flag("extra.postPaid", False),
        max_units=reader.read_number("extra.maxUnits", 1.0),
    )


def _add_slow_start_settings(settings: Settings, reader: SettingsReader) -> Settings:
    """Return a copy with the settings of slow start."""
    return replace(
        settings,
        slow_start_capacity=reader.read_number("rules.startCapacity", 1.0),
        slow_start_duration=reader.read_number("rules.rampTime", 0.0),
        slow_start_overload=reader.read_number("rules.overloadFactor", 1.0),
        slow_start_window=reader.read_number("rules.fall", 1000.0),
    )


def read_load_report_metrics(reader: SettingsReader) -> tuple[LoadMetric | None, ...]:
    """Return the metrics of a load report, in its order; None marks an unknown metric."""
    names = reader.read_text("report.fields", "")
    if not names:
        return ()
    return tuple(LOAD_METRICS.get(name) for name in names.split(","))


def _read_request_classes(reader: SettingsReader) -> tuple[RequestClass, ...]:
    count = reader.read_integer("classes.count")
    return tuple(_read_request_class(reader, f"classes.{index}") for index in range(count))


def _read_request_class(reader: SettingsReader, path: str) -> RequestClass:
    return RequestClass(
        latency_objective=reader.read_number(f"{path}.aim"),
        deadline=reader.read_number(f"{path}.deadline"),
        idempotency=reader.read_choice(f"{path}.effect", IDEMPOTENCY),
        dedup_scope=reader.read_choice(f"{path}.group", DEDUP_SCOPES, DedupScope.ALL),
        dedup_window=reader.read_number(f"{path}.window", 0.0),
        priority_weight=reader.read_number(f"{path}.worth", 1.0),
        late_weight=reader.read_number(f"{path}.lateWorth", 0.0),
        streams_response=reader.read_flag(f"{path}.stream", False),
    )


def _read_plans(reader: SettingsReader) -> tuple[QuotaPlan, ...]:
    count = reader.read_integer("contracts.count")
    return tuple(_read_plan(reader, f"contracts.{index}") for index in range(count))


def _read_plan(reader: SettingsReader, path: str) -> QuotaPlan:
    return QuotaPlan(
        rate=reader.read_number(f"{path}.quotaRate", 0.0),
        burst=reader.read_number(f"{path}.peakUnits", 0.0),
        max_concurrency=reader.read_integer(f"{path}.open", 0),
        ceiling_rate=reader.read_number(f"{path}.hardRate", 0.0),
        ceiling_burst=reader.read_number(f"{path}.capDepth", 0.0),
        price=reader.read_number(f"{path}.valueFactor", 1.0),
        over_quota_cost=reader.read_number(f"{path}.beyondCosts", 0.0),
        over_quota_weight=reader.read_number(f"{path}.extraWorth", 0.0),
    )
