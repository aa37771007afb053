"""Records of a batch: events of the decision policy, and records that only the simulator's protocol has."""

from __future__ import annotations

from dataclasses import dataclass

from limiter.model.events import AttemptEnded, Event, HealthCheckEnded


@dataclass(frozen=True, slots=True)
class InstanceOpened:
    """An instance starts without any state.

    Attributes:
        seed: Seed of its random number generator.
        settings_text: Its settings as lines `path=value` in UTF-8.
    """

    seed: int
    settings_text: bytes


@dataclass(frozen=True, slots=True)
class InstanceClosed:
    """An instance has ended; its state is discarded."""


@dataclass(frozen=True, slots=True)
class EventWithRawLoadReport:
    """An event whose load report is not decoded yet, since that needs the settings of the instance.

    Attributes:
        event: The event without its load report.
        values: The values of the load report, in the order of the setting `report.fields`.
    """

    event: AttemptEnded | HealthCheckEnded
    values: tuple[float, ...]


Record = InstanceOpened | InstanceClosed | EventWithRawLoadReport | Event
