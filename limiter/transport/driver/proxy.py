"""Drives the policy engine: events to it, its actions carried out, its timers."""

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
from limiter.transport.driver.request_forwarder import RequestForwarder
from limiter.transport.gossip.gossip_socket import GossipSocket
from limiter.transport.servers.server_pool import ServerPool

log = logging.getLogger(__name__)

# Interval at which connections to servers that were idle for too long are closed.
SWEEP_INTERVAL_SECONDS = 1.0
# Share of the file descriptors that is for connections to servers.
SERVER_CONNECTION_SHARE = 0.4


class Proxy:
    """One limiter: the policy engine, and what carries out its decisions.

    The engine sees events one at a time; each of its actions is carried out before the next event.
    """

    def __init__(self, config: Config, clock: Clock) -> None:
        """Open the socket for gossip, and connect to the counter in the background.

        Connections to servers are opened when they are needed; discovery is polled from `discovery.start` on.

        Args:
            config: The configuration of the process.
            clock: The clock of the events, shared with the request handler.

        Raises:
            OSError: The address for gossip cannot be bound.
        """
        self._loop = asyncio.get_running_loop()
        self._clock = clock
        self.settings = config.settings
        self.engine = PolicyEngine(config.settings, config.seed)
        self.server_pool = ServerPool(
            dial_timeout_ms=config.dial_timeout_ms,
            keepalive_ms=config.keepalive_ms,
            max_connections=config.descriptor_share(SERVER_CONNECTION_SHARE),
        )
        self.forwarder = RequestForwarder(clock, config.settings, self.server_pool, self._handle_event)
        self.requests = self.forwarder.requests
        self.counter = self._make_counter(config)
        self._gossip = self._make_gossip(config)
        # The watch is started by the start of the process, which reads the configured endpoint list before.
        self.discovery = self._make_discovery(config)
        self._ready_servers: set[bytes] = set()
        self._sweep_timer = self._loop.call_later(SWEEP_INTERVAL_SECONDS, self._sweep)

    def _make_counter(self, config: Config) -> CounterClient | None:
        if config.counter is None:
            return None
        options = CounterClientOptions(
            address=config.counter,
            timeout_ms=config.settings.counter_timeout,
            dial_timeout_ms=config.dial_timeout_ms,
        )
        return CounterClient(options, self._counter_replied)

    def _make_gossip(self, config: Config) -> GossipSocket | None:
        if config.gossip is None:
            return None
        return GossipSocket(config.gossip, config.settings.limiter_index, self._gossip_received)

    def _make_discovery(self, config: Config) -> DiscoveryWatch:
        settings = config.settings
        options = DiscoveryWatchOptions(
            address=config.discovery,
            names=NameNumbering(config.zone_names, config.kind_names),
            dial_timeout_ms=config.dial_timeout_ms,
            pacing=PollPacing.for_fleet(
                settings.limiter_count, uses_local_agent=not settings.polls_discovery
            ),
        )
        return DiscoveryWatch(options, self.apply_endpoint_list, self._discovery_failed)

    @property
    def ready(self) -> bool:
        """Whether a server is known that may be sent to."""
        return bool(self._ready_servers)

    # Events from outside

    def apply_endpoint_list(
        self, servers: list[ListedEndpoint], is_full_list: bool, from_cache: bool = False
    ) -> None:
        """Apply the endpoint list, or what changed of it.

        Args:
            servers: The servers of the list, or those that changed.
            is_full_list: Whether servers that are not named are removed.
            from_cache: Whether the list is the one of the configuration, which may be old.
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
            self._ready_servers.add(endpoint.id)
        else:
            self._ready_servers.discard(endpoint.id)
            self.server_pool.drain(endpoint.id)

    def _remove_unlisted(self, listed: set[EndpointId]) -> None:
        self._ready_servers &= listed
        for server_id in [server_id for server_id in self.server_pool.servers if server_id not in listed]:
            self.server_pool.remove(server_id)

    def _discovery_failed(self, rejected: bool) -> None:
        """Note that a poll brought no list; `rejected` says that discovery turned it away."""
        self._handle_event(DiscoveryPollFailed(rejected))

    def _counter_replied(self, key: int, outcome: Outcome, total: float, latency_ms: float) -> None:
        self._handle_event(CounterReply(key, outcome, total, latency_ms))

    def _gossip_received(self, sender: int, body: bytes) -> None:
        self._handle_event(GossipReceived(sender, body))

    # Actions of the policy

    def _handle_event(self, event: Event) -> None:
        for action in self.engine.handle(self._clock(), event):
            self._carry_out(action)

    def _carry_out(self, action: Action) -> None:
        # The most frequent actions come first: each class is compared in turn.
        match action:
            case SendAttempt() | RejectRequest() | FailRequest() | CancelAttempt():
                self.forwarder.carry_out(action)
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
                pass  # The limiter's settings allow no health checks.
            case _:
                assert_never(action)

    def _increment_counter(self, action: IncrementCounter) -> None:
        if self.counter is not None:
            self.counter.add(action.key, action.units_to_add, action.time_to_live)

    def _set_timer(self, action: SetTimer) -> None:
        due_ms = self._clock() + action.delay
        self._loop.call_later(action.delay / 1000, self.deliver_timer_when_due, due_ms, action.token)

    def deliver_timer_when_due(self, due_ms: float, token: int) -> None:
        """Deliver TimerFired once the policy's clock has reached the timer's time.

        The loop's time is that of its turn's start, so its timers may come early by the length of a turn; the
        policy ignores a timer that comes before its time, and would never set it again.
        """
        early_ms = due_ms - self._clock()
        if early_ms > 0:
            self._loop.call_later(math.ceil(early_ms) / 1000, self.deliver_timer_when_due, due_ms, token)
        else:
            self._handle_event(TimerFired(token))

    def _broadcast_gossip(self, action: BroadcastGossip) -> None:
        if self._gossip is not None:
            self._gossip.broadcast(action.body)

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
        if self._gossip is not None:
            self._gossip.close()
        self.server_pool.close()
