"""The fleet of servers: it reports to discovery what starts, drains and ends."""

from __future__ import annotations

from collections.abc import Iterable

from limiter.model.events import EndpointState
from scale.hollow.context import Context
from scale.hollow.discovery import Discovery
from scale.hollow.server import Server, ServerModel

# Delay, in ms, until discovery learns of a change that the fleet of servers itself announces.
AT_ONCE = (0.0, 0.0)


class ServerFleet:
    """All servers by id, those that have ended too."""

    def __init__(self, context: Context, discovery: Discovery) -> None:
        """Start as many as the experiment says, past their slow start and on discovery's list."""
        self.servers: dict[bytes, Server] = {}
        self._clock = context.clock
        self._topology = context.network.topology
        self._parameters = context.experiment.servers
        self._delays = context.experiment.discovery
        self._discovery = discovery
        classes = context.experiment.classes
        total_share = sum(request_class.share for request_class in classes)
        total_work = sum(request_class.share * request_class.work for request_class in classes)
        self._model = ServerModel(self._parameters, total_work / total_share)
        for _ in range(max(1, round(self._parameters.per_limiter * context.experiment.limiters))):
            server = self._add()
            discovery.endpoints[server.id] = server.endpoint(EndpointState.READY)

    def running(self) -> list[Server]:
        """Servers whose process runs, those that drain too."""
        return [server for server in self.servers.values() if server.is_up]

    def stop(self, servers: Iterable[Server], down: float, is_machine_lost: bool) -> None:
        """Stop servers; each starts again after `down` ms. A lost machine resets no connection."""
        stopped = list(servers)
        for server in stopped:
            server.stop(is_machine_lost)
            self._clock.call_at(self._clock.now + down, self._restart, server)
        ended = [server.endpoint(EndpointState.GONE) for server in stopped]
        self._discovery.report_changes(ended, self._delays.stopped)

    def drain(self, server: Server, duration: float) -> None:
        """Drain a server; after `duration` ms a new one takes its place."""
        server.drain()
        self._discovery.report_changes([server.endpoint(EndpointState.DRAINING)], AT_ONCE)
        self._clock.call_at(self._clock.now + duration, self._replace, server)

    def _add(self) -> Server:
        number = len(self.servers)
        zone = self._topology.zone(number)
        server = Server(self._clock, self._model, number, zone, self._crashed)
        self.servers[server.id] = server
        return server

    def _crashed(self, server: Server) -> None:
        self._discovery.report_changes([server.endpoint(EndpointState.GONE)], self._delays.stopped)

    def _restart(self, server: Server) -> None:
        server.start()
        self._discovery.report_changes([server.endpoint(EndpointState.READY)], self._delays.started)

    def _replace(self, server: Server) -> None:
        if not server.is_up:
            return
        server.stop()
        self._discovery.report_changes([server.endpoint(EndpointState.GONE)], AT_ONCE)
        self._restart(self._add())
