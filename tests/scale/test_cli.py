"""Tests of the command line of scale: its input, its output and its errors about an invalid file."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest
from typer.testing import CliRunner

from scale.__main__ import app
from scale.experiment import load_experiment
from tests.support.paths import REPOSITORY_ROOT

HOLLOW_EXPERIMENTS = sorted((REPOSITORY_ROOT / "scale" / "experiments").glob("hollow-*.toml"))
SMALL_EXPERIMENT = REPOSITORY_ROOT / "scale" / "experiments" / "hollow-small.toml"


@pytest.mark.parametrize("path", HOLLOW_EXPERIMENTS, ids=lambda path: path.stem)
def test_every_shipped_experiment_can_be_read(path: Path) -> None:
    assert load_experiment(path, 7).seed == 7  # type: ignore[attr-defined]


@pytest.mark.parametrize(
    ("old", "new", "expected_message"),
    [
        ("[servers]", "colour = 1\n[servers]", "colour: unknown key for this kind of experiment"),
        ("per_limiter", "per_limitr", "servers.per_limitr: unknown key for this kind of experiment"),
        ("limiters = 12\n", "", "limiters: missing"),
        ("limiters = 12", "limiters = 1", "limiters: expected `int` >= 2"),
        ("duration = 20000.0", "duration = 'long'", "duration: expected `float`, got `str`"),
        ("share = 0.53", "share = 1.53", "classes[0].share: expected `float` <= 1.0"),
        ('kind = "lose-zone"', 'kind = "lose-all"', "faults[5].kind: invalid value 'lose-all'"),
        ("set_size = [8, 12]", "set_size = [12, 8]", "clients.set_size: expected low <= high, got [12, 8]"),
        ("duration = 20000.0", "duration = inf", "duration: not a finite number"),
        (
            "burst = 3.5",
            "burst = 0.5",
            "plans[0].burst: must be at least 1 without max_open, because each request takes 1 unit",
        ),
        ("zone = 1\n", "zone = 3\n", "faults[5].zone: 3 is not less than the number of zones, 3"),
        ('kind = "hollow"', 'kind = "solid"', "kind: 'solid' is not one of hollow, process, module"),
        ('kind = "hollow"', "kind = ", "invalid TOML"),
    ],
)
def test_an_invalid_file_prints_one_error_line_and_exits_with_code_2(
    tmp_path: Path, old: str, new: str, expected_message: str
) -> None:
    text = SMALL_EXPERIMENT.read_text()
    assert old in text
    path = tmp_path / "wrong.toml"
    path.write_text(text.replace(old, new, 1))
    result = CliRunner().invoke(app, ["run", str(path)])
    assert result.exit_code == 2
    assert result.stdout == ""
    assert result.stderr.startswith("scale: ")
    assert result.stderr.count("\n") == 1
    assert expected_message in result.stderr


@pytest.mark.parametrize(
    "arguments",
    [["no-such.toml"], [str(SMALL_EXPERIMENT), "--seed", "-1"], [str(SMALL_EXPERIMENT), "--out", "no/such"]],
    ids=["experiment", "seed", "out"],
)
def test_an_invalid_argument_prints_one_error_line_and_exits_with_code_2(arguments: list[str]) -> None:
    result = CliRunner().invoke(app, ["run", *arguments])
    assert result.exit_code == 2
    assert result.stderr.count("\n") == 1


def test_result_lines_go_to_the_file_or_to_stdout_and_the_table_to_stderr(tmp_path: Path) -> None:
    out_path = tmp_path / "out.jsonl"
    arguments = ["run", str(SMALL_EXPERIMENT), "--seed", "3"]
    # A separate process shows that the results do not depend on the order of sets or the ids of objects.
    command = [sys.executable, "-m", "scale", *arguments]
    run_to_stdout = subprocess.run(command, cwd=REPOSITORY_ROOT, capture_output=True, text=True, check=True)
    run_to_file = CliRunner().invoke(app, [*arguments, "--out", str(out_path), "--times"])
    assert run_to_file.exit_code == 0
    assert run_to_file.stdout == ""
    *result_lines, times_line = out_path.read_text().splitlines()
    assert run_to_stdout.stdout.splitlines() == result_lines
    assert json.loads(result_lines[0])["seed"] == 3
    assert "wall_s" in json.loads(times_line)
    assert "news_never_learnt" in run_to_stdout.stderr
    assert "20.0 s of 20.0 s" in run_to_stdout.stderr
