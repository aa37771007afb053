"""Faults of an experiment: what they stop, and when it is back."""

from __future__ import annotations

from scale.hollow.context import Context
from scale.hollow.discovery import Discovery
from scale.hollow.limiters import LimiterHost
from scale.hollow.plan import (
    CounterOutage,
    CutRegions,
    DiscoveryOutage,
    DrainServers,
    Fault,
    LoseZone,
    RestartLimiters,
    RestartServers,
)
from scale.hollow.servers import ServerFleet


class FaultInjector:
    """Schedules the experiment's faults and carries them out."""

    def __init__(
        self, context: Context, host: LimiterHost, servers: ServerFleet, discovery: Discovery
    ) -> None:
        """Schedule nothing until `start`."""
        self._faults = context.experiment.faults
        self._clock = context.clock
        self._rng = context.rng
        self._partitioned_regions = context.network.partitioned_regions
        self._host = host
        self._servers = servers
        self._discovery = discovery

    def start(self) -> None:
        """Schedule all faults of the experiment."""
        for fault in self._faults:
            self._clock.call_at(fault.at, self._inject, fault)

    def _inject(self, fault: Fault) -> None:
        match fault:
            case RestartLimiters():
                self._restart_limiters(fault)
            case RestartServers():
                running = self._servers.running()
                chosen = [running[index] for index in self._sample(len(running), fault.share)]
                self._servers.stop(chosen, fault.down, is_machine_lost=False)
            case DrainServers():
                running = self._servers.running()
                for index in self._sample(len(running), fault.share):
                    self._servers.drain(running[index], fault.drain)
            case LoseZone():
                self._lose_zone(fault)
            case CutRegions():
                self._partitioned_regions.add(fault.region)
                end = self._clock.now + fault.lasting
                self._clock.call_at(end, self._partitioned_regions.discard, fault.region)
            case CounterOutage():
                self._host.counter.begin_outage()
                self._clock.call_at(self._clock.now + fault.lasting, self._host.counter.end_outage)
            case DiscoveryOutage():
                self._discovery.begin_outage()
                self._clock.call_at(self._clock.now + fault.lasting, self._discovery.end_outage)

    def _sample(self, count: int, share: float) -> list[int]:
        """Draw that share of the numbers below `count`."""
        return self._rng.sample(range(count), round(share * count))

    def _restart_limiters(self, fault: RestartLimiters) -> None:
        limiters = self._host.limiters
        chosen = self._sample(len(limiters), fault.share)
        for index, number in enumerate(chosen):
            batch = index * fault.batches // len(chosen)
            kill_at = self._clock.now + batch * fault.interval
            self._clock.call_at(kill_at, self._host.kill, limiters[number])
            self._clock.call_at(kill_at + fault.down, self._host.start, limiters[number])

    def _lose_zone(self, fault: LoseZone) -> None:
        if fault.servers:
            in_zone = [server for server in self._servers.running() if server.zone == fault.zone]
            self._servers.stop(in_zone, fault.lasting, is_machine_lost=True)
        if not fault.limiters:
            return
        for limiter in self._host.limiters:
            if limiter.zone == fault.zone:
                self._host.kill(limiter)
                self._clock.call_at(self._clock.now + fault.lasting, self._host.start, limiter)
