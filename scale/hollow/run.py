"""Plays a hollow-limiter experiment."""

from __future__ import annotations

from typing import Any

from ..experiment import Progress, Record
from .plan import HollowExperiment


def run(experiment: HollowExperiment, record: Record, progress: Progress) -> None:
    """One line of results."""
    line: dict[str, Any] = {"seed": experiment.seed}
    record(line)
