"""Straight lines through a sweep's figures: what one more of the swept costs."""

from __future__ import annotations

import statistics
from collections.abc import Sequence
from typing import TypedDict

from scale.experiment import ResultLine

# Number of different sizes below which no line is fitted.
MIN_SIZES = 3


class SlopeLine(TypedDict):
    """A straight line through one figure of a sweep, by least squares."""

    kind: str
    line: str
    of: str  # key of the figure
    over: str  # key of what was swept
    each: float  # growth of the figure with one more
    at_none: float  # value of the line at 0
    r2: float  # coefficient of determination
    points: int


def fit_slopes(kind: str, swept: str, lines: Sequence[ResultLine], figures: Sequence[str]) -> list[SlopeLine]:
    """Fit a straight line over `swept` to each figure that lines of MIN_SIZES or more sizes have.

    Args:
        kind: of the experiment.
        swept: key of the size that was swept.
        lines: result lines of the sweep.
        figures: keys of the figures; one that is missing or None in a line is left out there.
    """
    records: list[SlopeLine] = []
    for figure in figures:
        points = [
            (_number(line[swept]), _number(line[figure])) for line in lines if line.get(figure) is not None
        ]
        if len({size for size, _ in points}) < MIN_SIZES:
            continue
        records.append(_slope_line(kind, swept, figure, points))
    return records


def _slope_line(kind: str, swept: str, figure: str, points: list[tuple[float, float]]) -> SlopeLine:
    """Fit one line to the points, each a size and the figure's value there."""
    sizes, values = zip(*points, strict=True)
    slope, intercept = statistics.linear_regression(sizes, values)
    is_constant = len(set(values)) == 1
    determination = 1.0 if is_constant else statistics.correlation(sizes, values) ** 2
    return {
        "kind": kind,
        "line": "slope",
        "of": figure,
        "over": swept,
        "each": slope,
        "at_none": intercept,
        "r2": round(determination, 4),
        "points": len(points),
    }


def _number(value: object) -> float:
    """A value of a result line that is known to be a number."""
    assert isinstance(value, float | int)
    return float(value)
