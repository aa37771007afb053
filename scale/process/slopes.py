"""Straight lines through a sweep's figures: what one more of the swept costs."""

from __future__ import annotations

import statistics
from collections.abc import Mapping, Sequence
from typing import Any


def fit(
    kind: str, swept: str, lines: Sequence[Mapping[str, Any]], figures: Sequence[str]
) -> list[dict[str, Any]]:
    """A record for each figure that three or more lines have: least squares over `swept`.

    `each` is the figure's growth with one more, `at_none` what the line says at none; `r2` tells how straight
    it is.
    """
    made = []
    for figure in figures:
        points = [(float(line[swept]), float(line[figure])) for line in lines if line.get(figure) is not None]
        if len({x for x, _ in points}) < 3:
            continue
        xs, ys = zip(*points, strict=True)
        each, at_none = statistics.linear_regression(xs, ys)
        straight = statistics.correlation(xs, ys) ** 2 if len(set(ys)) > 1 else 1.0
        made.append(
            {"kind": kind, "line": "slope", "of": figure, "over": swept, "each": each, "at_none": at_none}
            | {"r2": round(straight, 4), "points": len(points)}
        )
    return made
