"""The fleet of servers, which reports to discovery when servers start, drain and stop."""

from __future__ import annotations

from collections.abc import Iterable

from limiter.model.events import EndpointState
from scale.hollow.context import SimulationContext
from scale.hollow.discovery import Discovery
from scale.hollow.server import Server, ServerModel

# Range of the delay until discovery learns of a planned change, which the fleet itself announces.
NO_DELAY_MS = (0.0, 0.0)


class ServerFleet:
    """All servers by id, including those that have been replaced."""

    def __init__(self, context: SimulationContext, discovery: Discovery) -> None:
        """Create the experiment's servers, after their slow start, and add them to the endpoint list."""
        self.servers_by_id: dict[bytes, Server] = {}
        self._clock = context.clock
        self._topology = context.network.topology
        self._parameters = context.experiment.servers
        self._discovery_delays = context.experiment.discovery
        self._discovery = discovery
        classes = context.experiment.classes
        total_share = sum(request_class.request_share for request_class in classes)
        weighted_work_ms = sum(
            request_class.request_share * request_class.mean_work_ms for request_class in classes
        )
        self._model = ServerModel(self._parameters, weighted_work_ms / total_share)
        for _ in range(max(1, round(self._parameters.servers_per_limiter * context.experiment.limiters))):
            server = self._add_server()
            discovery.endpoints[server.id] = server.make_endpoint(EndpointState.READY)

    def list_running_servers(self) -> list[Server]:
        """Return the servers whose process is running, including those that are draining."""
        return [server for server in self.servers_by_id.values() if server.is_up]

    def stop_servers(self, servers: Iterable[Server], downtime: float, is_machine_lost: bool) -> None:
        """Stop servers and restart each after `downtime`, in ms. Lost machines reset no connections."""
        stopped = list(servers)
        for server in stopped:
            server.stop(is_machine_lost)
            self._clock.call_at(self._clock.now + downtime, self._restart_server, server)
        gone_endpoints = [server.make_endpoint(EndpointState.GONE) for server in stopped]
        self._discovery.report_changes(gone_endpoints, self._discovery_delays.stop_detection_delay)

    def drain_server(self, server: Server, drain_duration: float) -> None:
        """Drain a server and replace it by a new one after `drain_duration`, in ms."""
        server.drain()
        self._discovery.report_changes([server.make_endpoint(EndpointState.DRAINING)], NO_DELAY_MS)
        self._clock.call_at(self._clock.now + drain_duration, self._replace_server, server)

    def _add_server(self) -> Server:
        number = len(self.servers_by_id)
        zone = self._topology.get_zone(number)
        server = Server(self._clock, self._model, number, zone, self._report_crash)
        self.servers_by_id[server.id] = server
        return server

    def _report_crash(self, server: Server) -> None:
        self._discovery.report_changes(
            [server.make_endpoint(EndpointState.GONE)], self._discovery_delays.stop_detection_delay
        )

    def _restart_server(self, server: Server) -> None:
        server.start()
        self._discovery.report_changes(
            [server.make_endpoint(EndpointState.READY)], self._discovery_delays.start_detection_delay
        )

    def _replace_server(self, server: Server) -> None:
        if not server.is_up:
            return
        server.stop()
        self._discovery.report_changes([server.make_endpoint(EndpointState.GONE)], NO_DELAY_MS)
        self._restart_server(self._add_server())
