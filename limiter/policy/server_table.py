"""The table of servers that this limiter knows from its endpoint list.

The state of a `Server` consists of records that other modules define: health and ejection in
`outlier_detection`, slow-start credit in `slow_start`, attempts in flight in `attempts_in_flight`. Only this
module changes a server's endpoint and whether it is ready. Types are defined in limiter/model. All times and
durations are in milliseconds.
"""

from __future__ import annotations

from collections.abc import Iterable, Set
from dataclasses import dataclass, field

from limiter.model.events import Endpoint, EndpointId, EndpointsChanged, EndpointState
from limiter.policy.attempts_in_flight import AttemptsInFlight
from limiter.policy.outlier_detection import ServerHealth
from limiter.policy.slow_start import SlowStartCredit


@dataclass(slots=True, eq=False)
class Server:
    """One server process, from its start to its end. A restarted server is a new `Server`.

    Attributes:
        endpoint: The server's entry in the endpoint list.
        is_ready: Whether attempts may be sent to the server according to the endpoint list.
        health: Health statistics from the outcomes of its attempts.
        slow_start_credit: Credit for attempts while the server warms up.
        attempts_in_flight: Attempts in flight from this limiter to the server; None if there are none, which
            saves memory in a large fleet.
    """

    endpoint: Endpoint
    is_ready: bool
    health: ServerHealth = field(default_factory=ServerHealth)
    slow_start_credit: SlowStartCredit = field(default_factory=SlowStartCredit)
    attempts_in_flight: AttemptsInFlight | None = None

    def update_endpoint(self, endpoint: Endpoint) -> None:
        """Replace the endpoint with a newer list entry for the same process."""
        self.endpoint = endpoint
        self.is_ready = endpoint.state is EndpointState.READY

    def mark_unlisted(self) -> None:
        """Mark the server as not ready because a full endpoint list does not contain it."""
        self.is_ready = False

    def start_attempt(self, request_id: int, attempt: int, now: float) -> None:
        """Record an attempt that is sent to the server now."""
        if self.attempts_in_flight is None:
            self.attempts_in_flight = AttemptsInFlight()
        self.attempts_in_flight.add(request_id, attempt, now)
        self.health.record_attempt_sent()

    def end_attempt(self, request_id: int, attempt: int, is_success: bool) -> bool:
        """Record the end of an attempt; return False if this limiter process did not send the attempt."""
        in_flight = self.attempts_in_flight
        if in_flight is None or not in_flight.remove(request_id, attempt, is_success):
            return False
        if not in_flight.sent_at:
            self.attempts_in_flight = None
        return True


class ServerTable:
    """The servers that are ready according to the endpoint list or that have attempts in flight.

    Attributes:
        by_id: All servers in the table, by endpoint id.
        ready: The servers that attempts may be sent to.
        excluded_ids: Ids of servers that are treated as not ready, because peers reported them as draining or
            gone while this limiter's endpoint list is stale.
        is_expired: Whether no server may be used until discovery has sent a list.
    """

    def __init__(self) -> None:
        """Create an empty table."""
        self.by_id: dict[EndpointId, Server] = {}
        self.ready: list[Server] = []
        self.excluded_ids: set[EndpointId] = set()
        self.is_expired = False

    def update(self, change: EndpointsChanged) -> list[Server]:
        """Apply a full endpoint list, or changes to the list.

        Returns:
            The servers that have restarted or are new to this limiter, in the order of the list.
        """
        if not change.from_cache:
            self.is_expired = False
        if change.is_full_list:
            self._mark_unlisted({endpoint.id for endpoint in change.endpoints})
        new_servers = []
        for endpoint in change.endpoints:
            server = self._update_server(endpoint)
            if server is not None:
                new_servers.append(server)
        self._remove_unused()
        self._update_ready()
        return new_servers

    def _mark_unlisted(self, listed_ids: Set[EndpointId]) -> None:
        for server in self.by_id.values():
            if server.endpoint.id not in listed_ids:
                server.mark_unlisted()

    def _update_server(self, endpoint: Endpoint) -> Server | None:
        """Apply one entry of the endpoint list; return the server if the entry is for a new process."""
        known_server = self.by_id.get(endpoint.id)
        if known_server is not None and endpoint.started_at <= known_server.endpoint.started_at:
            known_server.update_endpoint(endpoint)
            return None
        # The statistics of the previous process do not apply to the new one, but attempts that were sent to
        # the previous process are still in flight.
        in_flight = None
        if known_server is not None and known_server.attempts_in_flight is not None:
            in_flight = known_server.attempts_in_flight.copy_for_restarted_server()
        is_ready = endpoint.state is EndpointState.READY
        new_server = Server(endpoint, is_ready, attempts_in_flight=in_flight)
        self.by_id[endpoint.id] = new_server
        return new_server

    def _remove_unused(self) -> None:
        """Remove servers that are not ready and have no attempt in flight.

        Machines come and go, so the table would otherwise grow without limit.
        """
        self.by_id = {
            key: server
            for key, server in self.by_id.items()
            if server.is_ready or server.attempts_in_flight is not None
        }

    def _update_ready(self) -> None:
        if self.is_expired:
            self.ready = []
            return
        ready_servers = (server for server in self.by_id.values() if server.is_ready)
        self.ready = [server for server in ready_servers if server.endpoint.id not in self.excluded_ids]

    def expire(self) -> None:
        """Treat all servers as not ready until discovery has sent a list."""
        self.is_expired = True
        self._update_ready()

    def exclude_endpoints(self, endpoint_ids: Iterable[EndpointId]) -> None:
        """Treat these servers as not ready, whatever this limiter's endpoint list says."""
        known_ids = self.by_id.keys() & set(endpoint_ids)
        if known_ids:
            self.excluded_ids |= known_ids
            self._update_ready()

    def clear_exclusions(self) -> None:
        """End all exclusions, so that every server that is ready on the endpoint list is used again."""
        if self.excluded_ids:
            self.excluded_ids = set()
            self._update_ready()
