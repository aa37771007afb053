"""The emulated peers of one limiter process, and the counts that they keep."""

from __future__ import annotations

import asyncio
import time
from collections import Counter as Tally
from collections.abc import Callable
from pathlib import Path
from random import Random

from scale.process.clients import Clients
from scale.process.counter import Counter
from scale.process.discovery import Discovery
from scale.process.endpoint_list import EndpointList
from scale.process.fleet import CUSTOMER_ID_BOUND, build_settings
from scale.process.gossip_peers import GossipPeers
from scale.process.limiter_process import LimiterProcess
from scale.process.plan import ProcessExperiment
from scale.process.servers import Servers


class Environment:
    """Servers, discovery, counter, gossip peers and clients of the limiter under test."""

    # Created by `start`, because they need the addresses of the servers.
    endpoints: EndpointList
    discovery: Discovery

    def __init__(
        self, experiment: ProcessExperiment, server_count: int, limiter_count: int, rng: Random
    ) -> None:
        """Create the emulated peers without starting them.

        Args:
            experiment: the experiment.
            server_count: number of servers in the endpoint list at first.
            limiter_count: number of limiters in the fleet, including the one under test.
            rng: source of all random values.
        """
        self.experiment = experiment
        self.limiter_count = limiter_count
        self.servers = Servers(experiment.service_time_ms)
        self.counter = Counter(experiment.max_counter_calls_per_s)
        # None until `start_clients` is called, which is once the limiter is ready.
        self.clients: Clients | None = None
        self.action_delays_s: list[float] = []  # how late each action of this phase was called
        self._server_count = server_count
        self._rng = rng
        self._customers = rng.sample(range(CUSTOMER_ID_BOUND), experiment.customers)
        self.peers = GossipPeers(limiter_count, self._customers, experiment.customers_per_message, rng)

    async def start(self, directory: Path) -> LimiterProcess:
        """Start all emulated peers except the clients, then the limiter.

        Args:
            directory: directory for the configuration file of the limiter.
        """
        await self.servers.start(self.experiment.server_listeners)
        self.endpoints = EndpointList(self._server_count, self.servers.addresses)
        self.discovery = Discovery(self.endpoints)
        self.peers.start()
        config = {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "discovery": await self.discovery.start(),
            "counter": await self.counter.start(),
            "seed": f"{self._rng.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": build_settings(self.limiter_count, self.experiment.discovery),
            **self.peers.build_config(),
        }
        if self.experiment.has_configured_endpoints:
            config["known"] = self.endpoints.decode_full_list()
        return await LimiterProcess.start(config, directory)

    def start_clients(self, address: tuple[str, int]) -> Clients:
        """Create the clients of the limiter, which must be ready."""
        self.clients = Clients(address, self.limiter_count, self._customers, self.servers, self._rng)
        return self.clients

    def close(self) -> None:
        """Close all emulated peers."""
        self.servers.close()
        self.discovery.close()
        self.counter.close()
        self.peers.close()
        if self.clients is not None:
            self.clients.close()

    def collect_counts(self) -> Tally[str]:
        """Return all counts since the start, by the keys of the result lines."""
        tally = Tally(
            watches=self.discovery.calls,
            changes=self.endpoints.change_count,
            changes_heard=self.discovery.acknowledged_changes,
            counter_calls=self.counter.accepted_calls + self.counter.busy_calls,
            counter_busy=self.counter.busy_calls,
            datagrams_in=self.peers.datagrams_sent,
            datagrams_out=self.peers.datagrams_received,
        )
        traffic_by_peer = {
            "discovery": self.discovery.traffic,
            "counter": self.counter.traffic,
            "peers": self.peers.traffic,
            "nodes": self.servers.traffic,
        }
        for name, traffic in traffic_by_peer.items():
            tally[f"{name}_bytes_in"] = traffic.bytes_to_limiter
            tally[f"{name}_bytes_out"] = traffic.bytes_from_limiter
        return tally

    async def call_at_rate(self, action: Callable[[], None], calls_per_s: float, duration_s: float) -> None:
        """Call `action` at even intervals for `duration_s`. A late call does not delay the later ones."""
        if not calls_per_s:
            return
        started_at = time.monotonic()
        for index in range(round(calls_per_s * duration_s)):
            due_at = started_at + (index + 0.5) / calls_per_s
            await asyncio.sleep(due_at - time.monotonic())
            self.action_delays_s.append(time.monotonic() - due_at)
            action()
