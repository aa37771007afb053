"""The injection of an experiment's faults, and the restoration afterwards."""

from __future__ import annotations

from scale.hollow.context import SimulationContext
from scale.hollow.discovery import Discovery
from scale.hollow.limiters import LimiterHost
from scale.hollow.plan import (
    CounterOutage,
    DiscoveryOutage,
    DrainServers,
    Fault,
    RegionPartition,
    RestartLimiters,
    RestartServers,
    ZoneOutage,
)
from scale.hollow.servers import ServerFleet


class FaultInjector:
    """Schedules the faults of an experiment and injects them."""

    def __init__(
        self,
        context: SimulationContext,
        limiter_host: LimiterHost,
        server_fleet: ServerFleet,
        discovery: Discovery,
    ) -> None:
        """Create the injector; it schedules nothing until `start` is called."""
        self._faults = context.experiment.faults
        self._clock = context.clock
        self._rng = context.rng
        self._partitioned_regions = context.network.partitioned_regions
        self._limiter_host = limiter_host
        self._server_fleet = server_fleet
        self._discovery = discovery

    def start(self) -> None:
        """Schedule all faults of the experiment."""
        for fault in self._faults:
            self._clock.call_at(fault.starts_at, self._inject_fault, fault)

    def _inject_fault(self, fault: Fault) -> None:
        match fault:
            case RestartLimiters():
                self._restart_limiters(fault)
            case RestartServers():
                running = self._server_fleet.list_running_servers()
                chosen = [running[index] for index in self._draw_indices(len(running), fault.server_share)]
                self._server_fleet.stop_servers(chosen, fault.downtime, is_machine_lost=False)
            case DrainServers():
                running = self._server_fleet.list_running_servers()
                for index in self._draw_indices(len(running), fault.server_share):
                    self._server_fleet.drain_server(running[index], fault.drain_duration)
            case ZoneOutage():
                self._begin_zone_outage(fault)
            case RegionPartition():
                self._partitioned_regions.add(fault.region)
                end = self._clock.now + fault.fault_duration
                self._clock.call_at(end, self._partitioned_regions.discard, fault.region)
            case CounterOutage():
                self._limiter_host.counter.begin_outage()
                self._clock.call_at(
                    self._clock.now + fault.fault_duration, self._limiter_host.counter.end_outage
                )
            case DiscoveryOutage():
                self._discovery.begin_outage()
                self._clock.call_at(self._clock.now + fault.fault_duration, self._discovery.end_outage)

    def _draw_indices(self, count: int, share: float) -> list[int]:
        """Draw the given share of the indices below `count`, in random order."""
        return self._rng.sample(range(count), round(share * count))

    def _restart_limiters(self, fault: RestartLimiters) -> None:
        limiters = self._limiter_host.limiters
        chosen = self._draw_indices(len(limiters), fault.limiter_share)
        for index, number in enumerate(chosen):
            batch = index * fault.batch_count // len(chosen)
            kill_at = self._clock.now + batch * fault.batch_interval
            self._clock.call_at(kill_at, self._limiter_host.kill_limiter, limiters[number])
            self._clock.call_at(kill_at + fault.downtime, self._limiter_host.start_limiter, limiters[number])

    def _begin_zone_outage(self, fault: ZoneOutage) -> None:
        if fault.affects_servers:
            in_zone = [
                server for server in self._server_fleet.list_running_servers() if server.zone == fault.zone
            ]
            self._server_fleet.stop_servers(in_zone, fault.fault_duration, is_machine_lost=True)
        if not fault.affects_limiters:
            return
        for limiter in self._limiter_host.limiters:
            if limiter.zone == fault.zone:
                self._limiter_host.kill_limiter(limiter)
                self._clock.call_at(
                    self._clock.now + fault.fault_duration, self._limiter_host.start_limiter, limiter
                )
