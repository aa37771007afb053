"""Simulation of the network: delays between zones, partitioned regions, and gossip between limiters."""

from __future__ import annotations

import math
from collections.abc import Callable
from random import Random
from typing import Generic, TypeVar, TypeVarTuple

import numpy as np

from scale.hollow.clock import FanOut, VirtualClock
from scale.hollow.plan import HollowExperiment, NetworkParameters

Arguments = TypeVarTuple("Arguments")
MessageT = TypeVar("MessageT")


class Topology:
    """Zones and regions of limiters and servers: assigned round robin by number."""

    def __init__(self, experiment: HollowExperiment) -> None:
        """Take the numbers of zones and regions from the experiment."""
        self.zone_count = experiment.zones
        self.region_count = experiment.regions

    def zone(self, number: int) -> int:
        """Zone of the limiter or server with that number."""
        return number % self.zone_count

    def region(self, number: int) -> int:
        """Region of the limiter or server with that number."""
        return self.region_of_zone(self.zone(number))

    def region_of_zone(self, zone: int) -> int:
        """Region that a zone belongs to."""
        return zone * self.region_count // self.zone_count


class Network:
    """One-way delays between zones, and which regions are partitioned from the others."""

    def __init__(self, clock: VirtualClock, experiment: HollowExperiment) -> None:
        """Connect everything; delays are drawn from a stream of random numbers of its own."""
        self.clock = clock
        self.topology = Topology(experiment)
        self.partitioned_regions: set[int] = set()
        self._parameters = experiment.network
        self._rng = Random(f"{experiment.seed}:wires")

    def draw_delay(self, zone: int, other: int) -> float:
        """Draw the one-way delay between two zones, in ms; infinite across a partition."""
        if zone == other:
            return self._rng.uniform(*self._parameters.same_zone)
        region = self.topology.region_of_zone(zone)
        other_region = self.topology.region_of_zone(other)
        if region == other_region:
            return self._rng.uniform(*self._parameters.cross_zone)
        if not self.is_connected(region, other_region):
            return math.inf
        return self._rng.uniform(*self._parameters.cross_region)

    def is_connected(self, region: int, other: int) -> bool:
        """Whether packets pass between two regions."""
        return region == other or not self.partitioned_regions & {region, other}

    def call_after_delay(
        self, zone: int, other: int, callback: Callable[[*Arguments], None], *args: *Arguments
    ) -> None:
        """Schedule `callback(*args)` for the arrival of a packet; it never arrives across a partition."""
        delay = self.draw_delay(zone, other)
        if not math.isinf(delay):
            self.clock.call_at(self.clock.now + delay, callback, *args)


class GossipNetwork(Generic[MessageT]):
    """Gossip datagrams between limiters: delayed, partly dropped, and rate limited at each receiver."""

    def __init__(
        self, network: Network, experiment: HollowExperiment, deliver: Callable[[int, MessageT], None]
    ) -> None:
        """Hand each datagram that arrives to `deliver(receiver, message)`."""
        self.clock = network.clock
        self.deliver = deliver
        self.intakes = [GossipReceiveLimit(experiment.network) for _ in range(experiment.limiters)]
        self._network = network
        self._parameters = experiment.network
        self._rng = np.random.default_rng([experiment.seed, 2])
        self._limiter_count = experiment.limiters
        regions = [network.topology.region(number) for number in range(experiment.limiters)]
        self._regions = np.array(regions)

    def broadcast(self, sender: int, message: MessageT) -> int:
        """Send one datagram to each other limiter; return how many were sent."""
        parameters = self._parameters
        region = int(self._regions[sender])
        delays = self._rng.uniform(*parameters.peer, self._limiter_count)
        arrives = self._rng.random(self._limiter_count) >= parameters.peer_loss
        arrives[sender] = False
        region_count = self._network.topology.region_count
        if region_count > 1:
            is_remote = self._regions != region
            delays += is_remote * self._rng.uniform(*parameters.cross_region, self._limiter_count)
            for other in range(region_count):
                if not self._network.is_connected(region, other):
                    arrives &= self._regions != other
        receivers = np.flatnonzero(arrives)
        times = delays[receivers] + self.clock.now
        order = np.argsort(times, kind="stable")
        deliveries = zip(times[order].tolist(), receivers[order].tolist(), strict=True)
        FanOut(self.clock, deliveries, self._arrived, message)
        return self._limiter_count - 1

    def _arrived(self, receiver: int, message: MessageT) -> None:
        if self.intakes[receiver].admit(self.clock.now):
            self.deliver(receiver, message)


class GossipReceiveLimit:
    """Token bucket of the datagrams that one limiter takes in; datagrams beyond it are dropped."""

    __slots__ = ("_burst", "_rate", "_tokens", "_updated_at", "dropped_datagram_count")

    def __init__(self, parameters: NetworkParameters) -> None:
        """Start with a full bucket."""
        self.dropped_datagram_count = 0
        self._rate = parameters.peer_intake / 1000  # datagrams a ms
        self._burst = parameters.peer_intake_burst
        self._tokens = self._burst
        self._updated_at = 0.0

    def admit(self, now: float) -> bool:
        """Take in a datagram that arrives now, or count it as dropped; return whether it was taken in."""
        self._tokens = min(self._burst, self._tokens + self._rate * (now - self._updated_at))
        self._updated_at = now
        if self._tokens < 1:
            self.dropped_datagram_count += 1
            return False
        self._tokens -= 1
        return True
