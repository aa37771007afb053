"""The requests that wait on a client connection behind the current one, and the limits on their number."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator

from limiter.transport.clients.client_response import OVERLOAD_RETRY_AFTER_MS, LocalResponse
from limiter.transport.clients.connection_interfaces import QueuedRequest
from limiter.transport.driver.proxied_request import ProxiedRequest

# Maximum number of requests that may wait on a connection behind the current one. Further ones are rejected.
MAX_PIPELINED_REQUESTS = 16
# Number of responses, including rejections, that are due behind the current one. From this number on, the
# current request fails, all waiting ones are rejected, and nothing is read until fewer responses are due.
MAX_QUEUED_RESPONSES = 32

# The response to a request that was not forwarded because too many others wait on its connection.
TOO_MANY_PIPELINED_REQUESTS = LocalResponse(
    503, b"too many requests on one connection\n", OVERLOAD_RETRY_AFTER_MS
)


class RequestQueue:
    """Waiting requests, or the responses that were made instead of forwarding them, in order of receipt."""

    __slots__ = ("_queued",)

    def __init__(self) -> None:
        """Create an empty queue."""
        self._queued: deque[QueuedRequest] = deque()

    def __len__(self) -> int:
        """Return the number of responses that are due."""
        return len(self._queued)

    def __iter__(self) -> Iterator[QueuedRequest]:
        """Iterate over the waiting requests and responses."""
        return iter(self._queued)

    @property
    def accepts_requests(self) -> bool:
        """Whether a further request may wait; otherwise only its rejection may."""
        return len(self._queued) < MAX_PIPELINED_REQUESTS

    @property
    def is_full(self) -> bool:
        """Whether no further input may be read until fewer responses are due."""
        return len(self._queued) >= MAX_QUEUED_RESPONSES

    def append(self, queued: QueuedRequest) -> None:
        """Add a request or its response."""
        self._queued.append(queued)

    def pop_first(self) -> QueuedRequest:
        """Remove and return what was received first; the queue must not be empty."""
        return self._queued.popleft()

    def reject_all(self) -> list[ProxiedRequest]:
        """Replace the waiting requests by rejections, and return them."""
        rejected = self._list_requests()
        self._queued = deque(
            each if isinstance(each, LocalResponse) else TOO_MANY_PIPELINED_REQUESTS for each in self._queued
        )
        return rejected

    def clear(self) -> list[ProxiedRequest]:
        """Remove everything, and return the requests."""
        removed = self._list_requests()
        self._queued.clear()
        return removed

    def _list_requests(self) -> list[ProxiedRequest]:
        return [each for each in self._queued if isinstance(each, ProxiedRequest)]
