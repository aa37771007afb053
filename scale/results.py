"""Output of result lines, as JSON for programs and as tables for people."""

from __future__ import annotations

import json
from typing import TextIO

from rich.console import Console
from rich.table import Table

from scale.experiment import ResultLine

# Result lines with more keys than this are shown with a row for each key.
MAX_TABLE_COLUMNS = 8
# Width of the tables, in characters, if they are not written to a terminal.
NON_TERMINAL_WIDTH = 120


class ResultWriter:
    """Writes each result line as JSON immediately, and prints all of them as tables at the end."""

    def __init__(self, out: TextIO) -> None:
        """Create a writer of JSON lines to `out`."""
        self._out = out
        self._lines: list[ResultLine] = []

    def write_line(self, line: ResultLine) -> None:
        """Write one result line. Keys keep their order, so that the same figures give the same bytes."""
        self._lines.append(line)
        self._out.write(json.dumps(line, allow_nan=False) + "\n")
        self._out.flush()

    def print_tables(self, err: TextIO) -> None:
        """Print the result lines as tables, one for all lines with the same keys."""
        console = Console(file=err, width=None if err.isatty() else NON_TERMINAL_WIDTH)
        lines_by_keys: dict[tuple[str, ...], list[ResultLine]] = {}
        for line in self._lines:
            lines_by_keys.setdefault(tuple(line), []).append(line)
        for keys, lines in lines_by_keys.items():
            is_narrow = len(keys) <= MAX_TABLE_COLUMNS
            console.print(
                _build_table_by_line(keys, lines) if is_narrow else _build_table_by_key(keys, lines)
            )


def _build_table_by_line(keys: tuple[str, ...], lines: list[ResultLine]) -> Table:
    table = Table(*keys)
    for line in lines:
        table.add_row(*[_format_cell(line[key]) for key in keys])
    return table


def _build_table_by_key(keys: tuple[str, ...], lines: list[ResultLine]) -> Table:
    table = Table("", *[str(number) for number in range(1, len(lines) + 1)])
    for key in keys:
        table.add_row(key, *[_format_cell(line[key]) for line in lines])
    return table


def _format_cell(value: object) -> str:
    return f"{value:.4g}" if isinstance(value, float) else str(value)
