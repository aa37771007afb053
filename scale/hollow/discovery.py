"""Simulation of discovery: the endpoint list, whose changes each limiter receives after its own delay."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random

import numpy as np

from limiter.model.events import Endpoint, EndpointsChanged, EndpointState
from scale.hollow.clock import FanOut, VirtualClock
from scale.hollow.plan import FloatRange, HollowExperiment


class Discovery:
    """Learns of changes with a delay and pushes them to all limiters; defers the push during an outage."""

    def __init__(self, clock: VirtualClock, experiment: HollowExperiment) -> None:
        """Create an empty endpoint list; changes are pushed to nobody until `subscribe` is called."""
        self.endpoints: dict[bytes, Endpoint] = {}
        self.pushed_change_count = 0  # each change counts once for all limiters
        self.is_down = False
        self._clock = clock
        self._parameters = experiment.discovery
        self._limiter_count = experiment.limiters
        self._deliver: Callable[[int, EndpointsChanged], None] | None = None
        self._rng = Random(f"{experiment.seed}:discovery")
        self._push_rng = np.random.default_rng([experiment.seed, 3])
        self._unpushed_changes: list[Endpoint] = []  # changes that discovery learnt of during an outage
        self._reported_change_count = 0
        # Number of the latest change that discovery has learnt of, by endpoint id.
        self._latest_change_numbers: dict[bytes, int] = {}

    def subscribe(self, deliver: Callable[[int, EndpointsChanged], None]) -> None:
        """Call `deliver(limiter, change)` for each change and limiter, when the limiter receives it."""
        self._deliver = deliver

    def make_full_list(self) -> EndpointsChanged:
        """Return the whole endpoint list, as a limiter receives it when it starts."""
        return EndpointsChanged(tuple(self.endpoints.values()), is_full_list=True)

    def report_changes(self, endpoints: Iterable[Endpoint], delay_range: FloatRange) -> None:
        """Report changes that happen now; discovery learns of each after a delay drawn from a range in ms."""
        for endpoint in endpoints:
            self._reported_change_count += 1
            due = self._clock.now + self._rng.uniform(*delay_range)
            self._clock.call_at(due, self._apply_change, endpoint, self._reported_change_count)

    def begin_outage(self) -> None:
        """Begin an outage: changes are not pushed until `end_outage`."""
        self.is_down = True

    def end_outage(self) -> None:
        """End an outage: push the changes that discovery learnt of during it."""
        self.is_down = False
        unpushed_changes = tuple(self._unpushed_changes)
        self._unpushed_changes = []
        if unpushed_changes:
            self._push(unpushed_changes)

    def _apply_change(self, endpoint: Endpoint, number: int) -> None:
        # Delays vary, so that discovery may already have learnt of a later change.
        is_outdated = number < self._latest_change_numbers.get(endpoint.id, 0)
        if is_outdated:
            return
        self._latest_change_numbers[endpoint.id] = number
        if self.is_down:
            self._unpushed_changes.append(endpoint)
        else:
            self._push((endpoint,))

    def _push(self, endpoints: tuple[Endpoint, ...]) -> None:
        self.pushed_change_count += len(endpoints)
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
