"""Experiments of the kind `process`: for each size, a limiter process, its phases of load and their cost."""

from __future__ import annotations

import itertools
import tempfile
from pathlib import Path
from random import Random
from typing import TypedDict

import uvloop

from scale.experiment import ProgressReporter, ResultLine, ResultRecorder
from scale.process.environment import Environment
from scale.process.limiter_process import LOG_TIMESTAMP_LENGTH, LimiterProcess
from scale.process.phases import make_phases, run_phases
from scale.process.plan import ProcessExperiment
from scale.process.slopes import MIN_SIZES, fit_slopes


class StartFigures(TypedDict):
    """Figures of the start of a limiter process, until it is ready with the endpoint list."""

    discovery: str
    known: bool
    seed: int
    ready_s: float | None  # None if the limiter was not ready within `ready_within_s`
    start_processor_s: float
    list_bytes: int
    lists_asked: int
    lists_bytes_in: int


class EndFigures(TypedDict):
    """Memory and log lines of a limiter process after all phases."""

    peak_mb: float
    resident_mb: float
    warnings: int
    first_warning: str


# Figures to which slopes are fitted, in the result lines of sizes and in those of phases.
SIZE_FIGURE_KEYS = ("ready_s", "start_processor_s", "peak_mb", "resident_mb", "list_bytes")
PHASE_FIGURE_KEYS = ("core", "processor_ms_a_request", "added_p50_ms", "added_p99_ms")


def run(experiment: ProcessExperiment, record: ResultRecorder, progress: ProgressReporter) -> None:
    """Run all sizes in sequence. Record a result line for each phase, each size and each slope."""
    lines: list[ResultLine] = []

    def record_and_keep(line: ResultLine) -> None:
        lines.append(line)
        record(line)

    for server_count, limiter_count in itertools.product(experiment.servers, experiment.limiters):
        progress(f"process: {server_count} servers, {limiter_count} limiters")
        uvloop.run(_run_size(experiment, server_count, limiter_count, record_and_keep))
    for swept_key in ("servers", "limiters"):
        if len(set(getattr(experiment, swept_key))) >= MIN_SIZES:
            _record_slopes(experiment, swept_key, lines, record)


def _record_slopes(
    experiment: ProcessExperiment, swept_key: str, lines: list[ResultLine], record: ResultRecorder
) -> None:
    """Record the slopes over `swept_key`: first of the figures of sizes, then of those of each phase."""
    size_lines = [line for line in lines if line["line"] == "size" and line["ready_s"] is not None]
    for slope in fit_slopes("process", swept_key, size_lines, SIZE_FIGURE_KEYS):
        record({**slope, "phase": ""})
    for phase in make_phases(experiment):
        phase_lines = [line for line in lines if line.get("phase") == phase.name]
        for slope in fit_slopes("process", swept_key, phase_lines, PHASE_FIGURE_KEYS):
            record({**slope, "phase": phase.name})


async def _run_size(
    experiment: ProcessExperiment, server_count: int, limiter_count: int, record: ResultRecorder
) -> None:
    rng = Random(f"{experiment.seed} {server_count} {limiter_count}")
    environment = Environment(experiment, server_count, limiter_count, rng)
    size = {"servers": server_count, "limiters": limiter_count}
    with tempfile.TemporaryDirectory() as directory:
        limiter = await environment.start(Path(directory))
        try:
            ready_s = await limiter.wait_until_ready(experiment.ready_within_s)
            start_figures = _collect_start_figures(environment, limiter, ready_s)
            if ready_s is not None:
                for line in await run_phases(environment, limiter):
                    record({"kind": "process", "line": "phase", **size, **line})
            end_figures = _collect_end_figures(limiter)
            record({"kind": "process", "line": "size", **size, **start_figures, **end_figures})
        finally:
            await limiter.stop()
            environment.close()


def _collect_start_figures(
    environment: Environment, limiter: LimiterProcess, ready_s: float | None
) -> StartFigures:
    experiment = environment.experiment
    return {
        "discovery": experiment.discovery,
        "known": experiment.has_configured_endpoints,
        "seed": experiment.seed,
        "ready_s": None if ready_s is None else round(ready_s, 3),
        "start_processor_s": limiter.read_processor_seconds(),
        "list_bytes": len(environment.endpoints.encode_full_list()),
        "lists_asked": environment.discovery.full_list_calls,
        "lists_bytes_in": environment.discovery.traffic.bytes_to_limiter,
    }


def _collect_end_figures(limiter: LimiterProcess) -> EndFigures:
    return {
        "peak_mb": round(limiter.read_memory_mb("VmHWM"), 1),
        "resident_mb": round(limiter.read_memory_mb("VmRSS"), 1),
        "warnings": len(limiter.warning_lines),
        "first_warning": limiter.warning_lines[0][LOG_TIMESTAMP_LENGTH:] if limiter.warning_lines else "",
    }
