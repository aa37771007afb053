"""The listening socket: accepts client connections within the limit on file descriptors."""

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

# Fraction of the file descriptors that are not reserved, for client connections.
CLIENT_DESCRIPTOR_FRACTION = 0.55
# Fraction of the file descriptors that are not reserved, for overflow connections, which stay open until
# their requests are rejected, and the minimum limit on the number of overflow connections.
OVERFLOW_DESCRIPTOR_FRACTION = 0.05
MIN_OVERFLOW_CONNECTIONS = 8
# Maximum number of connections that the kernel holds until they are accepted.
LISTEN_BACKLOG_SIZE = 1024
# Maximum number of connections that are accepted in one iteration of the event loop. Open requests are
# handled before the next batch.
ACCEPT_BATCH_SIZE = 64
# Time for which no connection is accepted after the file descriptors have run out.
ACCEPT_PAUSE_SECONDS = 0.05
# Interval at which connections whose timeout has expired are closed.
SWEEP_INTERVAL_SECONDS = 0.25


class Listener:
    """Accepts client connections and serves them until `abort` is called."""

    def __init__(self, config: Config, proxy: Proxy, clock: Clock) -> None:
        """Start to listen in the running event loop; raise OSError if the address cannot be bound."""
        self._loop = asyncio.get_running_loop()
        max_connections = config.compute_descriptor_budget(CLIENT_DESCRIPTOR_FRACTION)
        max_overflow_connections = max(
            MIN_OVERFLOW_CONNECTIONS, config.compute_descriptor_budget(OVERFLOW_DESCRIPTOR_FRACTION)
        )
        self._max_accepted_connections = max_connections + max_overflow_connections
        self.registry = ConnectionRegistry(max_connections, proxy.request_memory)
        self._handler = ProxyRequestHandler(config, proxy, clock)
        self._setup_tasks: set[asyncio.Task[None]] = set()
        self.socket = _open_listening_socket(config.listen_address)
        self._loop.add_reader(self.socket, self._accept_batch)
        self._sweep_timer = self._loop.call_later(SWEEP_INTERVAL_SECONDS, self._sweep)

    # Accepting connections

    def _accept_batch(self) -> None:
        for _ in range(ACCEPT_BATCH_SIZE):
            if len(self.registry.connections) + len(self._setup_tasks) >= self._max_accepted_connections:
                self._shed_or_pause_accepting()
                return
            if not self._accept_one():
                return

    def _shed_or_pause_accepting(self) -> None:
        """Close a connection or pause: the other descriptors are for servers, discovery and the counter."""
        if not self._setup_tasks and not self.registry.shed_connection():
            self._pause_accepting()

    def _accept_one(self) -> bool:
        """Accept one connection; return whether the backlog may hold more."""
        try:
            accepted_socket, _ = self.socket.accept()
        except (BlockingIOError, InterruptedError, ConnectionAbortedError):
            return False
        except OSError:
            # The file descriptors may have run out. In that case, uvloop's own server would close its socket
            # permanently, and a reader that stays registered would be called in a busy loop. So accepting is
            # paused, and the connection waits in the backlog.
            self.registry.shed_connection()
            self._pause_accepting()
            return False
        accepted_socket.setblocking(False)
        task = self._loop.create_task(self._set_up_connection(accepted_socket))
        self._setup_tasks.add(task)
        task.add_done_callback(self._setup_tasks.discard)
        return True

    async def _set_up_connection(self, accepted_socket: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(self._make_connection, accepted_socket)
        except OSError:
            accepted_socket.close()

    def _make_connection(self) -> ClientConnection:
        return ClientConnection(self.registry, self._handler)

    def _pause_accepting(self) -> None:
        self._loop.remove_reader(self.socket)
        self._loop.call_later(ACCEPT_PAUSE_SECONDS, self._resume_accepting)

    def _resume_accepting(self) -> None:
        if self.socket.fileno() >= 0:
            self._loop.add_reader(self.socket, self._accept_batch)

    def _sweep(self) -> None:
        self._sweep_timer = self._loop.call_later(SWEEP_INTERVAL_SECONDS, self._sweep)
        self.registry.close_expired_connections()

    # Graceful shutdown, in this order

    def start_draining(self) -> None:
        """From now on, close each connection after its next response, and fail health checks."""
        self._handler.start_draining()

    def stop_accepting(self) -> None:
        """Accept the backlog, whose connections the kernel would otherwise reset, and stop listening."""
        self._loop.remove_reader(self.socket)
        for _ in range(LISTEN_BACKLOG_SIZE):
            if not self._accept_one():
                break
        # If the descriptors have run out, `_accept_one` registers the reader again after a pause.
        self._loop.remove_reader(self.socket)
        self.socket.close()

    def close_idle_connections(self) -> bool:
        """Close all connections that are between requests; return whether any connection is still open."""
        self.registry.close_idle_connections()
        return bool(self.registry.connections or self._setup_tasks)

    def reject_new_requests(self) -> None:
        """From now on, reject requests instead of submitting them."""
        self._handler.reject_new_requests()

    def has_connections(self) -> bool:
        """Return whether a client is connected."""
        return bool(self.registry.connections)

    def abort(self) -> None:
        """Close all connections immediately."""
        self._sweep_timer.cancel()
        self.registry.abort_all()


def _open_listening_socket(address: Address) -> socket.socket:
    listening_socket = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET)
    listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listening_socket.setblocking(False)
    listening_socket.bind(address)
    listening_socket.listen(LISTEN_BACKLOG_SIZE)
    return listening_socket
