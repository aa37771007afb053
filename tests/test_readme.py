"""Checks that the README's example prints the output stated there, including its error for invalid input."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

README_PATH = Path(__file__).parents[1] / "README.md"
EXAMPLE_PATTERN = re.compile(r"```python\n(.*?)```", re.DOTALL)
EXAMPLE_OUTPUT_PATTERN = re.compile(r"It prints:\n\n```\n(.*?)```", re.DOTALL)


def test_readme_example_prints_the_documented_output(capsys: pytest.CaptureFixture[str]) -> None:
    """The README has exactly one example. Its output, which ends with an error, must be as stated."""
    readme = README_PATH.read_text(encoding="utf-8")
    [example] = EXAMPLE_PATTERN.findall(readme)
    [expected_output] = EXAMPLE_OUTPUT_PATTERN.findall(readme)
    exec(compile(example, README_PATH.name, "exec"), {})
    assert capsys.readouterr().out == expected_output
