"""The listening socket: accepts client connections as far as there are descriptors for them."""

from __future__ import annotations

import asyncio
import socket

from limiter.configuration.addresses import Address
from limiter.configuration.config import Config
from limiter.transport.clients.client_connection import ClientConnection
from limiter.transport.clients.connection_registry import ConnectionRegistry
from limiter.transport.clients.request_handler import ProxyRequestHandler
from limiter.transport.clock import Clock
from limiter.transport.driver.proxy import Proxy

# Share of the file descriptors that is for clients' connections.
CONNECTION_SHARE = 0.55
# Share of the file descriptors that is for overflow connections, which are held while they are rejected, and
# the smallest number of them.
OVERFLOW_SHARE = 0.05
MIN_OVERFLOW_CONNECTIONS = 8
# Connections that the kernel holds until they are accepted.
BACKLOG = 1024
# Connections that are accepted in one turn of the loop. Requests in hand get their turn after that.
ACCEPT_BATCH = 64
# Nothing is accepted for so long after descriptors have run out.
ACCEPT_PAUSE_SECONDS = 0.05
# Interval at which connections that have taken too long are closed.
SWEEP_INTERVAL_SECONDS = 0.25


class Listener:
    """Accepts clients' connections and serves them until it is aborted."""

    def __init__(self, config: Config, proxy: Proxy, clock: Clock) -> None:
        """Listen at once, in the running event loop; raise OSError if the address cannot be bound."""
        self._loop = asyncio.get_running_loop()
        max_connections = config.descriptor_share(CONNECTION_SHARE)
        max_overflow = max(MIN_OVERFLOW_CONNECTIONS, config.descriptor_share(OVERFLOW_SHARE))
        self._max_accepted = max_connections + max_overflow
        self.registry = ConnectionRegistry(max_connections)
        self._handler = ProxyRequestHandler(config, proxy, clock)
        self._connecting: set[asyncio.Task[None]] = set()
        self.socket = _listen(config.listen)
        self._loop.add_reader(self.socket, self._accept)
        self._sweep_timer = self._loop.call_later(SWEEP_INTERVAL_SECONDS, self._sweep)

    # Accepting

    def _accept(self) -> None:
        for _ in range(ACCEPT_BATCH):
            if len(self.registry.connections) + len(self._connecting) >= self._max_accepted:
                self._shed_or_pause()
                return
            if not self._accept_one():
                return

    def _shed_or_pause(self) -> None:
        """Make room for a connection: the descriptors left are for servers, discovery and the counter."""
        if not self._connecting and not self.registry.shed():
            self._pause_accepting()

    def _accept_one(self) -> bool:
        """Accept a connection; return whether there may be more to accept."""
        try:
            accepted, _ = self.socket.accept()
        except (BlockingIOError, InterruptedError, ConnectionAbortedError):
            return False
        except OSError:
            # Descriptors may have run out. uvloop's own server would close its socket for good then, and a
            # reader left in place would spin on it. The connection waits in the backlog for a moment.
            self.registry.shed()
            self._pause_accepting()
            return False
        accepted.setblocking(False)
        task = self._loop.create_task(self._connect(accepted))
        self._connecting.add(task)
        task.add_done_callback(self._connecting.discard)
        return True

    async def _connect(self, accepted: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(self._make_connection, accepted)
        except OSError:
            accepted.close()

    def _make_connection(self) -> ClientConnection:
        return ClientConnection(self.registry, self._handler)

    def _pause_accepting(self) -> None:
        self._loop.remove_reader(self.socket)
        self._loop.call_later(ACCEPT_PAUSE_SECONDS, self._resume_accepting)

    def _resume_accepting(self) -> None:
        if self.socket.fileno() >= 0:
            self._loop.add_reader(self.socket, self._accept)

    def _sweep(self) -> None:
        self._sweep_timer = self._loop.call_later(SWEEP_INTERVAL_SECONDS, self._sweep)
        self.registry.close_expired_connections()

    # Graceful shutdown, in this order

    def start_draining(self) -> None:
        """From now on close each connection with its next response, and fail health checks."""
        self._handler.start_draining()

    def stop_accepting(self) -> None:
        """Take what is in the backlog, which the kernel would reset, and no more."""
        self._loop.remove_reader(self.socket)
        for _ in range(BACKLOG):
            if not self._accept_one():
                break
        # `_accept_one` puts the reader back after a pause, if descriptors have run out.
        self._loop.remove_reader(self.socket)
        self.socket.close()

    def close_idle_connections(self) -> bool:
        """Close all connections that are between requests; return whether any connection is left."""
        self.registry.close_idle()
        return bool(self.registry.connections or self._connecting)

    def reject_new_requests(self) -> None:
        """From now on reject the requests that are read."""
        self._handler.stop()

    def has_connections(self) -> bool:
        """Whether a client is connected."""
        return bool(self.registry.connections)

    def abort(self) -> None:
        """Close all connections at once."""
        self._sweep_timer.cancel()
        self.registry.abort_all()


def _listen(address: Address) -> socket.socket:
    listening = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET)
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listening.setblocking(False)
    listening.bind(address)
    listening.listen(BACKLOG)
    return listening
