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
from scale.results import Results

EXIT_CODE_WRONG_FILE = 2
OUT_OPTION = "--out"


class OwnCost(TypedDict):
    """What the run itself took, as the last result line."""

    wall_s: float
    peak_resident_mib: int


app = typer.Typer(add_completion=False, help="Experiments on limiters at size.")


@app.callback()
def main() -> None:
    """Experiments on limiters at size."""


@app.command()
def run(
    experiment: Annotated[Path, typer.Argument(help="The experiment, a TOML file.")],
    seed: Annotated[int | None, typer.Option(help="Goes before the file's own seed.")] = None,
    out: Annotated[Path | None, typer.Option(help="Where the JSON lines go, if not to stdout.")] = None,
    times: Annotated[bool, typer.Option(help="Add a line with what the run itself took.")] = False,
) -> None:
    """Play one experiment; a file that cannot be played ends it with one line and exit code 2."""
    try:
        plan = load_experiment(experiment, seed)
        with _output(out) as file:
            results = Results(file)
            started_at = time.monotonic()
            run_experiment(plan, results.record, _show_progress)
            if times:
                results.record(_own_cost(started_at))
    except ExperimentError as error:
        print(f"scale: {error}", file=sys.stderr)
        raise typer.Exit(EXIT_CODE_WRONG_FILE) from error
    results.show(sys.stderr)


@contextmanager
def _output(path: Path | None) -> Iterator[TextIO]:
    """Open the file at `path`, or take standard output.

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


def _show_progress(text: str) -> None:
    print(text, file=sys.stderr, flush=True)


def _own_cost(started_at: float) -> OwnCost:
    peak_kib = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    seconds = time.monotonic() - started_at
    return {"wall_s": round(seconds, 1), "peak_resident_mib": round(peak_kib / 1024)}


if __name__ == "__main__":
    app(prog_name="scale")
