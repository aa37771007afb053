"""Experiments as TOML files: reading and checking them, and finding what runs each kind.

A file's key `kind` names one of KINDS. The types and runners of a kind are imported only when a file asks for
them, so that a kind works without what another one needs.
"""

from __future__ import annotations

import importlib
import re
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

Experiment = msgspec.Struct
Record = Callable[[dict[str, Any]], None]
Progress = Callable[[str], None]


class Kind(NamedTuple):
    """Where a kind of experiment is found: its plan's module and type, and the module that has its `run`."""

    plan: str
    type: str
    runner: str


KINDS = {
    "hollow": Kind("scale.hollow.plan", "HollowExperiment", "scale.hollow.run"),
    "process": Kind("scale.process.plan", "ProcessExperiment", "scale.process.run"),
    "module": Kind("scale.process.plan", "ModuleExperiment", "scale.process.module"),
}


class ExperimentError(Exception):
    """A file that cannot be played; the message is one line, `KEY: what is wrong`."""


def load(path: Path, seed: int | None) -> Experiment:
    """Read and check an experiment; `seed`, if given, goes before the file's own.

    Raises ExperimentError.
    """
    try:
        data = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        raise ExperimentError(f"{path}: {_plain(error)}") from None
    except tomllib.TOMLDecodeError as error:
        raise ExperimentError(f"{path}: not TOML: {_plain(error)}") from None
    kind = data.get("kind")
    if not isinstance(kind, str) or kind not in KINDS:
        raise ExperimentError(f"kind: {kind!r} is none of {', '.join(KINDS)}")
    if seed is not None:
        data["seed"] = seed
    where = KINDS[kind]
    plan: type[Experiment] = getattr(importlib.import_module(where.plan), where.type)
    try:
        return msgspec.convert(data, plan)
    except msgspec.ValidationError as error:
        raise ExperimentError(_told(str(error))) from None


def run(experiment: Experiment, record: Record, progress: Progress) -> None:
    """Play an experiment: `record` takes a line of results at a time, `progress` lines for whoever waits."""
    kind = KINDS[str(type(experiment).__struct_config__.tag)]
    importlib.import_module(kind.runner).run(experiment, record, progress)


def _plain(error: Exception) -> str:
    text = error.strerror if isinstance(error, OSError) and error.strerror else str(error)
    return " ".join(text.split())


def _told(message: str) -> str:
    """msgspec's message with the key first: `Expected ... - at $.a.b` becomes `a.b: expected ...`."""
    text, _, at = " ".join(message.split()).partition(" - at ")
    path = at.strip("`").removeprefix("$").removeprefix(".")
    if named := re.match(r"Object (contains unknown|missing required) field `(\w*)`", text):
        text = f"{named[2]}: {'not a key of this kind' if 'unknown' in named[1] else 'missing'}"
    if re.match(r"[a-z_]+(\[\d+\])?(\.[a-z_]+)?: ", text):  # the key is told, by its place within `path`
        return f"{path}.{text}" if path else text
    return f"{path or 'file'}: {text[:1].lower()}{text[1:]}"
