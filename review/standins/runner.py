"""Runs a case: opens its record, plays it, and turns the outcome into an exit code."""

from __future__ import annotations

import asyncio
import os
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path

from standins.platform import CaseError
from standins.record import Record

RULE_HELD = 0
RULE_BROKEN = 1
COULD_NOT_RUN = 2

# Plays the case, with the disruption if the flag is set; returns whether the rule held.
Play = Callable[[Record, bool], Awaitable[bool]]


def run_case(folder: Path, play: Play) -> int:
    """Play a case, with its disruption unless TROUBLE is 0; return the exit code."""
    record = Record(folder)
    try:
        has_held = asyncio.run(_play(play, record))
    except (CaseError, OSError, asyncio.CancelledError) as error:
        record.note("could_not_run", error=repr(error))
        print(f"could not run: {error!r}")
        return COULD_NOT_RUN
    finally:
        record.close()
    print("the rule held" if has_held else "THE RULE WAS BROKEN")
    return RULE_HELD if has_held else RULE_BROKEN


async def _play(play: Play, record: Record) -> bool:
    task = asyncio.current_task()
    if task is not None:
        # Ended from outside, a case still ends the processes that it started.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    has_trouble = os.environ.get("TROUBLE") != "0"
    record.note("start", trouble=has_trouble)
    return await play(record, has_trouble)
