"""Calls to discovery whose response did not come in time, but that may still be answered.

If each call were given up when the next one is made, no response would ever be received from a discovery that
takes longer than the time for one call.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from limiter.transport.discovery.discovery_connection import DiscoveryConnection
from limiter.transport.http_response import HttpResponse

# Maximum number of such calls. Together with the call in progress, they cover responses that take up to 6 s,
# within which a change has to be known.
MAX_LATE_CALLS = 2


class DiscoveryCall(NamedTuple):
    """A call in progress.

    Attributes:
        connection: The connection, which carries no other call.
        known_version: Version of the list since which changes were requested; None for a full list.
        response: Completes with the response.
    """

    connection: DiscoveryConnection
    known_version: int | None
    response: asyncio.Task[HttpResponse]

    def give_up(self) -> None:
        """Stop waiting for the response, and close the connection."""
        self.response.cancel()
        self.connection.close_immediately()


class LateCalls:
    """The most recent calls that are late; the owner is told of the response to each of them."""

    def __init__(self, on_response: Callable[[DiscoveryCall, HttpResponse], None]) -> None:
        """Start without a late call.

        Args:
            on_response: Called with a call and its response. The connection is closed afterwards.
        """
        self._on_response = on_response
        self._calls: deque[DiscoveryCall] = deque()

    def add(self, call: DiscoveryCall) -> None:
        """Wait for the response to a call; give up the earliest one if there are too many."""
        if len(self._calls) >= MAX_LATE_CALLS:
            self._calls.popleft().give_up()
        self._calls.append(call)
        call.response.add_done_callback(lambda _: self._end_call(call))

    def close(self) -> None:
        """Give up all calls."""
        while self._calls:
            self._calls.popleft().give_up()

    def _end_call(self, call: DiscoveryCall) -> None:
        if call not in self._calls:
            return
        self._calls.remove(call)
        if not call.response.cancelled() and call.response.exception() is None:
            self._on_response(call, call.response.result())
        call.connection.close_immediately()
