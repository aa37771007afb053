"""The keys of experiment files of the kinds `process` and `module`, with their ranges."""

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

    servers: Sizes  # numbers of servers in the endpoint list
    limiters: Limiters  # numbers of limiters of the fleet, the one under test included
    seed: Annotated[int, Meta(ge=0)] = 1
    discovery: Literal["pushed", "on_request"] = "pushed"
    # Whether the configuration has the list as last seen.
    has_known_list: bool = msgspec.field(name="known", default=False)
    # Number of sockets that all servers share.
    listeners: Annotated[int, Meta(ge=1, le=256)] = 16
    # Changes of the endpoint list: in turn a server joins, drains and leaves.
    changes_per_s: Rate = 0.44
    # Gossip messages of other limiters that are sent to the one under test.
    datagrams_per_s: Rate = 32.0
    # Number of customers that one gossip message reports on.
    entries: Annotated[int, Meta(ge=0, le=48)] = 25
    requests_per_s: Rate = 50.0
    customers: Size = 10_000
    # Time from a server's receiving a request to its response.
    work_ms: Annotated[float, Meta(ge=0.0, le=1000.0)] = 20.0
    # Calls that the counter carries out; it rejects those beyond as busy. With 0 it carries out all.
    counter_per_s: Rate = 0.0
    phase_s: Seconds = 10.0
    # Time before each phase that counts in none.
    settle_s: Seconds = 1.0
    ready_within_s: Seconds = 30.0


class PolicyEngineExperiment(
    msgspec.Struct, tag_field="kind", tag="module", forbid_unknown_fields=True, frozen=True
):
    """The policy engine alone, in a fresh interpreter for each of `servers` x `limiters` x `customers`."""

    servers: Sizes
    limiters: Limiters
    # Numbers of customers; gossip reports on each of them, then each sends a request.
    customers: Sizes
    seed: Annotated[int, Meta(ge=0)] = 1
    # Number of customers that one gossip message reports on.
    entries: Annotated[int, Meta(ge=1, le=48)] = 25
    changes: Size = 100
    rounds: Size = 20
    # Number of attempts in flight during the last rounds.
    in_flight: Annotated[int, Meta(ge=0, le=1000)] = msgspec.field(name="open", default=8)
    # Share of the servers whose start is known.
    restarted: Annotated[float, Meta(ge=0.0, le=1.0)] = 0.0
