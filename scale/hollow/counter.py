"""Simulation of the shared counter: totals by key, served in order of arrival at a limited rate."""

from __future__ import annotations

import math
from collections.abc import Callable
from random import Random
from typing import NamedTuple

from limiter.model.actions import IncrementCounter
from limiter.model.events import Outcome
from scale.hollow.network import Network
from scale.hollow.plan import CounterParameters

# Takes the outcome of a call and the counter's total, which is 0 unless the outcome is OK.
ReplyCallback = Callable[[Outcome, float], None]


class CounterTotal(NamedTuple):
    """Sum of the amounts added to a key, until it expires."""

    units: float
    expires_at: float  # ms


class SharedCounter:
    """Serves calls one by one, also those whose caller has timed out; rejects calls beyond its queue."""

    def __init__(self, network: Network, parameters: CounterParameters, seed: int) -> None:
        """Stand in the first zone of the region that the parameters name."""
        self.totals_by_key: dict[int, CounterTotal] = {}
        self.calls = 0
        self.rejected_call_count = 0
        self.timed_out_calls = 0
        self.is_down = False
        self._clock = network.clock
        self._network = network
        self._parameters = parameters
        self._rng = Random(f"{seed}:counter")
        topology = network.topology
        zones = range(topology.zone_count)
        self._zone = next(zone for zone in zones if topology.region_of_zone(zone) == parameters.region)
        self._service_time_ms = 1000 / parameters.calls_per_s
        self._idle_at = 0.0

    def add(self, zone: int, call: IncrementCounter, on_reply: ReplyCallback) -> None:
        """Call from that zone; `on_reply` is called exactly once, at the time-out at the latest."""
        self.calls += 1
        called_at = self._clock.now
        delay = self._network.draw_delay(zone, self._zone)
        if self.is_down or math.isinf(delay):
            self._time_out(called_at, on_reply)
        else:
            self._clock.call_at(called_at + delay, self._arrived, zone, call, on_reply, called_at)

    def begin_outage(self) -> None:
        """Begin an outage: calls time out until `restore`."""
        self.is_down = True

    def end_outage(self) -> None:
        """End an outage; totals were kept."""
        self.is_down = False

    def _arrived(self, zone: int, call: IncrementCounter, on_reply: ReplyCallback, called_at: float) -> None:
        now = self._clock.now
        delay = self._network.draw_delay(zone, self._zone)
        if self.is_down:
            self._time_out(called_at, on_reply)
            return
        outcome = Outcome.REJECTED
        total = 0.0
        done_at = now
        if (self._idle_at - now) / self._service_time_ms < self._parameters.queue:
            outcome = Outcome.OK
            total = self._add_to_total(now, call)
            self._idle_at = max(now, self._idle_at) + self._service_time_ms
            done_at = self._idle_at + self._rng.uniform(*self._parameters.latency)
        else:
            self.rejected_call_count += 1
        if done_at + delay > called_at + self._parameters.timeout:
            self._time_out(called_at, on_reply)
        else:
            self._clock.call_at(done_at + delay, on_reply, outcome, total)

    def _add_to_total(self, now: float, call: IncrementCounter) -> float:
        total = self.totals_by_key.get(call.key)
        if total is None or now >= total.expires_at:
            lifetime = min(call.time_to_live, self._parameters.max_time_to_live)
            total = CounterTotal(0.0, now + lifetime)
        total = CounterTotal(total.units + call.units_to_add, total.expires_at)
        self.totals_by_key[call.key] = total
        return total.units

    def _time_out(self, called_at: float, on_reply: ReplyCallback) -> None:
        self.timed_out_calls += 1
        self._clock.call_at(called_at + self._parameters.timeout, on_reply, Outcome.TIMEOUT, 0.0)
