"""Experiments of the kind `process`: a limiter process for each size, its phases and what they cost."""

from __future__ import annotations

import asyncio
import itertools
import tempfile
import time
from collections import Counter as Tally
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Any

import uvloop
from hdrh.histogram import HdrHistogram

from .fleet import MAIL_PER_S, Members, settings
from .limiter import LimiterProcess
from .plan import ProcessExperiment
from .roles import roles
from .slopes import fit
from .standins import Clients, Counter, Discovery, Nodes, Tier

Record = Callable[[dict[str, Any]], None]
Progress = Callable[[str], None]

ANSWERED = 4.0  # s after the last request in which its answer must come: its deadline and a second
LONGEST_US = 60_000_000  # of the histogram
PER_SIZE = ("ready_s", "start_processor_s", "peak_mb", "resident_mb", "list_bytes")
PER_PHASE = ("core", "processor_ms_a_request", "added_p50_ms", "added_p99_ms")


@dataclass(frozen=True, slots=True)
class Phase:
    """Paces a second."""

    name: str
    datagrams: float = 0.0
    changes: float = 0.0
    requests: float = 0.0


def run(experiment: ProcessExperiment, record: Record, progress: Progress) -> None:
    """Play all sizes one after another; a record for each start, for each phase, and for each slope."""
    lines: list[dict[str, Any]] = []

    def keep(line: dict[str, Any]) -> None:
        lines.append(line)
        record(line)

    for servers, limiters in itertools.product(experiment.servers, experiment.limiters):
        progress(f"process: {servers} servers, {limiters} limiters")
        uvloop.run(_play(experiment, servers, limiters, keep))
    ready = [at for at in lines if at["line"] == "size" and at["ready_s"] is not None]
    for swept in ("servers", "limiters"):
        if len(set(getattr(experiment, swept))) < 3:
            continue
        for line in fit("process", swept, ready, PER_SIZE):
            record({**line, "phase": ""})
        for phase in phases(experiment):
            of_phase = [at for at in lines if at.get("phase") == phase.name]
            for line in fit("process", swept, of_phase, PER_PHASE):
                record({**line, "phase": phase.name})


def phases(e: ProcessExperiment) -> tuple[Phase, ...]:
    """Each phase has what the one before it has and one thing more, so that differences are that thing's."""
    return (
        Phase("idle"),
        Phase("datagrams", e.datagrams_per_s),
        Phase("changes", e.datagrams_per_s, e.changes_per_s),
        Phase("load", e.datagrams_per_s, e.changes_per_s, e.requests_per_s),
    )


class World:
    """The stand-ins round one limiter process."""

    def __init__(self, e: ProcessExperiment, servers: int, limiters: int, rng: Random) -> None:
        self.e, self.servers, self.limiters, self.rng = e, servers, limiters, rng
        self.customers = rng.sample(range(2**33), e.customers)
        self.nodes = Nodes(e.work_ms)
        self.counter = Counter(e.counter_per_s)
        self.tier = Tier(limiters, self.customers, e.entries, rng)
        self.discovery: Discovery
        self.clients: Clients | None = None
        self.late: list[float] = []  # s that the stand-ins acted after their time, in this phase

    async def start(self, folder: Path) -> LimiterProcess:
        await self.nodes.start(self.e.listeners)
        self.members = Members(self.servers, self.nodes.addresses)
        self.discovery = Discovery(self.members)
        self.tier.start()
        config = {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "discovery": await self.discovery.start(),
            "counter": await self.counter.start(),
            "seed": f"{self.rng.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": settings(self.limiters, self.e.discovery),
            **self.tier.config(),
        }
        if self.e.known:
            config["known"] = self.members.known()
        return await LimiterProcess.start(config, folder)

    def close(self) -> None:
        for part in (self.nodes, self.discovery, self.counter, self.tier, self.clients):
            if part is not None:
                part.close()

    def counts(self) -> Tally[str]:
        """All that is counted, by name; differences of two are what came between."""
        tally = Tally(
            watches=self.discovery.calls,
            changes=self.members.version - self.members.first,
            changes_heard=self.discovery.heard - self.members.first,
            counter_calls=self.counter.added + self.counter.busy,
            counter_busy=self.counter.busy,
            datagrams_in=self.tier.told,
            datagrams_out=self.tier.heard,
        )
        traffics = {
            "discovery": self.discovery.traffic,
            "counter": self.counter.traffic,
            "peers": self.tier.traffic,
            "nodes": self.nodes.traffic,
        }
        for name, traffic in traffics.items():
            tally[f"{name}_bytes_in"], tally[f"{name}_bytes_out"] = traffic.into, traffic.out
        return tally

    async def pace(self, per_s: float, seconds: float, act: Callable[[], None]) -> None:
        """Call `act` at that pace, evenly, from now on; what comes late is made up for."""
        if not per_s:
            return
        began = time.monotonic()
        for n in range(round(per_s * seconds)):
            due = began + (n + 0.5) / per_s
            await asyncio.sleep(due - time.monotonic())
            self.late.append(time.monotonic() - due)
            act()


async def _play(e: ProcessExperiment, servers: int, limiters: int, record: Record) -> None:
    world = World(e, servers, limiters, Random(f"{e.seed} {servers} {limiters}"))
    at = {"servers": servers, "limiters": limiters}
    with tempfile.TemporaryDirectory() as folder:
        limiter = await world.start(Path(folder))
        try:
            ready = await limiter.ready(e.ready_within_s)
            started = {
                "kind": "process",
                "line": "size",
                **at,
                "discovery": e.discovery,
                "known": e.known,
                "seed": e.seed,
                "ready_s": ready and round(ready, 3),
                "start_processor_s": limiter.processor_s(),
                "list_bytes": len(world.members.whole()),
                "lists_asked": world.discovery.whole,
                "lists_bytes_in": world.discovery.traffic.into,
            }
            if ready is not None:
                assert limiter.address is not None
                world.clients = Clients(limiter.address, limiters, world.customers, world.nodes, world.rng)
                for line in await _phases(world, limiter):
                    record({"kind": "process", "line": "phase", **at, **line})
            record(
                started
                | {
                    "peak_mb": round(limiter.memory_mb("VmHWM"), 1),
                    "resident_mb": round(limiter.memory_mb("VmRSS"), 1),
                    "warnings": len(limiter.warnings),
                    "first_warning": limiter.warnings[0][24:] if limiter.warnings else "",
                }
            )
        finally:
            await limiter.stop()
            world.close()


async def _phases(world: World, limiter: LimiterProcess) -> list[dict[str, Any]]:
    lines: list[dict[str, Any]] = []
    for phase in phases(world.e):
        await asyncio.sleep(world.e.settle_s)
        lines.append(await _phase(world, limiter, phase, lines[-1] if lines else None))
    return lines


async def _phase(
    world: World, limiter: LimiterProcess, phase: Phase, before: dict[str, Any] | None
) -> dict[str, Any]:
    e, clients = world.e, world.clients
    assert clients is not None
    world.late.clear()
    counts, began, processor = world.counts(), time.monotonic(), limiter.processor_s()
    async with asyncio.TaskGroup() as group:
        group.create_task(asyncio.sleep(e.phase_s))
        group.create_task(world.pace(phase.datagrams, e.phase_s, world.tier.tell))
        group.create_task(world.pace(phase.changes, e.phase_s, world.discovery.change))
        group.create_task(world.pace(phase.requests, e.phase_s, clients.request))
    took, used = time.monotonic() - began, limiter.processor_s() - processor
    grown = world.counts()
    grown.subtract(counts)
    end = time.monotonic() + ANSWERED
    while clients.answered < clients.sent and time.monotonic() < end:
        await asyncio.sleep(0.01)
    line: dict[str, Any] = {"phase": phase.name, "seconds": round(took, 3), "core": round(used / took, 4)}
    line |= {
        name: round(count / took, 1) if "bytes" in name else count for name, count in sorted(grown.items())
    }
    more = line["core"] - before["core"] if before is not None else 0.0
    line["processor_ms_a_datagram"] = _each(more, phase.datagrams, phase.name == "datagrams")
    line["processor_ms_a_change"] = _each(more, phase.changes, phase.name == "changes")
    line["processor_ms_a_request"] = _each(more, phase.requests, phase.name == "load")
    line |= _answers(clients) | {"stand_ins_late_p99_ms": _quantile(world.late, 99.0)}
    line |= _roles(world, phase, grown)
    return line


def _each(more: float, per_s: float, asked: bool) -> float | None:
    """Processor time of one of what this phase has more than the one before, in ms."""
    return round(1000 * more / per_s, 4) if asked and per_s else None


def _answers(clients: Clients) -> dict[str, Any]:
    """What came back, by status, and the time added to what was served: from writing a request to reading its
    whole answer, less the data node's own time. The stand-ins' share of it, on the same machine, is in."""
    return {
        "requests": clients.sent,
        "answers": {str(status): count for status, count in sorted(clients.statuses.items())},
        "lost": clients.sent - clients.statuses.total(),
        "added_p50_ms": _quantile(clients.added, 50.0),
        "added_p99_ms": _quantile(clients.added, 99.0),
    }


def _quantile(seconds: list[float], percentile: float) -> float | None:
    """In ms; None of nothing."""
    histogram = HdrHistogram(1, LONGEST_US, 3)
    for value in seconds:
        histogram.record_value(max(1, round(value * 1e6)))
    return histogram.get_value_at_percentile(percentile) / 1000 if seconds else None


def _roles(world: World, phase: Phase, grown: Tally[str]) -> dict[str, Any]:
    """The roles' load from a whole tier of such limiters, derived; None where the phase has no requests."""
    if not phase.requests or world.clients is None:
        return {"tier": None}
    calls = grown["counter_calls"] / max(1, world.clients.sent)
    pushed = world.e.discovery == "pushed"
    tier = roles(world.limiters, pushed, phase.changes, phase.requests, calls, MAIL_PER_S)
    return {
        "tier": {
            "counter_calls_a_request": round(calls, 4),
            "counter_calls_per_s": round(tier.counter_calls, 1),
            "discovery_calls_per_s": round(tier.discovery_calls, 1),
            "discovery_entries_per_s": round(tier.discovery_entries, 1),
            "told_every_s": round(tier.interval_s, 2),
            "datagrams_per_s": round(tier.datagrams, 1),
        }
    }
