"""The command line: `python -m scale run EXPERIMENT.toml [--seed N] [--out FILE.jsonl] [--times]`."""

from __future__ import annotations

import resource
import sys
import time
from contextlib import ExitStack
from pathlib import Path
from typing import Annotated

import typer

from .experiment import ExperimentError, load
from .experiment import run as play
from .results import Results

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
        plan = load(experiment, seed)
        with ExitStack() as stack:
            try:
                file = sys.stdout if out is None else stack.enter_context(out.open("w", encoding="utf-8"))
            except OSError as error:
                raise ExperimentError(f"--out: {error.strerror}") from None
            results, began = Results(file), time.monotonic()
            play(plan, results.record, lambda text: print(text, file=sys.stderr, flush=True))
            if times:
                peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
                took = time.monotonic() - began
                results.record({"wall_s": round(took, 1), "peak_resident_mib": round(peak / 1024)})
    except ExperimentError as error:
        print(f"scale: {error}", file=sys.stderr)
        raise typer.Exit(2) from None
    results.show(sys.stderr)


if __name__ == "__main__":
    app(prog_name="scale")
