"""The objects that all parts of a simulation share."""

from __future__ import annotations

from random import Random

from scale.hollow.clock import VirtualClock
from scale.hollow.customers import Customer
from scale.hollow.gossip_age import GossipAges
from scale.hollow.network import Network
from scale.hollow.plan import HollowExperiment
from scale.hollow.tally import Tally


class SimulationContext:
    """The experiment, its clock, network and customers, and the counts of the run."""

    def __init__(self, experiment: HollowExperiment, customers: list[Customer]) -> None:
        """Create the shared objects; the clock is at 0, and nothing is scheduled or counted."""
        self.experiment = experiment
        self.customers = customers
        self.clock = VirtualClock()
        self.network = Network(self.clock, experiment)
        # Limiters, clients and faults share one random generator. The results depend on the order in which
        # they draw from it and on the text that seeds it.
        self.rng = Random(f"{experiment.seed}:rig")
        self.tally = Tally(experiment)
        gossip_age_end = experiment.duration - experiment.gossip_age_tail
        self.gossip_ages = GossipAges(customers, experiment.warm_up, gossip_age_end)
