"""Simulation of discovery: the endpoint list, whose changes reach each limiter at a time of its own."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random

import numpy as np

from limiter.model.events import Endpoint, EndpointsChanged, EndpointState
from scale.hollow.clock import FanOut, VirtualClock
from scale.hollow.plan import HollowExperiment, Range


class Discovery:
    """Learns of changes with a delay and pushes them to all limiters; an outage holds them back."""

    def __init__(self, clock: VirtualClock, experiment: HollowExperiment) -> None:
        """List no server yet, and push changes to nobody until `subscribe`."""
        self.endpoints: dict[bytes, Endpoint] = {}
        self.changes = 0  # number of changes pushed so far
        self.is_down = False
        self._clock = clock
        self._parameters = experiment.discovery
        self._limiter_count = experiment.limiters
        self._deliver: Callable[[int, EndpointsChanged], None] | None = None
        self._rng = Random(f"{experiment.seed}:discovery")
        self._push_rng = np.random.default_rng([experiment.seed, 3])
        self._held_back: list[Endpoint] = []  # changes learnt during an outage
        self._observed_count = 0
        # Number of the latest change that discovery has learnt, by endpoint id.
        self._newest: dict[bytes, int] = {}

    def subscribe(self, deliver: Callable[[int, EndpointsChanged], None]) -> None:
        """Hand each change to `deliver(limiter, change)`, for each limiter at its time."""
        self._deliver = deliver

    def full_list(self) -> EndpointsChanged:
        """The whole list, as a limiter gets it when it starts."""
        return EndpointsChanged(tuple(self.endpoints.values()), is_full_list=True)

    def report_changes(self, endpoints: Iterable[Endpoint], delay: Range) -> None:
        """Changes that happen now; discovery learns of each after a delay drawn from the range, in ms."""
        for endpoint in endpoints:
            self._observed_count += 1
            due = self._clock.now + self._rng.uniform(*delay)
            self._clock.call_at(due, self._learn, endpoint, self._observed_count)

    def begin_outage(self) -> None:
        """Begin an outage: changes are held back until `restore`."""
        self.is_down = True

    def end_outage(self) -> None:
        """End an outage: push what was held back."""
        self.is_down = False
        held_back = tuple(self._held_back)
        self._held_back = []
        if held_back:
            self._push(held_back)

    def _learn(self, endpoint: Endpoint, number: int) -> None:
        is_outdated = number < self._newest.get(endpoint.id, 0)  # a later change was learnt sooner
        if is_outdated:
            return
        self._newest[endpoint.id] = number
        if self.is_down:
            self._held_back.append(endpoint)
        else:
            self._push((endpoint,))

    def _push(self, endpoints: tuple[Endpoint, ...]) -> None:
        self.changes += len(endpoints)
        for endpoint in endpoints:
            if endpoint.state is EndpointState.GONE:
                self.endpoints.pop(endpoint.id, None)
            else:
                self.endpoints[endpoint.id] = endpoint
        if self._deliver is None:
            return
        times = self._clock.now + self._push_rng.uniform(*self._parameters.push_delay, self._limiter_count)
        order = np.argsort(times, kind="stable")
        deliveries = zip(times[order].tolist(), order.tolist(), strict=True)
        FanOut(self._clock, deliveries, self._deliver, EndpointsChanged(endpoints, is_full_list=False))
