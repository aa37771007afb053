"""The watch on discovery: long polls for the list of servers and its changes."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from limiter.configuration.config import Address, ConfigError
from limiter.transport.backoff import Backoff
from limiter.transport.discovery.endpoint_list import (
    EndpointList,
    ListedEndpoint,
    MemberListError,
    NameNumbering,
    parse_endpoint_list,
)
from limiter.transport.http_response import ResponseProtocol

log = logging.getLogger(__name__)

LIST_PATH = "/catalog/members"
MAX_LIST_BYTES = 8 * 2**20
LONG_POLL_MS = 4000  # that a call waits for a change: short, so that a silent discovery is noticed soon
MAX_LONG_POLL_MS = 20000  # in a fleet of any size: a dead agent must be noticed in the end
MAX_CALLS_PER_SECOND = 4.0  # of all limiters while nothing changes: discovery's capacity is one for all
GRACE_SECONDS = 1.5  # beyond the long poll before a call has failed: after 2 s its changes count as known
# Where lists are pushed, an agent on this machine answers at once and at no cost, and its changes count as
# known: its silence must be noticed well within the least time in which sends have to stop (250 ms).
PUSHED_LONG_POLL_MS = 1000
PUSHED_GRACE_SECONDS = 0.15
FIRST_BACKOFF_SECONDS = 0.05  # between a failed call and the next
MAX_BACKOFF_SECONDS = 1.0
CATCH_UP_POLL_MS = 1  # long poll after a failure: only what is known to discovery already, without a wait

# Called with the entries, whether they are all servers, and whether they come from the configuration.
ChangedCallback = Callable[[list[ListedEndpoint], bool, bool], None]
FailedCallback = Callable[[bool], None]  # whether discovery is overloaded


class DiscoveryError(Exception):
    """A call to discovery failed."""


class DiscoveryConnectionLostError(DiscoveryError, ConnectionError):
    """The connection ended before the response."""

    def __init__(self) -> None:
        """State the fault."""
        super().__init__("connection lost")


class DiscoveryOverloadedError(DiscoveryError, ConnectionError):
    """Discovery has more calls than it can answer: what it said before still holds."""

    def __init__(self, status: int) -> None:
        """Name the status."""
        super().__init__(f"status {status}")


class DiscoveryResponseError(DiscoveryError, ValueError):
    """Discovery answered what cannot be applied to the list as it is here."""


class UnexpectedStatusError(DiscoveryResponseError):
    """Discovery answered with a status that is neither success nor overload."""

    def __init__(self, status: int) -> None:
        """Name the status."""
        super().__init__(f"status {status}")


class VersionRegressionError(DiscoveryResponseError):
    """Changes have a lower version than the list that they should apply to: it is another list's."""

    def __init__(self, version: int, known_version: int) -> None:
        """Name both versions."""
        super().__init__(f"generation {version} after {known_version}")


@dataclass(frozen=True, slots=True)
class DiscoveryResponse:
    """A response in HTTP."""

    status: int
    body: bytes
    keep_alive: bool


class DiscoveryConnection(ResponseProtocol):
    """A connection to discovery, which carries one call at a time."""

    __slots__ = ("_response",)

    def __init__(self) -> None:
        """Make the protocol of a connection."""
        super().__init__(MAX_LIST_BYTES)
        self._response: asyncio.Future[DiscoveryResponse] | None = None

    async def get(self, target: str, host: str) -> DiscoveryResponse:
        """Send a GET and wait for its response; raise DiscoveryConnectionLostError where none can come."""
        if self.transport is None or self.transport.is_closing():
            raise DiscoveryConnectionLostError
        self._response = asyncio.get_running_loop().create_future()
        self.transport.write(f"GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())
        return await self._response

    def response_received(self, status: int, body: bytes, keep_alive: bool) -> None:
        """Hand the response to the call; one that nobody waits for is passed over."""
        if self._response is not None and not self._response.done():
            self._response.set_result(DiscoveryResponse(status, body, keep_alive))

    def connection_failed(self) -> None:
        """Fail the call in progress."""
        if self._response is not None and not self._response.done():
            self._response.set_exception(DiscoveryConnectionLostError())


@dataclass(frozen=True, slots=True)
class PollPacing:
    """How long calls to discovery wait, and how soon it counts as silent."""

    wait: int  # ms that a call waits for a change
    grace_seconds: float  # beyond that before a call counts as failed
    max_backoff_seconds: float  # between two calls that failed
    is_pushed: (
        bool  # by an agent of this machine: calls cost nothing, and a full list no more than its changes
    )

    @classmethod
    def of(cls, limiters: int, pushed: bool) -> PollPacing:
        """Choose the pacing for a fleet of so many limiters; `pushed`: each has an agent of its own."""
        if pushed:
            return cls(PUSHED_LONG_POLL_MS, PUSHED_GRACE_SECONDS, FIRST_BACKOFF_SECONDS, is_pushed=True)
        fair_share_ms = round(1000 * limiters / MAX_CALLS_PER_SECOND)
        wait = min(MAX_LONG_POLL_MS, max(LONG_POLL_MS, fair_share_ms))
        return cls(wait, GRACE_SECONDS, MAX_BACKOFF_SECONDS, is_pushed=False)


class DiscoveryWatch:
    """Polls discovery for as long as it runs, and reports the list of servers as it changes.

    It waits for a response, or backs off after a failure, or, where an overloaded discovery serves many
    limiters, waits for `allow_next_poll`.
    """

    def __init__(  # noqa: PLR0913, PLR0917 - a watch is made in one place, from these parts
        self,
        loop: asyncio.AbstractEventLoop,
        discovery: Address,
        names: NameNumbering,
        dial_timeout_ms: float,
        pacing: PollPacing,
        on_changed: ChangedCallback,
        on_failed: FailedCallback,
    ) -> None:
        """Describe a watch, which begins with `start`.

        Args:
            loop: the event loop.
            discovery: address of discovery, or of its agent.
            names: numbers of zones and machine kinds.
            dial_timeout_ms: for opening a connection.
            pacing: how long calls wait.
            on_changed: called with a list, or with the changes to the last one.
            on_failed: called after each failed call where all limiters share one discovery. After an
                overload the watch waits for `allow_next_poll`, after any other failure for its backoff.
        """
        self.loop = loop
        self.address = discovery
        self.names = names
        self.pacing = pacing
        self.dial_timeout = min(dial_timeout_ms / 1000, pacing.grace_seconds)  # seconds
        self.on_changed = on_changed
        self.on_failed = on_failed
        self.version: int | None = None  # of the list that changes apply to; None: the full list is wanted
        self.is_current = False  # the last call succeeded: the next may wait for a change
        self.first_response = asyncio.Event()  # discovery has answered for the first time
        self.poll_allowed = asyncio.Event()  # set by `allow_next_poll` after an overload
        self.backoff = Backoff(FIRST_BACKOFF_SECONDS, pacing.max_backoff_seconds)
        self.task: asyncio.Task[None] | None = None
        self._is_failure_logged = False  # since the last success

    def set_known_endpoints(self, document: Any) -> None:
        """Report the list as this limiter last had it, maybe old; raise ConfigError where it is none.

        The first call then asks for the changes since: the full list costs discovery a line for each server,
        for each of many limiters that start together. But versions are each agent's own: where the full list
        costs nothing, it is asked for.
        """
        if document is None:
            return
        try:
            listed = parse_endpoint_list(document, self.names)
        except MemberListError as error:
            raise ConfigError(key="known", problem=str(error)) from error
        self.version = None if self.pacing.is_pushed else listed.version
        self.on_changed(listed.entries, True, True)

    def allow_next_poll(self) -> None:
        """Make the call that waits since discovery was overloaded."""
        self.poll_allowed.set()

    def start(self) -> None:
        """Begin to poll."""
        self._is_failure_logged = False
        self.task = self.loop.create_task(self._run())

    def change_address(self, discovery: Address) -> None:
        """Watch at another address. The list stands until that one has sent its own full list."""
        if discovery == self.address:
            return
        self.address = discovery
        self.backoff.reset()
        self.version = None  # versions are each agent's own: changes since ours would leave some out there
        self.is_current = False
        self.close()
        self.start()

    def close(self) -> None:
        """Stop to poll."""
        if self.task is not None:
            self.task.cancel()

    async def _run(self) -> None:
        while True:
            is_overloaded = await self._poll_until_failure()
            self.is_current = False
            await self._wait_to_retry(is_overloaded=is_overloaded)

    async def _poll_until_failure(self) -> bool:
        """Poll on one connection until it fails or is closed; return whether discovery is overloaded."""
        connection: DiscoveryConnection | None = None
        try:
            connection = await self._connect()
            while await self._poll(connection):
                self._is_failure_logged = False
        except Exception as error:  # noqa: BLE001 - whatever it is, the list must not stay as it is for ever
            # Only its kind leaves here: its traceback holds the response, of up to MAX_LIST_BYTES.
            self._handle_failure(error)
            return isinstance(error, DiscoveryOverloadedError)
        finally:
            if connection is not None:
                connection.drop()
        return False

    def _handle_failure(self, error: Exception) -> None:
        if not self._is_failure_logged:
            log.warning("discovery_call_failed error=%r", error)
            self._is_failure_logged = True
        # After a failure to connect or an overload the changes since the version are still to be had.
        if not isinstance(error, OSError):
            self.version = None

    async def _wait_to_retry(self, *, is_overloaded: bool) -> None:
        delay = self.backoff.next_delay()
        if self.pacing.is_pushed:  # no other limiter uses this agent
            await asyncio.sleep(delay)
            return
        self.poll_allowed.clear()
        self.on_failed(is_overloaded)
        if is_overloaded:  # it serves all limiters, so its next call is agreed on with them
            await self.poll_allowed.wait()
        else:
            await asyncio.sleep(delay)

    async def _connect(self) -> DiscoveryConnection:
        async with asyncio.timeout(self.dial_timeout):
            _, connection = await self.loop.create_connection(DiscoveryConnection, *self.address)
        return connection

    async def _poll(self, connection: DiscoveryConnection) -> bool:
        """Make one call and apply its response; return whether the connection can carry the next."""
        known_version = self.version
        target = LIST_PATH
        wait_ms = 0
        if known_version is not None:
            wait_ms = self.pacing.wait if self.is_current else CATCH_UP_POLL_MS
            target = f"{LIST_PATH}?since={known_version}&timeout_ms={wait_ms}"
        host, port = self.address
        # A machine cut off leaves the connection open and silent: without this the list would stay as it is.
        async with asyncio.timeout(wait_ms / 1000 + self.pacing.grace_seconds):
            response = await connection.get(target, f"{host}:{port}")
        listed = self._read(response)
        if known_version is not None and listed.version < known_version and not listed.is_full:
            raise VersionRegressionError(listed.version, known_version)
        self._apply(listed, is_full=listed.is_full or known_version is None)
        return response.keep_alive

    def _read(self, response: DiscoveryResponse) -> EndpointList:
        if response.status >= 500:
            raise DiscoveryOverloadedError(response.status)
        if response.status != 200:
            raise UnexpectedStatusError(response.status)
        return parse_endpoint_list(json.loads(response.body), self.names)

    def _apply(self, listed: EndpointList, *, is_full: bool) -> None:
        self.version = listed.version
        self.backoff.reset()
        self.is_current = True
        # Where discovery is shared, the policy has to hear of each success, also of one without changes.
        if listed.entries or listed.is_full or not self.pacing.is_pushed:
            self.on_changed(listed.entries, is_full, False)
        if not self.first_response.is_set():
            log.info("discovery_list_received version=%d entries=%d", listed.version, len(listed.entries))
            self.first_response.set()
