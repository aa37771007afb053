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

CONNECTION_SHARE = 0.55  # of the descriptors, for clients
OVERFLOW_SHARE = 0.05  # of the descriptors, for connections that are held while they are rejected,
MIN_OVERFLOW_CONNECTIONS = 8  # and the least number of these
BACKLOG = 1024  # connections that the kernel holds until they are accepted
ACCEPT_BATCH = 64  # connections accepted in one turn: then the requests in hand get theirs
ACCEPT_PAUSE_SECONDS = 0.05  # without accepting when descriptors have run out
SWEEP_INTERVAL_SECONDS = 0.25  # between two looks at what has taken too long


class Listener:
    """Accepts clients' connections and serves them until it is aborted."""

    def __init__(self, loop: asyncio.AbstractEventLoop, config: Config, proxy: Proxy, clock: Clock) -> None:
        """Listen at once; raise OSError where the address can't be had."""
        self._loop = loop
        max_connections = config.descriptor_share(CONNECTION_SHARE)
        overflow = max(MIN_OVERFLOW_CONNECTIONS, config.descriptor_share(OVERFLOW_SHARE))
        self._max_accepted = max_connections + overflow
        self.registry = ConnectionRegistry(max_connections)
        self._handler = ProxyRequestHandler(config, proxy, clock)
        self._connecting: set[asyncio.Task[None]] = set()
        self.socket = _listen(config.listen)
        self._loop.add_reader(self.socket, self._accept)
        self._sweep_timer = loop.call_later(SWEEP_INTERVAL_SECONDS, self._sweep)

    # Accepting

    def _accept(self) -> None:
        for _ in range(ACCEPT_BATCH):
            if len(self.registry.connections) + len(self._connecting) >= self._max_accepted:
                # The descriptors that are left are for servers, discovery and the counter.
                if not self._connecting and not self.registry.shed():
                    self._pause_accepting()
                return
            if not self._accept_one():
                return

    def _accept_one(self) -> bool:
        """Whether there may be more to accept."""
        try:
            accepted, _ = self.socket.accept()
        except (BlockingIOError, InterruptedError, ConnectionAbortedError):
            return False
        except OSError:
            # Out of descriptors, say: uvloop's own server closes its socket for good then, and a reader
            # left in place would spin on it. The connection waits in the backlog for a moment.
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
        return ClientConnection(self._loop, self.registry, self._handler)

    def _pause_accepting(self) -> None:
        self._loop.remove_reader(self.socket)
        self._loop.call_later(ACCEPT_PAUSE_SECONDS, self._resume_accepting)

    def _resume_accepting(self) -> None:
        if self.socket.fileno() >= 0:
            self._loop.add_reader(self.socket, self._accept)

    def _sweep(self) -> None:
        self._sweep_timer = self._loop.call_later(SWEEP_INTERVAL_SECONDS, self._sweep)
        self.registry.close_expired()

    # Graceful shutdown, in this order

    def start_draining(self) -> None:
        """From now on close each connection with its next response, and fail health checks."""
        self._handler.draining = True

    def stop_accepting(self) -> None:
        """Take what is in the backlog, which the kernel would reset, and no more."""
        self._loop.remove_reader(self.socket)
        for _ in range(BACKLOG):
            if not self._accept_one():
                break
        self._loop.remove_reader(self.socket)  # put back where descriptors ran out
        self.socket.close()

    def close_idle(self) -> bool:
        """Close all connections that are between requests; return whether any connection is left."""
        self.registry.close_idle()
        return bool(self.registry.connections or self._connecting)

    def stop_requests(self) -> None:
        """From now on reject what is read."""
        self._handler.stopped = True

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
