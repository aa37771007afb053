"""Records of a batch: events of the decision policy, and what only the simulator's wire has beside them."""

from __future__ import annotations

from dataclasses import dataclass

from limiter.model.events import AttemptEnded, Event, HealthCheckEnded


@dataclass(frozen=True, slots=True)
class InstanceOpened:
    """An instance starts, with no state.

    Attributes:
        seed: Seed of its random draws.
        settings_text: Its settings as `path=value` lines in UTF-8.
    """

    seed: int
    settings_text: bytes


@dataclass(frozen=True, slots=True)
class InstanceClosed:
    """An instance has ended, and its state with it."""


@dataclass(frozen=True, slots=True)
class EventWithRawLoadReport:
    """An event whose load report can only be read with the field order in the instance's settings.

    Attributes:
        event: The event without its load report.
        values: The values of the load report, in the order of the settings' `report.fields`.
    """

    event: AttemptEnded | HealthCheckEnded
    values: tuple[float, ...]


Record = InstanceOpened | InstanceClosed | EventWithRawLoadReport | Event
