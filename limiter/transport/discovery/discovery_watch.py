"""Watches discovery with long polls for the endpoint list and its changes."""

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
    LateResponseError,
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
from limiter.transport.discovery.late_calls import DiscoveryCall, LateCalls
from limiter.transport.discovery.list_confirmation import ListConfirmation
from limiter.transport.discovery.poll_pacing import CATCH_UP_POLL_MS, FIRST_BACKOFF_SECONDS, PollPacing
from limiter.transport.http_response import HttpResponse

log = logging.getLogger(__name__)

LIST_PATH = "/catalog/members"
# Time after a change of the address from which the changes that the new agent holds bind the limiter.
CONFIRMATION_SECONDS = 4.0

ListExpiredCallback = Callable[[], None]
PollFailedCallback = Callable[[bool], None]  # The argument says whether discovery is overloaded.


class EndpointListCallback(Protocol):
    """Receives an endpoint list or the changes to the previous one."""

    def __call__(self, servers: list[ListedEndpoint], is_full_list: bool, from_cache: bool) -> None:
        """Apply an endpoint list.

        Args:
            servers: The servers in the list.
            is_full_list: Whether servers that are not in the list have left; otherwise they are unchanged.
            from_cache: Whether the list comes from the configuration and may be outdated.
        """


@dataclass(frozen=True, slots=True)
class DiscoveryWatchOptions:
    """Address of discovery and parameters of the calls to it.

    Attributes:
        address: Address of discovery or of its agent on this host.
        names: Numbers of the zones and machine types.
        dial_timeout_ms: Time after which opening a connection fails.
        pacing: Long poll duration, timeouts and backoff of the calls.
    """

    address: Address
    names: NameNumbering
    dial_timeout_ms: float
    pacing: PollPacing


class DiscoveryWatch:
    """Polls discovery continuously and reports the endpoint list and its changes.

    A running watch is in one of three states: it waits for the response to a call, it waits for its backoff
    after a failure, or it waits for `allow_next_poll`. The last state occurs only if all limiters share one
    discovery and it is overloaded: they then coordinate the times of their next calls.
    """

    def __init__(
        self,
        options: DiscoveryWatchOptions,
        on_changed: EndpointListCallback,
        on_failed: PollFailedCallback,
        on_expired: ListExpiredCallback,
    ) -> None:
        """Create a watch; `start` starts it.

        Args:
            options: Address of discovery and parameters of the calls to it.
            on_changed: Called with an endpoint list or the changes to the previous one.
            on_failed: Called after each failed call if all limiters share one discovery.
            on_expired: Called when the current list must not be used until `on_changed` is called, because an
                agent on this host may hold changes to it and does not respond.
        """
        self._names = options.names
        self._pacing = options.pacing
        self._dial_timeout_seconds = min(options.dial_timeout_ms / 1000, options.pacing.grace_seconds)
        self._on_changed = on_changed
        self._on_failed = on_failed
        self._address = options.address
        # Version of the last list. The next call requests the changes since then, or a full list if this is
        # None.
        self._list_version: int | None = None
        self._is_list_current = False  # The last call succeeded, so the next one can wait for a change.
        self._backoff = Backoff(FIRST_BACKOFF_SECONDS, options.pacing.max_backoff_seconds)
        self._task: asyncio.Task[None] | None = None
        self._is_failure_logged = False  # Reset by a success, so that a persistent failure is logged once.
        self._confirmation = ListConfirmation(on_expired)
        self._late_calls = LateCalls(self._handle_late_response)
        self.first_list_received = asyncio.Event()  # Set once discovery has sent a list.
        self.poll_allowed = asyncio.Event()  # Cleared after a failed call, set by `allow_next_poll`.

    def load_configured_endpoints(self, document: object) -> None:
        """Report the endpoint list from the configuration, which may be outdated.

        The first call to a shared discovery then requests only the changes since this list. For a full list,
        discovery would have to send one entry per server to each of the many limiters that may start at the
        same time. An agent on this host is asked for a full list instead: that costs nothing, and the version
        of the configured list may come from another agent, whose versions are not comparable.

        Args:
            document: The list in discovery's JSON format, or None if the configuration contains none.

        Raises:
            ConfigError: The document is not a valid endpoint list.
        """
        if document is None:
            return
        try:
            configured_list = parse_endpoint_list(document, self._names)
        except MemberListError as error:
            raise ConfigError(key="known", problem=str(error)) from error
        self._list_version = None if self._pacing.uses_local_agent else configured_list.version
        self._on_changed(configured_list.entries, is_full_list=True, from_cache=True)
        if self._pacing.uses_local_agent:
            self._confirmation.require_now()

    @property
    def is_list_usable(self) -> bool:
        """Whether attempts may be sent by the current list."""
        return self._confirmation.is_list_usable

    def expire_unusable_list(self) -> None:
        """Report the current list as expired if it must not be used and that was not reported before."""
        self._confirmation.expire_if_unusable()

    def allow_next_poll(self) -> None:
        """Allow the next call, which is delayed while discovery is overloaded."""
        self.poll_allowed.set()

    def start(self) -> None:
        """Start polling; the event loop must be running."""
        self._is_failure_logged = False
        self._task = asyncio.get_running_loop().create_task(self._run())

    def change_address(self, address: Address) -> None:
        """Poll another address.

        The current list stays in effect until that address sends a full list. If it is that of an agent on
        this host, the list expires after CONFIRMATION_SECONDS.
        """
        if address == self._address:
            return
        self._cancel_polling()
        self._address = address
        self._backoff.reset()
        # Each agent numbers its versions independently, so its changes since the known version would be
        # incomplete.
        self._list_version = None
        self._is_list_current = False
        if self._pacing.uses_local_agent:
            self._confirmation.require_within(CONFIRMATION_SECONDS)
        self.start()

    def close(self) -> None:
        """Stop polling and cancel the call in progress."""
        self._confirmation.close()
        self._cancel_polling()

    def _cancel_polling(self) -> None:
        self._late_calls.close()
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        while True:
            is_overloaded = await self._poll_until_failure()
            self._is_list_current = False
            await self._wait_to_retry(is_overloaded=is_overloaded)

    async def _poll_until_failure(self) -> bool:
        """Poll on one connection until it fails or is closed; return whether discovery is overloaded."""
        connection: DiscoveryConnection | None = None
        try:
            connection = await self._connect()
            while await self._poll(connection):
                self._is_failure_logged = False
        except LateResponseError as error:
            connection = None  # It waits for the response to the late call.
            self._handle_failure(error)
        except Exception as error:  # noqa: BLE001 - any error: otherwise polling stops and the list never changes
            # The error itself is not returned, because its traceback keeps the response alive, which has up
            # to MAX_LIST_BYTES.
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
        # After a failed connection or an overload, the changes since the known version can still be
        # requested. After an invalid response, only a full list is reliable.
        if not isinstance(error, OSError):
            self._list_version = None
        self._confirmation.record_failure(error)

    async def _wait_to_retry(self, *, is_overloaded: bool) -> None:
        delay_seconds = self._backoff.next_delay_seconds()
        if self._pacing.uses_local_agent:
            # No other limiter calls this agent, so the next call needs no coordination.
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
        """Make one call and apply its response; return whether the connection can be reused."""
        known_version = self._list_version
        target = LIST_PATH
        long_poll_ms = 0
        pacing = self._pacing
        grace_seconds = pacing.grace_seconds if self._is_list_current else pacing.catch_up_grace_seconds
        if known_version is not None:
            long_poll_ms = pacing.long_poll_ms if self._is_list_current else CATCH_UP_POLL_MS
            target = f"{LIST_PATH}?since={known_version}&timeout_ms={long_poll_ms}"
        host, port = self._address
        response_task = asyncio.get_running_loop().create_task(connection.get(target, f"{host}:{port}"))
        call = DiscoveryCall(connection, known_version, response_task)
        response = await self._wait_for_response(call, long_poll_ms / 1000 + grace_seconds)
        self._apply_response(call, response)
        return response.keep_alive

    async def _wait_for_response(self, call: DiscoveryCall, timeout_seconds: float) -> HttpResponse:
        """Return the response to a call.

        The connection to an unreachable host stays open without delivering anything. Without this timeout
        the list would never be updated again.

        Raises:
            TimeoutError: The agent on this host has not responded in time.
            LateResponseError: A shared discovery has not responded in time; it may still do so.
        """
        try:
            await asyncio.wait((call.response,), timeout=timeout_seconds)
        except asyncio.CancelledError:
            call.give_up()
            raise
        if call.response.done():
            return call.response.result()
        if self._pacing.uses_local_agent:
            call.give_up()
            raise TimeoutError
        self._late_calls.add(call)
        raise LateResponseError

    def _handle_late_response(self, call: DiscoveryCall, response: HttpResponse) -> None:
        """Apply the response to a call that was late, unless a later call has returned a newer list."""
        try:
            received_list = self._parse_response(response)
        except (ValueError, ConnectionError):
            return  # The call has failed already, and the next one is under way.
        is_full = received_list.is_full or call.known_version is None
        known_version = self._list_version
        is_newer = known_version is not None and received_list.version >= known_version
        if is_newer or (is_full and known_version is None):
            self._apply_list(received_list, is_full=is_full)

    def _apply_response(self, call: DiscoveryCall, response: HttpResponse) -> None:
        """Apply the list in a response.

        Raises:
            DiscoveryOverloadedError: Discovery rejected the call.
            ValueError: The response contains no list, or one that does not belong to the known list.
        """
        received_list = self._parse_response(response)
        known_version = self._list_version
        if known_version is not None and received_list.version < known_version and not received_list.is_full:
            raise VersionRegressionError(received_list.version, known_version)
        self._apply_list(received_list, is_full=received_list.is_full or call.known_version is None)

    def _parse_response(self, response: HttpResponse) -> EndpointList:
        if response.status >= 500:
            raise DiscoveryOverloadedError(response.status)
        if response.status != 200:
            raise UnexpectedStatusError(response.status)
        return parse_endpoint_list(json.loads(response.body), self._names)

    def _apply_list(self, received_list: EndpointList, *, is_full: bool) -> None:
        self._list_version = received_list.version
        self._backoff.reset()
        self._is_list_current = True
        # If all limiters share one discovery, each failure is reported to the policy, so each success has to
        # be reported as well, even one without changes.
        if received_list.entries or received_list.is_full or not self._pacing.uses_local_agent:
            self._on_changed(received_list.entries, is_full_list=is_full, from_cache=False)
        if not self.first_list_received.is_set() or not self._confirmation.is_list_usable:
            log.info(
                "discovery_list_received version=%d entries=%d",
                received_list.version,
                len(received_list.entries),
            )
        self.first_list_received.set()
        self._confirmation.record_list()
