"""The record of a run: what was sent, answered and run, with times in milliseconds since the start."""

from __future__ import annotations

import time
from pathlib import Path
from typing import TextIO


class Record:
    """Writes `record.txt` of a case; the last line is the verdict."""

    def __init__(self, folder: Path) -> None:
        """Open the file in the folder of the case."""
        self._file: TextIO = (folder / "record.txt").open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def now_ms(self) -> float:
        """Return the milliseconds since the start of the run."""
        return (time.monotonic() - self._started_at) * 1000

    def note(self, event: str, **values: object) -> None:
        """Write one line."""
        fields = " ".join(f"{key}={value}" for key, value in values.items())
        self._file.write(f"{self.now_ms():10.1f} {event} {fields}\n")

    def close(self) -> None:
        """Write what is buffered, and close the file."""
        self._file.close()
