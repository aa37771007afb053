"""The simulation of one experiment: real policy engines with simulated peers."""

from __future__ import annotations

from scale.hollow.attempts import AttemptDriver
from scale.hollow.clients import Clients
from scale.hollow.context import SimulationContext
from scale.hollow.customers import draw_customers
from scale.hollow.discovery import Discovery
from scale.hollow.faults import FaultInjector
from scale.hollow.limiters import LimiterHost
from scale.hollow.plan import HollowExperiment
from scale.hollow.requests import RequestTracker
from scale.hollow.servers import ServerFleet


class Simulation:
    """All parts of one experiment, with limiter starts, the first request and faults scheduled."""

    def __init__(self, experiment: HollowExperiment) -> None:
        """Draw the customers, create all parts and schedule the first callbacks.

        The results depend on the order of the random draws and of the scheduling.
        """
        self.experiment = experiment
        self.customers, arrivals = draw_customers(experiment)
        context = SimulationContext(experiment, self.customers)
        self.clock = context.clock
        self.network = context.network
        self.tally = context.tally
        self.gossip_ages = context.gossip_ages
        self.request_tracker = RequestTracker(context)
        self.discovery = Discovery(self.clock, experiment)
        self.server_fleet = ServerFleet(context, self.discovery)
        attempt_driver = AttemptDriver(context, self.server_fleet.servers_by_id, self.request_tracker)
        self.limiter_host = LimiterHost(context, self.request_tracker, self.discovery, attempt_driver)
        self.clients = Clients(context, arrivals, self.limiter_host, attempt_driver, self.request_tracker)
        self.limiter_host.set_rejection_handler(self.clients)
        for limiter in self.limiter_host.limiters:
            start_at = context.rng.uniform(*experiment.start_delay)
            self.clock.call_at(start_at, self.limiter_host.start_limiter, limiter)
        self.clients.start()
        FaultInjector(context, self.limiter_host, self.server_fleet, self.discovery).start()

    def run(self, until: float) -> None:
        """Run the simulation up to a time, in ms."""
        self.clock.run(until)
