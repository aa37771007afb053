"""Simulation of the network: delays between zones, partitions of regions, and gossip between limiters."""

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
    """Zones and regions of limiters and servers; zones are assigned round robin by number."""

    def __init__(self, experiment: HollowExperiment) -> None:
        """Read how many zones and regions the experiment has."""
        self.zone_count = experiment.zones
        self.region_count = experiment.regions

    def get_zone(self, number: int) -> int:
        """Return the zone of the limiter or server with that number."""
        return number % self.zone_count

    def get_region(self, number: int) -> int:
        """Return the region of the limiter or server with that number."""
        return self.get_region_of_zone(self.get_zone(number))

    def get_region_of_zone(self, zone: int) -> int:
        """Return the region that a zone belongs to."""
        return zone * self.region_count // self.zone_count


class Network:
    """Delivers packets after one-way delays, except between regions that are partitioned."""

    def __init__(self, clock: VirtualClock, experiment: HollowExperiment) -> None:
        """Create a network without partitions, which draws delays from a random generator of its own."""
        self.clock = clock
        self.topology = Topology(experiment)
        self.partitioned_regions: set[int] = set()
        self._parameters = experiment.network
        self._rng = Random(f"{experiment.seed}:wires")

    def draw_delay(self, zone: int, other: int) -> float:
        """Draw the one-way delay between two zones, in ms; infinite across a partition."""
        if zone == other:
            return self._rng.uniform(*self._parameters.same_zone_delay)
        region = self.topology.get_region_of_zone(zone)
        other_region = self.topology.get_region_of_zone(other)
        if region == other_region:
            return self._rng.uniform(*self._parameters.cross_zone_delay)
        if not self.are_regions_connected(region, other_region):
            return math.inf
        return self._rng.uniform(*self._parameters.cross_region_delay)

    def are_regions_connected(self, region: int, other: int) -> bool:
        """Return whether packets pass between two regions."""
        return region == other or not self.partitioned_regions & {region, other}

    def call_after_delay(
        self, zone: int, other: int, callback: Callable[[*Arguments], None], *args: *Arguments
    ) -> None:
        """Schedule `callback(*args)` for the arrival of a packet; across a partition, it is never called."""
        delay = self.draw_delay(zone, other)
        if not math.isinf(delay):
            self.clock.call_at(self.clock.now + delay, callback, *args)


class GossipNetwork(Generic[MessageT]):
    """Delivers gossip datagrams between limiters with delays, losses and a rate limit at each receiver."""

    def __init__(
        self, network: Network, experiment: HollowExperiment, deliver: Callable[[int, MessageT], None]
    ) -> None:
        """Create a network that calls `deliver(receiver, message)` for each datagram that is accepted."""
        self.clock = network.clock
        self.deliver = deliver
        self.receive_limits = [GossipReceiveLimit(experiment.network) for _ in range(experiment.limiters)]
        self._network = network
        self._parameters = experiment.network
        self._rng = np.random.default_rng([experiment.seed, 2])
        self._limiter_count = experiment.limiters
        regions = [network.topology.get_region(number) for number in range(experiment.limiters)]
        self._regions = np.array(regions)

    def broadcast(self, sender: int, message: MessageT) -> int:
        """Send one datagram to each other limiter; return the number of datagrams sent."""
        parameters = self._parameters
        region = int(self._regions[sender])
        delays = self._rng.uniform(*parameters.gossip_delay, self._limiter_count)
        is_delivered = self._rng.random(self._limiter_count) >= parameters.gossip_loss_rate
        is_delivered[sender] = False
        region_count = self._network.topology.region_count
        if region_count > 1:
            is_remote = self._regions != region
            delays += is_remote * self._rng.uniform(*parameters.cross_region_delay, self._limiter_count)
            for other in range(region_count):
                if not self._network.are_regions_connected(region, other):
                    is_delivered &= self._regions != other
        receivers = np.flatnonzero(is_delivered)
        times = delays[receivers] + self.clock.now
        order = np.argsort(times, kind="stable")
        deliveries = zip(times[order].tolist(), receivers[order].tolist(), strict=True)
        FanOut(self.clock, deliveries, self._handle_arrival, message)
        return self._limiter_count - 1

    def _handle_arrival(self, receiver: int, message: MessageT) -> None:
        if self.receive_limits[receiver].admit(self.clock.now):
            self.deliver(receiver, message)


class GossipReceiveLimit:
    """Token bucket that limits the rate of datagrams that a limiter accepts; all others are dropped."""

    __slots__ = ("_burst", "_rate", "_tokens", "_updated_at", "dropped_datagram_count")

    def __init__(self, parameters: NetworkParameters) -> None:
        """Start with a full bucket."""
        self.dropped_datagram_count = 0
        self._rate = parameters.gossip_intake_per_second / 1000  # datagrams per ms
        self._burst = parameters.gossip_intake_burst
        self._tokens = self._burst
        self._updated_at = 0.0

    def admit(self, now: float) -> bool:
        """Return whether a datagram that arrives now is accepted; if not, count it as dropped."""
        self._tokens = min(self._burst, self._tokens + self._rate * (now - self._updated_at))
        self._updated_at = now
        if self._tokens < 1:
            self.dropped_datagram_count += 1
            return False
        self._tokens -= 1
        return True
