"""Drives the policy engine: passes events to it, executes its actions and runs its timers."""

from __future__ import annotations

import asyncio
import logging
import math
from typing import assert_never

from limiter.configuration.addresses import Address
from limiter.configuration.config import Config
from limiter.model.actions import (
    Action,
    BroadcastGossip,
    CancelAttempt,
    FailRequest,
    IncrementCounter,
    LogMessage,
    PollDiscovery,
    RejectRequest,
    SendAttempt,
    SendHealthCheck,
    SetTimer,
)
from limiter.model.events import (
    CounterReply,
    DiscoveryPollFailed,
    Endpoint,
    EndpointId,
    EndpointListExpired,
    EndpointsChanged,
    EndpointState,
    Event,
    GossipReceived,
    Outcome,
    TimerFired,
)
from limiter.policy.engine import PolicyEngine
from limiter.transport.clock import Clock
from limiter.transport.counter.counter_client import CounterClient, CounterClientOptions
from limiter.transport.discovery.discovery_watch import DiscoveryWatch, DiscoveryWatchOptions
from limiter.transport.discovery.endpoint_list import ListedEndpoint, NameNumbering
from limiter.transport.discovery.poll_pacing import PollPacing
from limiter.transport.driver.proxied_request import RequestTable
from limiter.transport.driver.request_forwarder import RequestForwarder
from limiter.transport.gossip.gossip_socket import GossipSocket
from limiter.transport.request_memory import RequestMemory
from limiter.transport.servers.server_pool import ServerPool

log = logging.getLogger(__name__)

# Interval at which connections to servers are closed if they were idle for too long.
SWEEP_INTERVAL_SECONDS = 1.0
# Fraction of the file descriptors that are not reserved, for connections to servers.
SERVER_DESCRIPTOR_FRACTION = 0.4
# Fraction of the memory for the requests that are received or open, and for responses that clients have not
# read. The rest is for the program, and for responses that are being received from servers.
REQUEST_MEMORY_FRACTION = 0.25


class Proxy:
    """One limiter: the policy engine, and the sockets and timers that execute its decisions.

    The engine handles one event at a time; all actions for an event are executed before the next event.
    """

    def __init__(self, config: Config, clock: Clock) -> None:
        """Open the gossip socket, and start to connect to the counter in the background.

        Connections to servers are opened on demand; discovery is polled once `discovery.start` was called.

        Args:
            config: The configuration of the process.
            clock: The clock of the events, shared with the request handler.

        Raises:
            OSError: The gossip address cannot be bound.
        """
        self._loop = asyncio.get_running_loop()
        self._clock = clock
        self.settings = config.settings
        self.engine = PolicyEngine(config.settings, config.seed)
        self.server_pool = ServerPool(
            dial_timeout_ms=config.dial_timeout_ms,
            keepalive_ms=config.keepalive_ms,
            max_connections=config.compute_descriptor_budget(SERVER_DESCRIPTOR_FRACTION),
        )
        self.request_memory = RequestMemory(int(config.max_memory_bytes * REQUEST_MEMORY_FRACTION))
        self.requests = RequestTable(self.request_memory)
        self.forwarder = RequestForwarder(
            clock, config.settings, self.server_pool, self.requests, self._handle_event
        )
        self.counter = self._make_counter_client(config)
        self._gossip_socket = self._make_gossip_socket(config)
        # The process starts the watch later, after it has read the endpoint list of the configuration.
        self.discovery = self._make_discovery_watch(config)
        self._ready_server_ids: set[bytes] = set()
        self._sweep_timer = self._loop.call_later(SWEEP_INTERVAL_SECONDS, self._sweep)

    def _make_counter_client(self, config: Config) -> CounterClient | None:
        if config.counter_address is None:
            return None
        options = CounterClientOptions(
            address=config.counter_address,
            timeout_ms=config.settings.counter_timeout,
            dial_timeout_ms=config.dial_timeout_ms,
        )
        return CounterClient(options, self._counter_replied)

    def _make_gossip_socket(self, config: Config) -> GossipSocket | None:
        if config.gossip is None:
            return None
        return GossipSocket(config.gossip, config.settings.limiter_index, self._gossip_received)

    def _make_discovery_watch(self, config: Config) -> DiscoveryWatch:
        settings = config.settings
        options = DiscoveryWatchOptions(
            address=config.discovery_address,
            names=NameNumbering(config.zone_names, config.machine_type_names),
            dial_timeout_ms=config.dial_timeout_ms,
            pacing=PollPacing.for_fleet(
                settings.limiter_count, uses_local_agent=not settings.polls_discovery
            ),
        )
        return DiscoveryWatch(
            options, self.apply_endpoint_list, self._discovery_poll_failed, self._endpoint_list_expired
        )

    @property
    def is_ready(self) -> bool:
        """Whether at least one known server is ready for requests."""
        return bool(self._ready_server_ids)

    # Events from discovery, the counter and gossip

    def apply_endpoint_list(
        self, servers: list[ListedEndpoint], is_full_list: bool, from_cache: bool = False
    ) -> None:
        """Apply a full endpoint list, or the changes to the current one.

        Args:
            servers: All servers of the list, or those that changed.
            is_full_list: Whether `servers` is the full list, so that servers that it omits are removed.
            from_cache: Whether the list is the one in the configuration, which may be outdated.
        """
        for endpoint, address in servers:
            self._apply_endpoint(endpoint, address)
        endpoints = tuple(endpoint for endpoint, _ in servers)
        if is_full_list:
            self._remove_unlisted({endpoint.id for endpoint in endpoints})
        self._handle_event(EndpointsChanged(endpoints, is_full_list, from_cache))

    def _apply_endpoint(self, endpoint: Endpoint, address: Address) -> None:
        if endpoint.state is EndpointState.GONE:
            self.server_pool.remove(endpoint.id)
        else:
            self.server_pool.add_or_replace(endpoint.id, address, endpoint.started_at)
        if endpoint.state is EndpointState.READY:
            self._ready_server_ids.add(endpoint.id)
        else:
            self._ready_server_ids.discard(endpoint.id)
            self.server_pool.drain(endpoint.id)

    def _remove_unlisted(self, listed_ids: set[EndpointId]) -> None:
        self._ready_server_ids &= listed_ids
        for server_id in [server_id for server_id in self.server_pool.servers if server_id not in listed_ids]:
            self.server_pool.remove(server_id)

    def _endpoint_list_expired(self) -> None:
        """Stop sending attempts until discovery has sent a list; attempts already written continue."""
        self.server_pool.drain_all()
        self._handle_event(EndpointListExpired())

    def _discovery_poll_failed(self, is_rejected: bool) -> None:
        """Report a poll that returned no list; `is_rejected` means that discovery rejected the poll."""
        self._handle_event(DiscoveryPollFailed(is_rejected))

    def _counter_replied(self, key: int, outcome: Outcome, total_units: float, latency_ms: float) -> None:
        self._handle_event(CounterReply(key, outcome, total_units, latency_ms))

    def _gossip_received(self, sender: int, body: bytes) -> None:
        self._handle_event(GossipReceived(sender, body))

    # Actions of the policy

    def _handle_event(self, event: Event) -> None:
        for action in self.engine.handle(self._clock(), event):
            self._execute_action(action)

    def _execute_action(self, action: Action) -> None:
        # The most frequent actions come first, since the classes are compared in this order.
        match action:
            case SendAttempt() | RejectRequest() | FailRequest() | CancelAttempt():
                self.forwarder.execute_action(action)
            case SetTimer():
                self._set_timer(action)
            case IncrementCounter():
                self._increment_counter(action)
            case BroadcastGossip():
                self._broadcast_gossip(action)
            case PollDiscovery():
                self.discovery.allow_next_poll()
            case LogMessage():
                log.info("policy_message text=%s", action.text)
            case SendHealthCheck():
                pass  # The policy sends no health checks.
            case _:
                assert_never(action)

    def _increment_counter(self, action: IncrementCounter) -> None:
        if self.counter is not None:
            self.counter.add(action.key, action.units_to_add, action.time_to_live)

    def _set_timer(self, action: SetTimer) -> None:
        due_ms = self._clock() + action.delay
        self._loop.call_later(action.delay / 1000, self.deliver_timer_when_due, due_ms, action.token)

    def deliver_timer_when_due(self, due_ms: float, token: int) -> None:
        """Deliver TimerFired as soon as the policy's clock has reached the time of the timer.

        The event loop's time is that of the start of its iteration, so a timer may fire early by the length
        of an iteration. The policy ignores a timer that fires early, and would never set it again.
        """
        early_ms = due_ms - self._clock()
        if early_ms > 0:
            self._loop.call_later(math.ceil(early_ms) / 1000, self.deliver_timer_when_due, due_ms, token)
        else:
            self._handle_event(TimerFired(token))

    def _broadcast_gossip(self, action: BroadcastGossip) -> None:
        if self._gossip_socket is not None:
            self._gossip_socket.broadcast(action.body)

    # The process

    def _sweep(self) -> None:
        self.server_pool.close_expired_connections()
        self._sweep_timer = self._loop.call_later(SWEEP_INTERVAL_SECONDS, self._sweep)

    def close(self) -> None:
        """Close all sockets and connections."""
        self._sweep_timer.cancel()
        self.discovery.close()
        if self.counter is not None:
            self.counter.close()
        if self._gossip_socket is not None:
            self._gossip_socket.close()
        self.server_pool.close()
