"""Tables of the records that the policy keeps. They decide nothing.

All times and durations are milliseconds.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TypeVar

from limiter.model.events import Endpoint, EndpointId, EndpointsChanged, EndpointState
from limiter.model.records import CustomerRecord, ServerRecord

Record = TypeVar("Record")


def pop_idle(records: dict[int, Record], is_idle: Callable[[Record], bool]) -> list[tuple[int, Record]]:
    """Take out the first records that are idle, two at most: called for each record put in, it outpaces them.

    The dictionary has the longest idle record first and at least one that is not idle.
    """
    popped: list[tuple[int, Record]] = []
    while len(popped) < 2 and is_idle(records[key := next(iter(records))]):
        popped.append((key, records.pop(key)))
    return popped


class CustomerTable:
    """All customers with recent requests, and the counter names under which they are counted."""

    def __init__(self, forget_after: float) -> None:
        """A customer may be forgotten once it has had no request for this long."""
        self._forget_after = forget_after
        self.records: dict[int, CustomerRecord] = {}  # the longest idle first
        self.by_counter_key: dict[int, CustomerRecord] = {}

    def take(self, key: int) -> CustomerRecord | None:
        """Take a record out, to be put back with `put`."""
        return self.records.pop(key, None)

    def put(self, key: int, customer: CustomerRecord, now: float) -> None:
        """Put in the record of a customer that has a request now; others that are idle are forgotten."""
        self.records[key] = customer
        customer.last_seen_at = now
        longest_idle = next(iter(self.records.values()))
        if now - longest_idle.last_seen_at > self._forget_after:
            self._forget_idle(now)

    def _forget_idle(self, now: float) -> None:
        for key, idle in pop_idle(self.records, lambda each: now - each.last_seen_at > self._forget_after):
            if idle.is_busy:
                self.records[key] = idle  # it does not keep the others
            else:
                self.by_counter_key.pop(idle.counter_key, None)

    def change_counter_key(self, customer: CustomerRecord, name: int) -> None:
        """Count a customer under another name; replies for the name before it are no longer its own."""
        self.by_counter_key.pop(customer.counter_key, None)
        customer.counter_key = name
        self.by_counter_key[name] = customer


class ServerTable:
    """All servers that the endpoint list names or attempts are in flight to, and those that are ready."""

    def __init__(self) -> None:
        """Begin without an endpoint list."""
        self.records: dict[EndpointId, ServerRecord] = {}
        self.ready: list[ServerRecord] = []  # those that may be sent to
        self.avoided: set[EndpointId] = set()  # gone by gossip, while the own list is stale

    def update(self, change: EndpointsChanged) -> list[ServerRecord]:
        """Take in the endpoint list, or what changed of it; the records of servers that have just started."""
        named = {endpoint.id for endpoint in change.endpoints}
        for server in self.records.values():
            server.is_ready = server.is_ready and (not change.is_full_list or server.endpoint.id in named)
        updated = [self._update_one(endpoint) for endpoint in change.endpoints]
        # Machines come and go: nothing is kept of those that are gone.
        self.records = {
            key: server for key, server in self.records.items() if server.is_ready or server.in_flight
        }
        self._update_ready()
        return [server for server in updated if server is not None]

    def _update_one(self, endpoint: Endpoint) -> ServerRecord | None:
        """The new record if the server has just started: what was learnt of it before does not hold."""
        server = self.records.get(endpoint.id)
        is_ready = endpoint.state is EndpointState.READY
        if server is not None and endpoint.started_at <= server.endpoint.started_at:
            server.endpoint = endpoint
            server.is_ready = is_ready
            return None
        # Attempts to the process before it are still in flight.
        started = ServerRecord(endpoint, is_ready, in_flight=server.in_flight if server else {})
        self.records[endpoint.id] = started
        return started

    def _update_ready(self) -> None:
        ready = (server for server in self.records.values() if server.is_ready)
        self.ready = [server for server in ready if server.endpoint.id not in self.avoided]

    def avoid(self, named: Iterable[EndpointId]) -> None:
        """Count these servers as not ready, whatever the own list says."""
        if known := self.records.keys() & set(named):
            self.avoided |= known
            self._update_ready()

    def trust_own_list(self) -> None:
        """Avoid no server any more."""
        if self.avoided:
            self.avoided = set()
            self._update_ready()
