"""What experiments of the kinds `process` and `module` say: the keys of their files, with their ranges."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

Size = Annotated[int, Meta(ge=1, le=1_000_000)]
Sizes = Annotated[tuple[Size, ...], Meta(min_length=1)]
Rate = Annotated[float, Meta(ge=0.0, le=100_000.0)]
Seconds = Annotated[float, Meta(gt=0.0, le=3600.0)]
Limiters = Annotated[tuple[Annotated[int, Meta(ge=2, le=65_000)], ...], Meta(min_length=1)]


class ProcessExperiment(
    msgspec.Struct, tag_field="kind", tag="process", forbid_unknown_fields=True, frozen=True
):
    """A process for each of `servers` x `limiters`, in four phases of load."""

    servers: Sizes  # in the endpoint list
    limiters: Limiters  # number of limiters of the fleet, the one under test included
    seed: Annotated[int, Meta(ge=0)] = 1
    discovery: Literal["pushed", "on_request"] = "pushed"
    # Whether the configuration has the list as last seen.
    has_known_list: bool = msgspec.field(name="known", default=False)
    listeners: Annotated[int, Meta(ge=1, le=256)] = 16  # sockets that the servers share
    changes_per_s: Rate = 0.44  # entries of the list that change: joins, drains and leaves in turn
    datagrams_per_s: Rate = 32.0  # gossip of the other limiters that reaches this one
    entries: Annotated[int, Meta(ge=0, le=48)] = 25  # customers in one gossip message
    requests_per_s: Rate = 50.0
    customers: Size = 10_000
    work_ms: Annotated[float, Meta(ge=0.0, le=1000.0)] = 20.0  # a server's time for a request
    counter_per_s: Rate = 0.0  # calls that the counter takes, beyond them it is busy; 0: any
    phase_s: Seconds = 10.0
    settle_s: Seconds = 1.0  # before each phase, counted in none
    ready_within_s: Seconds = 30.0


class PolicyEngineExperiment(
    msgspec.Struct, tag_field="kind", tag="module", forbid_unknown_fields=True, frozen=True
):
    """The policy engine alone, in a fresh interpreter for each of `servers` x `limiters` x `customers`."""

    servers: Sizes
    limiters: Limiters
    customers: Sizes  # each in gossip messages, then each with a request of its own
    seed: Annotated[int, Meta(ge=0)] = 1
    entries: Annotated[int, Meta(ge=1, le=48)] = 25  # customers in one gossip message
    changes: Size = 100
    rounds: Size = 20
    # Attempts in flight during the rounds.
    in_flight: Annotated[int, Meta(ge=0, le=1000)] = msgspec.field(name="open", default=8)
    restarted: Annotated[float, Meta(ge=0.0, le=1.0)] = 0.0  # share of the servers whose start is known
