"""Results: one JSON line for each record, and a table for a person."""

from __future__ import annotations

import json
from typing import TextIO

from rich.console import Console
from rich.table import Table

from scale.experiment import ResultLine

# Records with more fields than this are shown as a list of fields, a row for each.
MAX_COLUMNS = 8
# Width of the tables, in characters, if they go to no terminal.
FILE_WIDTH = 120


class Results:
    """Takes result lines, writes each as JSON at once, and shows all of them as tables in the end."""

    def __init__(self, out: TextIO) -> None:
        """Write the lines to `out`."""
        self._out = out
        self._lines: list[ResultLine] = []

    def record(self, line: ResultLine) -> None:
        """Write one record; keys keep their order, so that the same figures are the same bytes."""
        self._lines.append(line)
        self._out.write(json.dumps(line, allow_nan=False) + "\n")
        self._out.flush()

    def show(self, err: TextIO) -> None:
        """Show the records as tables: a table for all records with the same keys."""
        console = Console(file=err, width=None if err.isatty() else FILE_WIDTH)
        lines_by_keys: dict[tuple[str, ...], list[ResultLine]] = {}
        for line in self._lines:
            lines_by_keys.setdefault(tuple(line), []).append(line)
        for keys, lines in lines_by_keys.items():
            is_narrow = len(keys) <= MAX_COLUMNS
            console.print(_row_per_line(keys, lines) if is_narrow else _row_per_key(keys, lines))


def _row_per_line(keys: tuple[str, ...], lines: list[ResultLine]) -> Table:
    table = Table(*keys)
    for line in lines:
        table.add_row(*[_cell(line[key]) for key in keys])
    return table


def _row_per_key(keys: tuple[str, ...], lines: list[ResultLine]) -> Table:
    table = Table("", *[str(number) for number in range(1, len(lines) + 1)])
    for key in keys:
        table.add_row(key, *[_cell(line[key]) for line in lines])
    return table


def _cell(value: object) -> str:
    return f"{value:.4g}" if isinstance(value, float) else str(value)
