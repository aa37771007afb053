"""The simulation of one experiment: real policy engines among simulated peers."""

from __future__ import annotations

from scale.hollow.attempts import AttemptDriver
from scale.hollow.clients import Clients
from scale.hollow.context import Context
from scale.hollow.customers import draw_customers
from scale.hollow.discovery import Discovery
from scale.hollow.faults import FaultInjector
from scale.hollow.limiters import LimiterHost
from scale.hollow.plan import HollowExperiment
from scale.hollow.requests import RequestTracker
from scale.hollow.servers import ServerFleet


class Simulation:
    """All parts of one experiment, with starts, first request and faults scheduled."""

    def __init__(self, experiment: HollowExperiment) -> None:
        """Draw the customers, start the servers and schedule what comes first.

        The order of draws and of scheduling is part of the figures.
        """
        self.experiment = experiment
        self.customers, arrivals = draw_customers(experiment)
        context = Context(experiment, self.customers)
        self.clock = context.clock
        self.network = context.network
        self.tally = context.tally
        self.gossip_ages = context.gossip_ages
        self.request_tracker = RequestTracker(context)
        self.discovery = Discovery(self.clock, experiment)
        self.servers = ServerFleet(context, self.discovery)
        attempts = AttemptDriver(context, self.servers.servers, self.request_tracker)
        self.limiter_host = LimiterHost(context, self.request_tracker, self.discovery, attempts)
        self.clients = Clients(context, arrivals, self.limiter_host, attempts, self.request_tracker)
        self.limiter_host.handle_rejections(self.clients)
        for limiter in self.limiter_host.limiters:
            start_at = context.rng.uniform(*experiment.start_delay)
            self.clock.call_at(start_at, self.limiter_host.start, limiter)
        self.clients.start()
        FaultInjector(context, self.limiter_host, self.servers, self.discovery).start()

    def run(self, until: float) -> None:
        """Let everything happen up to that time, in ms."""
        self.clock.run(until)
