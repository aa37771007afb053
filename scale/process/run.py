"""Experiments of the kind `process`: a limiter process for each size, its phases and what they cost."""

from __future__ import annotations

import itertools
import tempfile
from pathlib import Path
from random import Random
from typing import TypedDict

import uvloop

from scale.experiment import ProgressReporter, ResultLine, ResultRecorder
from scale.process.environment import Environment
from scale.process.limiter_process import LOG_TIME_LENGTH, LimiterProcess
from scale.process.phases import phases_of, play_phases
from scale.process.plan import ProcessExperiment
from scale.process.slopes import MIN_SIZES, fit_slopes


class StartFigures(TypedDict):
    """How a limiter process started, up to the call for the endpoint list."""

    discovery: str
    known: bool
    seed: int
    ready_s: float | None  # None if it was not ready within the experiment's time
    start_processor_s: float
    list_bytes: int
    lists_asked: int
    lists_bytes_in: int


class EndFigures(TypedDict):
    """Memory and log of a limiter process after all phases."""

    peak_mb: float
    resident_mb: float
    warnings: int
    first_warning: str


# The figures that slopes are fitted to: of the result lines of sizes, and of those of phases.
SIZE_FIGURES = ("ready_s", "start_processor_s", "peak_mb", "resident_mb", "list_bytes")
PHASE_FIGURES = ("core", "processor_ms_a_request", "added_p50_ms", "added_p99_ms")


def run(experiment: ProcessExperiment, record: ResultRecorder, progress: ProgressReporter) -> None:
    """Run all sizes one after another; record a line for each start, each phase and each slope."""
    lines: list[ResultLine] = []

    def keep(line: ResultLine) -> None:
        lines.append(line)
        record(line)

    for servers, limiters in itertools.product(experiment.servers, experiment.limiters):
        progress(f"process: {servers} servers, {limiters} limiters")
        uvloop.run(_play_size(experiment, servers, limiters, keep))
    for swept in ("servers", "limiters"):
        if len(set(getattr(experiment, swept))) >= MIN_SIZES:
            _record_slopes(experiment, swept, lines, record)


def _record_slopes(
    experiment: ProcessExperiment, swept: str, lines: list[ResultLine], record: ResultRecorder
) -> None:
    """Record slopes over what was swept: those of the starts, then those of each phase."""
    size_lines = [line for line in lines if line["line"] == "size" and line["ready_s"] is not None]
    for slope in fit_slopes("process", swept, size_lines, SIZE_FIGURES):
        record({**slope, "phase": ""})
    for phase in phases_of(experiment):
        phase_lines = [line for line in lines if line.get("phase") == phase.name]
        for slope in fit_slopes("process", swept, phase_lines, PHASE_FIGURES):
            record({**slope, "phase": phase.name})


async def _play_size(
    experiment: ProcessExperiment, servers: int, limiters: int, record: ResultRecorder
) -> None:
    rng = Random(f"{experiment.seed} {servers} {limiters}")
    environment = Environment(experiment, servers, limiters, rng)
    size = {"servers": servers, "limiters": limiters}
    with tempfile.TemporaryDirectory() as folder:
        limiter = await environment.start(Path(folder))
        try:
            ready_s = await limiter.wait_until_ready(experiment.ready_within_s)
            start_figures = _start_figures(environment, limiter, ready_s)
            if ready_s is not None:
                for line in await play_phases(environment, limiter):
                    record({"kind": "process", "line": "phase", **size, **line})
            end_figures = _end_figures(limiter)
            record({"kind": "process", "line": "size", **size, **start_figures, **end_figures})
        finally:
            await limiter.stop()
            environment.close()


def _start_figures(environment: Environment, limiter: LimiterProcess, ready_s: float | None) -> StartFigures:
    experiment = environment.experiment
    return {
        "discovery": experiment.discovery,
        "known": experiment.has_known_list,
        "seed": experiment.seed,
        "ready_s": None if ready_s is None else round(ready_s, 3),
        "start_processor_s": limiter.processor_seconds(),
        "list_bytes": len(environment.endpoints.encode_full_list()),
        "lists_asked": environment.discovery.full_list_calls,
        "lists_bytes_in": environment.discovery.traffic.bytes_in,
    }


def _end_figures(limiter: LimiterProcess) -> EndFigures:
    return {
        "peak_mb": round(limiter.memory_mb("VmHWM"), 1),
        "resident_mb": round(limiter.memory_mb("VmRSS"), 1),
        "warnings": len(limiter.warnings),
        "first_warning": limiter.warnings[0][LOG_TIME_LENGTH:] if limiter.warnings else "",
    }
