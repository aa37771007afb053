"""Experiments as TOML files: reading and checking them, and finding what runs each kind.

A file's key `kind` names one of KINDS. The types and runners of a kind are imported only when a file asks for
them, so that a kind works without what another one needs.
"""

from __future__ import annotations

import importlib
import re
import tomllib
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import NamedTuple

import msgspec

from scale.errors import ExperimentError

Experiment = msgspec.Struct
# A line of results, by key; the values are of JSON's types.
ResultLine = Mapping[str, object]
ResultRecorder = Callable[[ResultLine], None]
ProgressReporter = Callable[[str], None]

KIND_KEY = "kind"
WRONG_FIELD = re.compile(r"Object (contains unknown|missing required) field `(\w*)`")
# A problem found by a plan's own checks: it begins with the key, as the table that msgspec names has it.
KEYED_PROBLEM = re.compile(r"([a-z_]+(?:\[\d+\])?(?:\.[a-z_]+)?): (.*)")


class Kind(NamedTuple):
    """Where a kind of experiment is found: its plan's module and type, and the module that has its `run`."""

    plan: str
    type: str
    runner: str


KINDS = {
    "hollow": Kind("scale.hollow.plan", "HollowExperiment", "scale.hollow.run"),
    "process": Kind("scale.process.plan", "ProcessExperiment", "scale.process.run"),
    "module": Kind("scale.process.plan", "PolicyEngineExperiment", "scale.process.engine_sweep"),
}


def load_experiment(path: Path, seed: int | None) -> Experiment:
    """Read and check an experiment.

    Args:
        path: of the TOML file.
        seed: takes the place of the file's own seed, unless it is None.

    Raises:
        ExperimentError: the file cannot be read, or its content is not valid.
    """
    data = _read_toml(path)
    kind = data.get(KIND_KEY)
    if not isinstance(kind, str) or kind not in KINDS:
        raise ExperimentError(KIND_KEY, f"{kind!r} is none of {', '.join(KINDS)}")
    if seed is not None:
        data["seed"] = seed
    location = KINDS[kind]
    plan: type[Experiment] = getattr(importlib.import_module(location.plan), location.type)
    try:
        return msgspec.convert(data, plan)
    except msgspec.ValidationError as error:
        raise ExperimentError(*_key_and_problem(str(error))) from error


def run(experiment: Experiment, record: ResultRecorder, progress: ProgressReporter) -> None:
    """Run an experiment.

    Args:
        experiment: as `load` returned it.
        record: takes the result lines, one by one.
        progress: takes lines of text that show how far the run has come.
    """
    kind = KINDS[str(type(experiment).__struct_config__.tag)]
    importlib.import_module(kind.runner).run(experiment, record, progress)


def _read_toml(path: Path) -> dict[str, object]:
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        raise ExperimentError(str(path), _one_line(error)) from error
    except tomllib.TOMLDecodeError as error:
        raise ExperimentError(str(path), f"not TOML: {_one_line(error)}") from error


def _one_line(error: Exception) -> str:
    text = str(error)
    if isinstance(error, OSError) and error.strerror:
        text = error.strerror
    return " ".join(text.split())


def _key_and_problem(message: str) -> tuple[str, str]:
    """Split msgspec's message: `Expected ... - at $.a.b` becomes `a.b` and `expected ...`."""
    problem, _, location = " ".join(message.split()).partition(" - at ")
    path = location.strip("`").removeprefix("$").removeprefix(".")
    wrong_field = WRONG_FIELD.match(problem)
    if wrong_field is not None:
        is_unknown = "unknown" in wrong_field[1]
        problem = f"{wrong_field[2]}: {'not a key of this kind' if is_unknown else 'missing'}"
    keyed = KEYED_PROBLEM.match(problem)
    if keyed is not None:
        return f"{path}.{keyed[1]}" if path else keyed[1], keyed[2]
    return path or "file", f"{problem[:1].lower()}{problem[1:]}"
