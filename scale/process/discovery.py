"""Emulation of the discovery agent, which speaks HTTP."""

from __future__ import annotations

import asyncio
import re
import time
from typing import NamedTuple

from scale.process.endpoint_list import FIRST_VERSION, EndpointList
from scale.process.traffic import HttpProtocol, Traffic, listen

MAX_WATCH_MS = 60_000
FULL_LIST_TARGET = b"/catalog/members"
WATCH_TARGET = re.compile(rb"/catalog/members\?since=(\d+)&timeout_ms=(\d+)")


class Watch(NamedTuple):
    """A long poll that waits for a change to the endpoint list."""

    known_version: int  # newest version of the list that the caller has
    timer: asyncio.TimerHandle  # ends the watch when its timeout expires


class Discovery:
    """The discovery agent. A watch ends when the list changes, or when its timeout expires."""

    def __init__(self, endpoints: EndpointList) -> None:
        """Create an agent that serves the endpoint list and its changes."""
        self.traffic = Traffic()
        self.calls = 0
        self.full_list_calls = 0  # number of calls for the full list
        self.malformed_calls = 0
        # The newest version of the list that the limiter has acknowledged by a watch.
        self.acknowledged_version = endpoints.version
        self.endpoints = endpoints
        self.watches: dict[_DiscoveryConnection, Watch] = {}
        self._listener: asyncio.Server

    @property
    def acknowledged_changes(self) -> int:
        """Number of changes that the limiter has acknowledged."""
        return self.acknowledged_version - FIRST_VERSION

    async def start(self) -> str:
        """Listen for connections and return the address, `host:port`."""
        self._listener, address = await listen(lambda: _DiscoveryConnection(self))
        return address

    def apply_next_change(self) -> None:
        """Apply the next change to the list and end all watches."""
        self.endpoints.apply_next_change(round(time.time() * 1000))
        for connection in list(self.watches):
            self.end_watch(connection)

    def close(self) -> None:
        """Stop listening. Open connections are not closed."""
        self._listener.close()

    def request_received(self, connection: _DiscoveryConnection, head: bytes) -> None:
        """Respond to a call for the full list, or start a watch."""
        self.calls += 1
        target = head.split(b" ", 2)[1]
        if target == FULL_LIST_TARGET:
            self.full_list_calls += 1
            connection.respond(200, self.endpoints.encode_full_list())
            return
        watch = WATCH_TARGET.fullmatch(target)
        if watch is None:
            self.malformed_calls += 1
            connection.respond(400, b"")
            return
        self._begin_watch(connection, int(watch[1]), int(watch[2]))

    def end_watch(self, connection: _DiscoveryConnection) -> None:
        """End a watch with a response that has the changes since its version, possibly none."""
        watch = self.watches.pop(connection)
        watch.timer.cancel()
        connection.respond(200, self.endpoints.encode_changes_since(watch.known_version))

    def cancel_watch(self, connection: _DiscoveryConnection) -> None:
        """Cancel the watch of a closed connection, if there is one."""
        watch = self.watches.pop(connection, None)
        if watch is not None:
            watch.timer.cancel()

    def _begin_watch(self, connection: _DiscoveryConnection, version: int, timeout_ms: int) -> None:
        self.acknowledged_version = max(self.acknowledged_version, version)
        timeout_s = min(MAX_WATCH_MS, timeout_ms) / 1000
        timer = asyncio.get_running_loop().call_later(timeout_s, self.end_watch, connection)
        self.watches[connection] = Watch(version, timer)
        if version != self.endpoints.version:
            self.end_watch(connection)


class _DiscoveryConnection(HttpProtocol):
    def __init__(self, discovery: Discovery) -> None:
        super().__init__(discovery.traffic)
        self._discovery = discovery

    def request_received(self, head: bytes) -> None:
        self._discovery.request_received(self, head)

    def connection_lost(self, error: Exception | None) -> None:
        super().connection_lost(error)
        self._discovery.cancel_watch(self)
