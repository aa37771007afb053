"""What the kinds `process` and `module` are told by an experiment's file."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

Size = Annotated[int, Meta(ge=1, le=1_000_000)]
Sizes = Annotated[tuple[Size, ...], Meta(min_length=1)]
Pace = Annotated[float, Meta(ge=0.0, le=100_000.0)]
Seconds = Annotated[float, Meta(gt=0.0, le=3600.0)]
Limiters = Annotated[tuple[Annotated[int, Meta(ge=2, le=65_000)], ...], Meta(min_length=1)]


class ProcessExperiment(
    msgspec.Struct, tag_field="kind", tag="process", forbid_unknown_fields=True, frozen=True
):
    """A process for each of `servers` x `limiters`, in four phases of load; paces are per second."""

    servers: Sizes  # data nodes in the list
    limiters: Limiters  # of the tier, this one included
    seed: Annotated[int, Meta(ge=0)] = 1
    discovery: Literal["pushed", "on_request"] = "pushed"
    known: bool = False  # whether the configuration has the list as last seen
    listeners: Annotated[int, Meta(ge=1, le=256)] = 16  # sockets that the data nodes share
    changes_per_s: Pace = 0.44  # entries of the list that change: joins, drains and leaves in turn
    datagrams_per_s: Pace = 32.0  # messages of the other limiters that reach this one
    entries: Annotated[int, Meta(ge=0, le=48)] = 25  # customers told in one message
    requests_per_s: Pace = 50.0
    customers: Size = 10_000
    work_ms: Annotated[float, Meta(ge=0.0, le=1000.0)] = 20.0  # a data node's time for a request
    counter_per_s: Pace = 0.0  # calls that the counter takes, beyond them it is busy; 0: any
    phase_s: Seconds = 10.0
    settle_s: Seconds = 1.0  # before each phase, counted in none
    ready_within_s: Seconds = 30.0


class ModuleExperiment(
    msgspec.Struct, tag_field="kind", tag="module", forbid_unknown_fields=True, frozen=True
):
    """The decision module alone, in a fresh interpreter for each of `servers` x `limiters` x `customers`."""

    servers: Sizes
    limiters: Limiters
    customers: Sizes  # each heard of in messages, then each with a request of its own
    seed: Annotated[int, Meta(ge=0)] = 1
    entries: Annotated[int, Meta(ge=1, le=48)] = 25  # customers told in one message
    changes: Size = 100
    rounds: Size = 20
    open: Annotated[int, Meta(ge=0, le=1000)] = 8  # attempts out during the rounds
    restarted: Annotated[float, Meta(ge=0.0, le=1.0)] = 0.0  # share of the servers whose start is known
