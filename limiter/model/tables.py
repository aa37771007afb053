"""The table of the servers that the policy knows. It decides nothing.

All times and durations are milliseconds.
"""

from __future__ import annotations

from collections.abc import Iterable

from limiter.model.events import Endpoint, EndpointId, EndpointsChanged, EndpointState
from limiter.model.records import ServerRecord


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
