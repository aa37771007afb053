"""Results: one JSON line for each record, and a table for a person."""

from __future__ import annotations

import json
from typing import Any, TextIO

from rich.console import Console
from rich.table import Table

WIDEST = 8  # columns of a table; wider records are shown as a list of their fields


class Results:
    """Takes records, writes each as a JSON line at once, and shows all of them in the end."""

    def __init__(self, out: TextIO) -> None:
        self.out = out
        self.records: list[dict[str, Any]] = []

    def record(self, line: dict[str, Any]) -> None:
        """Write one record; keys keep their order, so that the same figures are the same bytes."""
        self.records.append(line)
        self.out.write(json.dumps(line, allow_nan=False) + "\n")
        self.out.flush()

    def show(self, err: TextIO) -> None:
        """The records as tables: those with the same keys together."""
        console = Console(file=err, width=None if err.isatty() else 120)
        shapes: dict[tuple[str, ...], list[dict[str, Any]]] = {}
        for line in self.records:
            shapes.setdefault(tuple(line), []).append(line)
        for keys, lines in shapes.items():
            across = len(keys) <= WIDEST
            table = Table(*keys) if across else Table("", *[str(n) for n in range(1, len(lines) + 1)])
            if across:
                for line in lines:
                    table.add_row(*[_cell(line[key]) for key in keys])
            else:
                for key in keys:
                    table.add_row(key, *[_cell(line[key]) for line in lines])
            console.print(table)


def _cell(value: Any) -> str:
    return f"{value:.4g}" if isinstance(value, float) else str(value)
