"""Linear fits to the figures of a sweep, which give the cost of each additional server or limiter."""

from __future__ import annotations

import statistics
from collections.abc import Sequence
from typing import TypedDict

from scale.experiment import ResultLine

# Minimum number of different sizes to fit a line.
MIN_SIZES = 3


class SlopeLine(TypedDict):
    """A straight line fitted to one figure of a sweep by least squares."""

    kind: str
    line: str
    of: str  # key of the figure
    over: str  # key of the size that was swept
    each: float  # growth of the figure for each additional server, limiter or customer
    at_none: float  # value of the fitted line at size 0
    r2: float  # coefficient of determination
    points: int


def fit_slopes(
    kind: str, swept_key: str, lines: Sequence[ResultLine], figure_keys: Sequence[str]
) -> list[SlopeLine]:
    """Fit a straight line over `swept_key` to each figure that has values for at least MIN_SIZES sizes.

    Args:
        kind: kind of the experiment.
        swept_key: key of the size that was swept.
        lines: result lines of the sweep.
        figure_keys: keys of the figures. A line without a figure, or with None, is skipped for that figure.
    """
    slope_lines: list[SlopeLine] = []
    for figure_key in figure_keys:
        points = [
            (_require_number(line[swept_key]), _require_number(line[figure_key]))
            for line in lines
            if line.get(figure_key) is not None
        ]
        if len({size for size, _ in points}) < MIN_SIZES:
            continue
        slope_lines.append(_fit_slope_line(kind, swept_key, figure_key, points))
    return slope_lines


def _fit_slope_line(
    kind: str, swept_key: str, figure_key: str, points: list[tuple[float, float]]
) -> SlopeLine:
    """Fit a line to the points. Each point is a size and the value of the figure at that size."""
    sizes, values = zip(*points, strict=True)
    slope, intercept = statistics.linear_regression(sizes, values)
    is_constant = len(set(values)) == 1
    determination = 1.0 if is_constant else statistics.correlation(sizes, values) ** 2
    return {
        "kind": kind,
        "line": "slope",
        "of": figure_key,
        "over": swept_key,
        "each": slope,
        "at_none": intercept,
        "r2": round(determination, 4),
        "points": len(points),
    }


def _require_number(value: object) -> float:
    """Return a value of a result line, which must be a number."""
    assert isinstance(value, float | int)
    return float(value)
