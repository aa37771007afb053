"""The emulated peers around one limiter process, and what they count."""

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
from scale.process.fleet import CUSTOMER_IDS, build_settings
from scale.process.gossip_peers import GossipPeers
from scale.process.limiter_process import LimiterProcess
from scale.process.plan import ProcessExperiment
from scale.process.servers import Servers


class Environment:
    """Servers, discovery, counter, gossip peers and clients of the limiter under test."""

    # `start` makes both, as they need the addresses of the servers.
    endpoints: EndpointList
    discovery: Discovery

    def __init__(self, experiment: ProcessExperiment, servers: int, limiters: int, rng: Random) -> None:
        """Make the emulated peers for a list of `servers` and a fleet of `limiters`; none is started."""
        self.experiment = experiment
        self.limiters = limiters
        self.servers = Servers(experiment.work_ms)
        self.counter = Counter(experiment.counter_per_s)
        # None until the limiter is ready and `start_clients` is called.
        self.clients: Clients | None = None
        self.delays_s: list[float] = []  # how late each action of this phase was
        self._endpoint_count = servers
        self._rng = rng
        self._customers = rng.sample(range(CUSTOMER_IDS), experiment.customers)
        self.peers = GossipPeers(limiters, self._customers, experiment.entries, rng)

    async def start(self, folder: Path) -> LimiterProcess:
        """Start all emulated peers but the clients, then the limiter with its configuration in `folder`."""
        await self.servers.start(self.experiment.listeners)
        self.endpoints = EndpointList(self._endpoint_count, self.servers.addresses)
        self.discovery = Discovery(self.endpoints)
        self.peers.start()
        config = {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "discovery": await self.discovery.start(),
            "counter": await self.counter.start(),
            "seed": f"{self._rng.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": build_settings(self.limiters, self.experiment.discovery),
            **self.peers.build_config(),
        }
        if self.experiment.has_known_list:
            config["known"] = self.endpoints.decode_full_list()
        return await LimiterProcess.start(config, folder)

    def start_clients(self, address: tuple[str, int]) -> Clients:
        """Make the clients of a limiter that is ready."""
        self.clients = Clients(address, self.limiters, self._customers, self.servers, self._rng)
        return self.clients

    def close(self) -> None:
        """Close all emulated peers."""
        self.servers.close()
        self.discovery.close()
        self.counter.close()
        self.peers.close()
        if self.clients is not None:
            self.clients.close()

    def counts(self) -> Tally[str]:
        """All that was counted so far, by the keys of the result lines."""
        tally = Tally(
            watches=self.discovery.calls,
            changes=self.endpoints.change_count,
            changes_heard=self.discovery.acknowledged_changes,
            counter_calls=self.counter.accepted_calls + self.counter.busy_calls,
            counter_busy=self.counter.busy_calls,
            datagrams_in=self.peers.datagrams_sent,
            datagrams_out=self.peers.received,
        )
        traffics = {
            "discovery": self.discovery.traffic,
            "counter": self.counter.traffic,
            "peers": self.peers.traffic,
            "nodes": self.servers.traffic,
        }
        for name, traffic in traffics.items():
            tally[f"{name}_bytes_in"] = traffic.bytes_in
            tally[f"{name}_bytes_out"] = traffic.bytes_out
        return tally

    async def repeat(self, action: Callable[[], None], per_s: float, seconds: float) -> None:
        """Call `action` at that rate, evenly, from now on; a late call shifts none of the later ones."""
        if not per_s:
            return
        started_at = time.monotonic()
        for index in range(round(per_s * seconds)):
            due = started_at + (index + 0.5) / per_s
            await asyncio.sleep(due - time.monotonic())
            self.delays_s.append(time.monotonic() - due)
            action()
