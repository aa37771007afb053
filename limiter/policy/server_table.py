"""The servers that this limiter knows, by its endpoint list.

A `Server` is made of parts, each in the module that owns it: health and ejection (`outlier_detection`), the
credit of its slow start (`slow_start`), attempts in flight (`attempts_in_flight`). Its endpoint and whether
it is ready are changed here alone. Types: limiter/model. All times and durations are milliseconds.
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
    """A server, one process from its start to its end.

    Attributes:
        endpoint: Its entry of the endpoint list.
        is_ready: Whether the endpoint list says that attempts may be sent to it.
        health: What the outcomes of its attempts say of it.
        slow_start_credit: Attempts that it may get while it warms up.
        attempts_in_flight: The attempts in flight to it from here; None while there are none, which saves
            memory in a large fleet.
    """

    endpoint: Endpoint
    is_ready: bool
    health: ServerHealth = field(default_factory=ServerHealth)
    slow_start_credit: SlowStartCredit = field(default_factory=SlowStartCredit)
    attempts_in_flight: AttemptsInFlight | None = None

    def update_endpoint(self, endpoint: Endpoint) -> None:
        """Take in a newer entry of the endpoint list for the same process."""
        self.endpoint = endpoint
        self.is_ready = endpoint.state is EndpointState.READY

    def mark_unlisted(self) -> None:
        """Count the server as not ready, since a full endpoint list does not name it."""
        self.is_ready = False

    def start_attempt(self, request_id: int, attempt: int, now: float) -> None:
        """Count an attempt that is sent to the server now."""
        if self.attempts_in_flight is None:
            self.attempts_in_flight = AttemptsInFlight()
        self.attempts_in_flight.add(request_id, attempt, now)
        self.health.record_attempt_sent()

    def end_attempt(self, request_id: int, attempt: int, is_success: bool) -> bool:
        """Count the end of an attempt; return False if it was not sent by this process."""
        in_flight = self.attempts_in_flight
        if in_flight is None or not in_flight.remove(request_id, attempt, is_success):
            return False
        if not in_flight.sent_at:
            self.attempts_in_flight = None
        return True


class ServerTable:
    """All servers that the endpoint list names or attempts are in flight to, and those that are ready.

    Attributes:
        by_id: All servers, by the id of their endpoint.
        ready: The servers that attempts may be sent to.
        avoided: Ids of servers that are counted as not ready, since peers have reported them as draining or
            gone while the own endpoint list is stale.
    """

    def __init__(self) -> None:
        """Begin without an endpoint list."""
        self.by_id: dict[EndpointId, Server] = {}
        self.ready: list[Server] = []
        self.avoided: set[EndpointId] = set()

    def update(self, change: EndpointsChanged) -> list[Server]:
        """Take in the endpoint list, or what changed of it.

        Returns:
            The servers that have just started, or are new to this limiter, in the order of the list.
        """
        if change.is_full_list:
            self._mark_unlisted({endpoint.id for endpoint in change.endpoints})
        started = []
        for endpoint in change.endpoints:
            server = self._update_server(endpoint)
            if server is not None:
                started.append(server)
        self._forget_unused()
        self._update_ready()
        return started

    def _mark_unlisted(self, listed: Set[EndpointId]) -> None:
        for server in self.by_id.values():
            if server.endpoint.id not in listed:
                server.mark_unlisted()

    def _update_server(self, endpoint: Endpoint) -> Server | None:
        """Take in one entry of the endpoint list; return the server if this is a process not known before."""
        known = self.by_id.get(endpoint.id)
        if known is not None and endpoint.started_at <= known.endpoint.started_at:
            known.update_endpoint(endpoint)
            return None
        # What was learnt of the process before does not hold for this one, but attempts to it are in
        # flight.
        in_flight = None
        if known is not None and known.attempts_in_flight is not None:
            in_flight = known.attempts_in_flight.copy_for_restarted_server()
        is_ready = endpoint.state is EndpointState.READY
        started = Server(endpoint, is_ready, attempts_in_flight=in_flight)
        self.by_id[endpoint.id] = started
        return started

    def _forget_unused(self) -> None:
        """Keep nothing of servers that left and have no attempt in flight: machines come and go."""
        self.by_id = {
            key: server
            for key, server in self.by_id.items()
            if server.is_ready or server.attempts_in_flight is not None
        }

    def _update_ready(self) -> None:
        ready = (server for server in self.by_id.values() if server.is_ready)
        self.ready = [server for server in ready if server.endpoint.id not in self.avoided]

    def avoid(self, endpoint_ids: Iterable[EndpointId]) -> None:
        """Count these servers as not ready, whatever the own endpoint list says."""
        known = self.by_id.keys() & set(endpoint_ids)
        if known:
            self.avoided |= known
            self._update_ready()

    def trust_own_list(self) -> None:
        """Avoid no server any more."""
        if self.avoided:
            self.avoided = set()
            self._update_ready()
