"""The watch on discovery: long polls for the endpoint list and its changes."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from limiter.configuration.addresses import Address
from limiter.configuration.config import ConfigError
from limiter.transport.backoff import Backoff
from limiter.transport.discovery.discovery_connection import (
    DiscoveryConnection,
    DiscoveryOverloadedError,
    DiscoveryResponse,
    UnexpectedStatusError,
    VersionRegressionError,
)
from limiter.transport.discovery.endpoint_list import (
    EndpointList,
    ListedEndpoint,
    MemberListError,
    NameNumbering,
    parse_endpoint_list,
)
from limiter.transport.discovery.poll_pacing import CATCH_UP_POLL_MS, FIRST_BACKOFF_SECONDS, PollPacing

log = logging.getLogger(__name__)

LIST_PATH = "/catalog/members"

FailedCallback = Callable[[bool], None]  # Called with whether discovery is overloaded.


class ChangedCallback(Protocol):
    """What is called with an endpoint list, or with the changes to the last one."""

    def __call__(self, servers: list[ListedEndpoint], is_full_list: bool, from_cache: bool) -> None:
        """Apply a list.

        Args:
            servers: the servers that the list names.
            is_full_list: whether all others have left; otherwise they are unchanged.
            from_cache: whether it is the configuration's list, which may be old.
        """


@dataclass(frozen=True, slots=True)
class DiscoveryWatchOptions:
    """Where discovery is, and how it is called.

    Attributes:
        address: address of discovery, or of its agent on this machine.
        names: numbers of zones and machine kinds.
        dial_timeout_ms: longest time in which a connection is opened.
        pacing: durations of the calls.
    """

    address: Address
    names: NameNumbering
    dial_timeout_ms: float
    pacing: PollPacing


class DiscoveryWatch:
    """Polls discovery for as long as it runs, and reports the endpoint list as it changes.

    A running watch is in one of three states. It waits for the response to a call. Or it waits for its
    backoff after a failure. Or, where all limiters share a discovery that is overloaded, it waits for
    `allow_next_poll`, since they agree on the time of each one's next call.
    """

    def __init__(
        self,
        options: DiscoveryWatchOptions,
        on_changed: ChangedCallback,
        on_failed: FailedCallback,
    ) -> None:
        """Describe a watch, which begins with `start`.

        Args:
            options: where discovery is, and how it is called.
            on_changed: called with an endpoint list, or with the changes to the last one.
            on_failed: called after each failed call where all limiters share one discovery.
        """
        self._names = options.names
        self._pacing = options.pacing
        self._dial_timeout_seconds = min(options.dial_timeout_ms / 1000, options.pacing.grace_seconds)
        self._on_changed = on_changed
        self._on_failed = on_failed
        self._address = options.address
        # Version of the list that changes apply to. Without one, the next call asks for a full list.
        self._version: int | None = None
        self._is_current = False  # The last call succeeded, so the next may wait for a change.
        self._backoff = Backoff(FIRST_BACKOFF_SECONDS, options.pacing.max_backoff_seconds)
        self._task: asyncio.Task[None] | None = None
        self._is_failure_logged = False  # Since the last success; a fault that lasts is logged once.
        self.first_list_received = asyncio.Event()  # Set once discovery has sent a list since the start.
        self.poll_allowed = asyncio.Event()  # Cleared by a failed call, set by `allow_next_poll`.

    def load_configured_endpoints(self, document: object) -> None:
        """Report the endpoint list of the configuration, which may be old.

        The first call then asks for the changes since this list: a full list costs discovery a line for each
        server, for each of many limiters that start together. An agent on this machine is asked for the full
        list, which costs nothing there, because versions of one agent mean nothing to another.

        Args:
            document: the list in discovery's form, or None where the configuration has none.

        Raises:
            ConfigError: the document is not an endpoint list.
        """
        if document is None:
            return
        try:
            known = parse_endpoint_list(document, self._names)
        except MemberListError as error:
            raise ConfigError(key="known", problem=str(error)) from error
        self._version = None if self._pacing.uses_local_agent else known.version
        self._on_changed(known.entries, is_full_list=True, from_cache=True)

    def allow_next_poll(self) -> None:
        """Make the call that waits since discovery was overloaded."""
        self.poll_allowed.set()

    def start(self) -> None:
        """Begin to poll; the event loop must be running."""
        self._is_failure_logged = False
        self._task = asyncio.get_running_loop().create_task(self._run())

    def change_address(self, address: Address) -> None:
        """Watch at another address; the list stands until that one has sent its own full list."""
        if address == self._address:
            return
        self.close()
        self._address = address
        self._backoff.reset()
        # Each agent counts versions of its own: its changes since our version would leave some out.
        self._version = None
        self._is_current = False
        self.start()

    def close(self) -> None:
        """Stop polling; a call in progress is given up."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        while True:
            is_overloaded = await self._poll_until_failure()
            self._is_current = False
            await self._wait_to_retry(is_overloaded=is_overloaded)

    async def _poll_until_failure(self) -> bool:
        """Poll on one connection until it fails or is closed; return whether discovery is overloaded."""
        connection: DiscoveryConnection | None = None
        try:
            connection = await self._connect()
            while await self._poll(connection):
                self._is_failure_logged = False
        except Exception as error:  # noqa: BLE001 - whatever it is, the list must not stay as it is for ever
            # Only whether it was an overload is returned: the error's traceback holds the response, which has
            # up to MAX_LIST_BYTES.
            self._handle_failure(error)
            return isinstance(error, DiscoveryOverloadedError)
        finally:
            if connection is not None:
                connection.close_immediately()
        return False

    def _handle_failure(self, error: Exception) -> None:
        if not self._is_failure_logged:
            log.warning("discovery_call_failed error=%r", error)
            self._is_failure_logged = True
        # After a failed connection or an overload the changes since our version are still to be had. After a
        # response that makes no sense, only a full list is certain.
        if not isinstance(error, OSError):
            self._version = None

    async def _wait_to_retry(self, *, is_overloaded: bool) -> None:
        delay_seconds = self._backoff.next_delay_seconds()
        if self._pacing.uses_local_agent:
            # No other limiter calls this agent, so the time of the next call need not be agreed on.
            await asyncio.sleep(delay_seconds)
            return
        self.poll_allowed.clear()
        self._on_failed(is_overloaded)
        if is_overloaded:
            await self.poll_allowed.wait()
        else:
            await asyncio.sleep(delay_seconds)

    async def _connect(self) -> DiscoveryConnection:
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(self._dial_timeout_seconds):
            _, connection = await loop.create_connection(DiscoveryConnection, *self._address)
        return connection

    async def _poll(self, connection: DiscoveryConnection) -> bool:
        """Make one call and apply its response; return whether the connection can carry the next."""
        known_version = self._version
        target = LIST_PATH
        long_poll_ms = 0
        if known_version is not None:
            long_poll_ms = self._pacing.long_poll_ms if self._is_current else CATCH_UP_POLL_MS
            target = f"{LIST_PATH}?since={known_version}&timeout_ms={long_poll_ms}"
        host, port = self._address
        # A machine that was cut off leaves the connection open and sends nothing. Without this timeout the
        # list would stay as it is.
        async with asyncio.timeout(long_poll_ms / 1000 + self._pacing.grace_seconds):
            response = await connection.get(target, f"{host}:{port}")
        received = self._parse(response)
        if known_version is not None and received.version < known_version and not received.is_full:
            raise VersionRegressionError(received.version, known_version)
        self._apply(received, is_full=received.is_full or known_version is None)
        return response.keep_alive

    def _parse(self, response: DiscoveryResponse) -> EndpointList:
        if response.status >= 500:
            raise DiscoveryOverloadedError(response.status)
        if response.status != 200:
            raise UnexpectedStatusError(response.status)
        return parse_endpoint_list(json.loads(response.body), self._names)

    def _apply(self, received: EndpointList, *, is_full: bool) -> None:
        self._version = received.version
        self._backoff.reset()
        self._is_current = True
        # Where all limiters share a discovery, the policy has to hear of each success, even of one without
        # changes, since it has heard of each failure.
        if received.entries or received.is_full or not self._pacing.uses_local_agent:
            self._on_changed(received.entries, is_full_list=is_full, from_cache=False)
        if not self.first_list_received.is_set():
            log.info("discovery_list_received version=%d entries=%d", received.version, len(received.entries))
            self.first_list_received.set()
