"""The command line: `python -m scale run EXPERIMENT.toml [--seed N] [--out FILE.jsonl] [--times]`."""

from __future__ import annotations

import resource
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Annotated, TextIO, TypedDict

import typer

from scale.errors import ExperimentError
from scale.experiment import load_experiment
from scale.experiment import run as run_experiment
from scale.results import ResultWriter

EXIT_CODE_INVALID_EXPERIMENT = 2
OUT_OPTION = "--out"


class RunCost(TypedDict):
    """Wall-clock time and peak memory of the run itself, as the last result line."""

    wall_s: float
    peak_resident_mib: int


app = typer.Typer(add_completion=False, help="Run experiments with fleets of limiters.")


@app.callback()
def main() -> None:
    """Run experiments with fleets of limiters."""


@app.command()
def run(
    experiment: Annotated[Path, typer.Argument(help="Path of the experiment, a TOML file.")],
    seed: Annotated[int | None, typer.Option(help="Random seed, instead of the one in the file.")] = None,
    out: Annotated[Path | None, typer.Option(help="File for the JSON lines, instead of stdout.")] = None,
    times: Annotated[
        bool, typer.Option(help="Add a line with the time and memory that the run took.")
    ] = False,
) -> None:
    """Run one experiment. An invalid file or option gives an error of one line and exit code 2."""
    try:
        plan = load_experiment(experiment, seed)
        with _open_output(out) as file:
            results = ResultWriter(file)
            started_at = time.monotonic()
            run_experiment(plan, results.write_line, _print_progress)
            if times:
                results.write_line(_measure_run_cost(started_at))
    except ExperimentError as error:
        print(f"scale: {error}", file=sys.stderr)
        raise typer.Exit(EXIT_CODE_INVALID_EXPERIMENT) from error
    results.print_tables(sys.stderr)


@contextmanager
def _open_output(path: Path | None) -> Iterator[TextIO]:
    """Open the file at `path` for writing, or provide standard output if `path` is None.

    Raises:
        ExperimentError: the file cannot be opened.
    """
    if path is None:
        yield sys.stdout
        return
    try:
        file = path.open("w", encoding="utf-8")
    except OSError as error:
        raise ExperimentError(OUT_OPTION, str(error.strerror)) from error
    with file:
        yield file


def _print_progress(text: str) -> None:
    print(text, file=sys.stderr, flush=True)


def _measure_run_cost(started_at: float) -> RunCost:
    peak_kib = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    elapsed_s = time.monotonic() - started_at
    return {"wall_s": round(elapsed_s, 1), "peak_resident_mib": round(peak_kib / 1024)}


if __name__ == "__main__":
    app(prog_name="scale")
