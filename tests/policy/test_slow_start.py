"""Slow start of a cold server under the sum of what many limiters send to it."""

from __future__ import annotations

import pytest

from tests.support.simulated_fleet import LoadBurst, SimulatedFleet
from tests.support.simulated_server import SimulatedServer

MIN_ARRIVALS = 12  # attempts at a warming server in six seconds


def cold_servers_after_crash(limiters: int, seed: int) -> list[SimulatedServer]:
    """Crash three of twelve servers, and return them 6 s after they came back cold.

    The load doubles before they are back, beyond the fleet's capacity. One limiter learns of it 5 s late.
    """
    burst = LoadBurst(start=8500.0, end=18000.0, load_factor=2.0)
    fleet = SimulatedFleet(limiters=limiters, servers=12, load=0.9, seed=seed, burst=burst)
    crashed = range(3)
    fleet.run_until(6000.0)
    for number in crashed:
        fleet.crash_server(number)
    fleet.run_until(6500.0)
    fleet.announce_servers()
    fleet.run_until(9000.0)
    cold_servers = [fleet.add_server(number, fleet.now) for number in crashed]
    fleet.announcement_delays_ms = {seed: 5000.0}
    fleet.announce_servers()
    fleet.run_until(15000.0)
    return cold_servers


@pytest.mark.parametrize(("limiters", "seed"), [(20, 6), (30, 3), (30, 4), (30, 5)])
def test_cold_servers_bear_the_sum_of_what_many_limiters_send(limiters: int, seed: int) -> None:
    # Before, the least cost at every limiter was where it had nothing in flight, at the cold server.
    cold_servers = cold_servers_after_crash(limiters, seed)
    assert all(len(server.arrivals) >= MIN_ARRIVALS for server in cold_servers), "slow start starves a server"
    assert max(server.compute_peak_load_ratio() for server in cold_servers) < 1.0
