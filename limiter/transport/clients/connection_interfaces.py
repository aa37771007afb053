"""Interfaces between a client connection, the registry of connections and the handler of requests."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from limiter.transport.clients.client_response import LocalResponse
from limiter.transport.clients.request_parser import ParsedRequest
from limiter.transport.driver.proxied_request import ProxiedRequest

if TYPE_CHECKING:
    from limiter.transport.clients.client_connection import ClientConnection

# A request that waits for its turn on a connection, or its response if it needs no server.
QueuedRequest = ProxiedRequest | LocalResponse


class ConnectionObserver(Protocol):
    """Receives a notification of each change that affects how long a connection may stay open."""

    def connection_opened(self, connection: ClientConnection) -> bool:
        """Add a new connection; return False if it exceeds the limit, so that its requests are rejected."""

    def request_started(self, connection: ClientConnection) -> None:
        """Record that a part of a request has been received; called for each part."""

    def held_bytes_changed(self, byte_count: int) -> None:
        """Record by how many bytes an incomplete request or an unread response has grown or shrunk."""

    def make_room(self, byte_count: int) -> bool:
        """Make room in memory for a complete request; return False if it has to be rejected."""

    def request_completed(self, connection: ClientConnection) -> None:
        """Record that a request has been received completely."""

    def connection_idle(self, connection: ClientConnection) -> None:
        """Record that all requests have their responses."""

    def response_blocked(self, connection: ClientConnection) -> None:
        """Record that the kernel does not accept the whole response, because the client does not read it."""

    def response_unblocked(self, connection: ClientConnection) -> None:
        """Record that the kernel has accepted the rest of the response."""

    def connection_failed(self, connection: ClientConnection) -> None:
        """Record that the response to invalid input was written; close the connection after a delay."""

    def connection_closed(self, connection: ClientConnection) -> None:
        """Record that the connection is closed."""


class RequestHandler(Protocol):
    """Answers or submits the requests that a connection reads."""

    @property
    def is_draining(self) -> bool:
        """Whether each connection is closed after its next response."""

    @property
    def is_rejecting_requests(self) -> bool:
        """Whether requests are rejected instead of submitted."""

    def prepare(self, connection: ClientConnection, request: ParsedRequest) -> QueuedRequest:
        """Return the request to submit when its turn comes, or its response if it needs no server."""

    def submit(self, request: ProxiedRequest) -> None:
        """Submit a prepared request; `ClientConnection.write_response` is called with its response."""

    def client_disconnected(self, request: ProxiedRequest) -> None:
        """Finish a prepared request whose client will not receive its response."""
