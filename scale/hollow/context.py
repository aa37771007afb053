"""What all parts of the simulation share."""

from __future__ import annotations

from random import Random

from scale.hollow.clock import VirtualClock
from scale.hollow.customers import Customer
from scale.hollow.gossip_age import GossipAges
from scale.hollow.network import Network
from scale.hollow.plan import HollowExperiment
from scale.hollow.tally import Tally


class Context:
    """The experiment, its clock and network, the customers, and what is counted of them."""

    def __init__(self, experiment: HollowExperiment, customers: list[Customer]) -> None:
        """Set the clock to 0; nothing is scheduled or counted yet."""
        self.experiment = experiment
        self.customers = customers
        self.clock = VirtualClock()
        self.network = Network(self.clock, experiment)
        # One stream for limiters, clients and faults: the order of their draws is part of the figures, and so
        # is the stream's name.
        self.rng = Random(f"{experiment.seed}:rig")
        self.tally = Tally(experiment)
        gossip_age_end = experiment.duration - experiment.gossip_age_tail
        self.gossip_ages = GossipAges(customers, experiment.warm_up, gossip_age_end)
