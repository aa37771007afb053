"""Loading of experiments from TOML files, and running them.

The key `kind` of a file names one of KINDS. The modules of a kind are imported only when a file of that kind
is loaded, so that a kind works without the dependencies of another.
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
# One line of results: JSON values by key.
ResultLine = Mapping[str, object]
ResultRecorder = Callable[[ResultLine], None]
ProgressReporter = Callable[[str], None]

KIND_KEY = "kind"
FIELD_ERROR = re.compile(r"Object (contains unknown|missing required) field `(\w*)`")
# A problem that the checks of an experiment type found. It begins with a key relative to the table that
# msgspec names.
PROBLEM_WITH_KEY = re.compile(r"([a-z_]+(?:\[\d+\])?(?:\.[a-z_]+)?): (.*)")


class Kind(NamedTuple):
    """Modules of a kind of experiment.

    Attributes:
        plan_module: name of the module that defines the type of the experiment.
        plan_type: name of that type.
        runner_module: name of the module whose function `run` runs the experiment.
    """

    plan_module: str
    plan_type: str
    runner_module: str


KINDS = {
    "hollow": Kind("scale.hollow.plan", "HollowExperiment", "scale.hollow.run"),
    "process": Kind("scale.process.plan", "ProcessExperiment", "scale.process.run"),
    "module": Kind("scale.process.plan", "PolicyEngineExperiment", "scale.process.engine_sweep"),
}


def load_experiment(path: Path, seed: int | None) -> Experiment:
    """Read an experiment from a file and validate it.

    Args:
        path: path of the TOML file.
        seed: the seed to use instead of the one in the file; None for the one in the file.

    Raises:
        ExperimentError: the file cannot be read, or its content is invalid.
    """
    data = _read_toml(path)
    kind = data.get(KIND_KEY)
    if not isinstance(kind, str) or kind not in KINDS:
        raise ExperimentError(KIND_KEY, f"{kind!r} is not one of {', '.join(KINDS)}")
    if seed is not None:
        data["seed"] = seed
    kind_location = KINDS[kind]
    plan: type[Experiment] = getattr(
        importlib.import_module(kind_location.plan_module), kind_location.plan_type
    )
    try:
        return msgspec.convert(data, plan)
    except msgspec.ValidationError as error:
        raise ExperimentError(*_split_validation_message(str(error))) from error


def run(experiment: Experiment, record: ResultRecorder, progress: ProgressReporter) -> None:
    """Run an experiment.

    Args:
        experiment: the experiment, as `load_experiment` returned it.
        record: called with each result line.
        progress: called with each line of text that reports the progress of the run.
    """
    kind = KINDS[str(type(experiment).__struct_config__.tag)]
    importlib.import_module(kind.runner_module).run(experiment, record, progress)


def _read_toml(path: Path) -> dict[str, object]:
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        raise ExperimentError(str(path), _format_error_in_one_line(error)) from error
    except tomllib.TOMLDecodeError as error:
        raise ExperimentError(str(path), f"invalid TOML: {_format_error_in_one_line(error)}") from error


def _format_error_in_one_line(error: Exception) -> str:
    text = str(error)
    if isinstance(error, OSError) and error.strerror:
        text = error.strerror
    return " ".join(text.split())


def _split_validation_message(message: str) -> tuple[str, str]:
    """Return key and problem of a message of msgspec.

    For example, `Expected ... - at $.a.b` becomes `a.b` and `expected ...`.
    """
    problem, _, location = " ".join(message.split()).partition(" - at ")
    path = location.strip("`").removeprefix("$").removeprefix(".")
    field_error = FIELD_ERROR.match(problem)
    if field_error is not None:
        is_unknown = "unknown" in field_error[1]
        problem = (
            f"{field_error[2]}: {'unknown key for this kind of experiment' if is_unknown else 'missing'}"
        )
    problem_with_key = PROBLEM_WITH_KEY.match(problem)
    if problem_with_key is not None:
        return f"{path}.{problem_with_key[1]}" if path else problem_with_key[1], problem_with_key[2]
    return path or "file", f"{problem[:1].lower()}{problem[1:]}"
