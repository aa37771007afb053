"""Handles a request that a client connection has read: answers it locally or submits it to the proxy."""

from __future__ import annotations

from limiter.configuration.config import Config
from limiter.transport.clients.client_connection import ClientConnection
from limiter.transport.clients.client_response import LocalResponse
from limiter.transport.clients.connection_interfaces import QueuedRequest
from limiter.transport.clients.http_request import BadRequestError, RequestValidator
from limiter.transport.clients.request_parser import ParsedRequest
from limiter.transport.clock import Clock
from limiter.transport.driver.proxied_request import ProxiedRequest
from limiter.transport.driver.proxy import Proxy

HEALTH_PATH = b"/_health"
READY = LocalResponse(200, b"ready\n")
NOT_READY = LocalResponse(503, b"not ready\n")
DUPLICATE_REQUEST_ID = LocalResponse(409, b"X-Request-Id: already used by another open request\n")


class ProxyRequestHandler:
    """Answers health checks, validates other requests and submits them to the proxy."""

    def __init__(self, config: Config, proxy: Proxy, clock: Clock) -> None:
        """Create a handler that is not draining.

        Args:
            config: Provides the request classes, plans and limits that requests are checked against.
            proxy: Receives the valid requests.
            clock: The clock of the events.
        """
        self._proxy = proxy
        self._requests = proxy.requests
        self._forwarder = proxy.forwarder
        self._clock = clock
        self._validator = RequestValidator(config)
        self._is_draining = False
        self._is_rejecting_requests = False

    @property
    def is_draining(self) -> bool:
        """Whether each connection is closed after its next response."""
        return self._is_draining

    @property
    def is_rejecting_requests(self) -> bool:
        """Whether requests are rejected instead of submitted."""
        return self._is_rejecting_requests

    def start_draining(self) -> None:
        """From now on, close each connection after its next response, and fail health checks."""
        self._is_draining = True

    def reject_new_requests(self) -> None:
        """From now on, reject requests instead of submitting them."""
        self._is_rejecting_requests = True

    def prepare(self, connection: ClientConnection, request: ParsedRequest) -> QueuedRequest:
        """Return the request to submit when its turn comes, or its response if it needs no server."""
        path = request.target.partition(b"?")[0]
        if path == HEALTH_PATH:
            return READY if self._proxy.is_ready and not self._is_draining else NOT_READY
        try:
            event = self._validator.validate(request, path, self._requests.next_number(), self._clock())
        except BadRequestError as error:
            return LocalResponse(400, b"%b\n" % str(error).encode())
        client_request_id = request.headers[b"x-request-id"]
        proxied_request = ProxiedRequest(
            connection, event, client_request_id, _encode_head(request), bytes(request.body)
        )
        if not self._requests.claim(proxied_request):
            # Forwarding it could run the same request twice, or run it as another client's request.
            return DUPLICATE_REQUEST_ID
        return proxied_request

    def submit(self, request: ProxiedRequest) -> None:
        """Submit a prepared request to the proxy."""
        self._forwarder.submit(request)

    def client_disconnected(self, request: ProxiedRequest) -> None:
        """Finish a prepared request whose client will not receive its response."""
        self._forwarder.client_disconnected(request)


def _encode_head(request: ParsedRequest) -> bytes:
    """Return request line and headers for the server, without the deadline header and the blank line."""
    head = b"%b %b HTTP/1.1\r\n%b" % (request.method, request.target, bytes(request.forwarded_headers))
    if request.body or request.method == b"POST":
        head += b"Content-Length: %d\r\n" % len(request.body)
    return head
